//! Why a policy was refused.

use quick_error::quick_error;

quick_error! {
    /// A policy whose parts do not fit together.
    #[derive(Debug, Clone, PartialEq)]
    pub enum PolicyError {
        /// There is no rank.
        NoRank { display("the base file lists no rank: list at least one under [[rank]]") }
        /// There are more ranks than the node keeps counters for.
        TooManyRanks(count: usize) {
            display("the base file lists {} ranks: list 16 or fewer", count)
        }
        /// Two entries have the same name.
        Duplicate(what: &'static str, name: String) {
            display("the {} {:?} is listed twice: keep one entry", what, name)
        }
        /// An urgent rank stands below one that is not.
        UrgentBelow(name: String) {
            display("the urgent rank {:?} stands below a rank that is not urgent: move it up", name)
        }
        /// A number lies outside its range.
        OutOfRange(field: &'static str, value: f64, min: f64, max: f64) {
            display("{} is {}: set it between {} and {}", field, value, min, max)
        }
    }
}

/// Returns `value` if it lies in `min..=max`.
pub(crate) fn in_range(
    field: &'static str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<f64, PolicyError> {
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(PolicyError::OutOfRange(field, value, min, max))
    }
}
