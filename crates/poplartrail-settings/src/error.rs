//! Errors in settings files and configuration documents.

use poplartrail_core::{names::NameError, policy::PolicyError};
use quick_error::quick_error;

quick_error! {
    /// Error in a settings file or a configuration document, with its remedy.
    #[derive(Debug, Clone, PartialEq)]
    pub enum SettingsError {
        /// The text is not valid TOML or does not match the schema.
        Syntax(document: String, reason: String) {
            display("{}: {}", document, reason)
        }
        /// A file cannot be read.
        Unreadable(path: String, reason: String) {
            display("{}: cannot be read ({}): check the path and its permissions", path, reason)
        }
        /// A number is outside its range.
        OutOfRange(field: &'static str, value: u64, min: u64, max: u64) {
            display("{} is {}: set it between {} and {}", field, value, min, max)
        }
        /// A socket address is not an IP address with a port.
        InvalidAddr(field: &'static str, value: String) {
            display("{} is {:?}: use an IP address and a port, such as 10.0.0.7:7000", field, value)
        }
        /// A name is not well formed.
        InvalidName(field: &'static str, err: NameError) {
            display("{}: {}", field, err)
        }
        /// The values of a document, or of the merged documents, are not a valid policy.
        InvalidPolicy(document: String, err: PolicyError) {
            display("{}: {}", document, err)
        }
        /// An overlay names a rank or a service that the base file does not list.
        NotInBase(site: String, kind: &'static str, name: String) {
            display("overlay {}: the {} {:?} is not in the base file: add it there first", site, kind, name)
        }
        /// An entry of the base file lacks a required field.
        MissingField(entry: String, field: &'static str) {
            display("{}: {} is missing: set it in the base file", entry, field)
        }
        /// A change would move keys in use to other homes.
        KeysWouldMove(setting: String) {
            display(
                "{} cannot change once in force, because keys in use would move to other nodes: \
                 keep it, or give the service a new name",
                setting
            )
        }
    }
}
