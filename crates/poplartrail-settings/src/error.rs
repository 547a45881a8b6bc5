//! Why a document was refused.

use poplartrail_core::{names::NameError, policy::PolicyError};
use quick_error::quick_error;

quick_error! {
    /// A document that cannot be used.
    #[derive(Debug, Clone, PartialEq)]
    pub enum SettingsError {
        /// The text is not TOML of the expected form.
        Syntax(document: String, why: String) {
            display("{}: {}", document, why)
        }
        /// A file cannot be read.
        Unreadable(path: String, why: String) {
            display("{}: cannot be read ({}): check the path and its permissions", path, why)
        }
        /// A number lies outside its range.
        OutOfRange(field: &'static str, value: u64, min: u64, max: u64) {
            display("{} is {}: set it between {} and {}", field, value, min, max)
        }
        /// An address is not an IP number with a port.
        BadAddress(field: &'static str, value: String) {
            display("{} is {:?}: write an IP number and a port, for instance 10.0.0.7:7000", field, value)
        }
        /// A name has the wrong form.
        Name(field: &'static str, err: NameError) {
            display("{}: {}", field, err)
        }
        /// The parts do not fit together.
        Policy(document: String, err: PolicyError) {
            display("{}: {}", document, err)
        }
        /// An overlay names something that the base file does not have.
        NotInBase(site: String, what: &'static str, name: String) {
            display("overlay {}: the {} {:?} is not in the base file: add it there first", site, what, name)
        }
        /// A rank of the base file lacks a field.
        Missing(what: String, field: &'static str) {
            display("{}: {} is missing: state it in the base file", what, field)
        }
        /// A change would move keys to other homes.
        KeysWouldMove(what: String) {
            display(
                "{} cannot change once in force, because keys in use would move to other nodes: \
                 keep it, or give the service a new name",
                what
            )
        }
    }
}
