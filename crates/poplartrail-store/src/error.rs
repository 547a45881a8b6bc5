//! Errors of calls to the store.

use http::StatusCode;
use poplartrail_http::h1::ExchangeError;
use quick_error::quick_error;

quick_error! {
    /// Reason why a call to the store failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The store could not be reached or did not respond; the call may have taken effect.
        Unanswered(why: String) {
            display("the store did not answer ({})", why)
        }
        /// The store responded with an error status.
        Refused(status: StatusCode) {
            display("the store refused with {}", status)
        }
        /// The response does not have the platform's form.
        Format(err: poplartrail_platform::FormatError) {
            from()
            display("{}", err)
        }
    }
}

impl From<ExchangeError> for StoreError {
    fn from(err: ExchangeError) -> Self {
        StoreError::Unanswered(err.to_string())
    }
}
