//! Errors of invalid policies.

use quick_error::quick_error;

quick_error! {
    /// Reason why a policy is invalid.
    #[derive(Debug, Clone, PartialEq)]
    pub enum PolicyError {
        /// The policy lists no rank.
        NoRank { display("the base file lists no rank: list at least one under [[rank]]") }
        /// The policy lists more ranks than a node keeps counters for.
        TooManyRanks(count: usize) {
            display("the base file lists {} ranks: list 16 or fewer", count)
        }
        /// Two entries have the same name.
        Duplicate(kind: &'static str, name: String) {
            display("the {} {:?} is listed twice: keep one entry", kind, name)
        }
        /// An urgent rank is listed after one that is not urgent.
        UrgentAfterNonUrgent(name: String) {
            display("the urgent rank {:?} stands below a rank that is not urgent: move it up", name)
        }
        /// A number is outside its range.
        OutOfRange(field: &'static str, value: f64, min: f64, max: f64) {
            display("{} is {}: set it between {} and {}", field, value, min, max)
        }
    }
}

/// Returns `value` if it is finite and in `min..=max`.
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
