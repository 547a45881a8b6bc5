//! Why a key was refused at the border.

use quick_error::quick_error;

quick_error! {
    /// A key that cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The text is not a UUID.
        NotUuid(text: String) {
            display("the idempotency key {:?} is no UUID: send a UUIDv7", text)
        }
        /// The UUID has another version.
        WrongVersion(version: usize) {
            display("the idempotency key is a UUID of version {}: send a UUIDv7", version)
        }
    }
}
