//! Why a name was refused.

use quick_error::quick_error;

quick_error! {
    /// A string that cannot serve as a name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The string is empty.
        Empty(what: &'static str) {
            display("the {} name is empty: give it 1 to 64 characters", what)
        }
        /// The string is longer than 64 bytes.
        TooLong(what: &'static str, len: usize) {
            display("the {} name has {} bytes: shorten it to 64 or fewer", what, len)
        }
        /// The string holds a character outside `a-z`, `0-9`, `-`, `_` and `.`.
        BadCharacter(what: &'static str, name: String) {
            display(
                "the {} name {:?} holds a character that names may not hold: \
                 use lower-case letters, digits, '-', '_' and '.'",
                what, name
            )
        }
    }
}
