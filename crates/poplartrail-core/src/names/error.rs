//! Errors of invalid names.

use quick_error::quick_error;

quick_error! {
    /// Reason why a string is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The string is empty.
        Empty(kind: &'static str) {
            display("the {} name is empty: give it 1 to 64 characters", kind)
        }
        /// The string is longer than 64 bytes.
        TooLong(kind: &'static str, len: usize) {
            display("the {} name has {} bytes: shorten it to 64 or fewer", kind, len)
        }
        /// The string contains a character outside `a-z`, `0-9`, `-`, `_` and `.`.
        BadCharacter(kind: &'static str, name: String) {
            display(
                "the {} name {:?} holds a character that names may not hold: \
                 use lower-case letters, digits, '-', '_' and '.'",
                kind, name
            )
        }
    }
}
