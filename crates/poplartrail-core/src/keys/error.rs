//! Errors of invalid idempotency keys.

use quick_error::quick_error;

quick_error! {
    /// Reason why a text or number is not a valid idempotency key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The text is not a UUID.
        NotUuid(text: String) {
            display("the idempotency key {:?} is no UUID: send a UUIDv7", text)
        }
        /// The UUID has another version than 7.
        WrongVersion(version: usize) {
            display("the idempotency key is a UUID of version {}: send a UUIDv7", version)
        }
    }
}
