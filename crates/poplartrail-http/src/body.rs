//! Whole bodies.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use quick_error::quick_error;

quick_error! {
    /// A body that could not be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is longer than the settings allow.
        TooLong(max: usize) {
            display("the body has more than {} bytes: send less, or raise limits.max_body_bytes", max)
        }
        /// The connection ended within the body.
        Incomplete(why: String) {
            display("the body ended early ({}): send the request again", why)
        }
    }
}

/// Reads a whole body of at most `max` bytes.
pub async fn read_body<B>(body: B, max: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, max).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyError::TooLong(max)),
        Err(err) => Err(BodyError::Incomplete(err.to_string())),
    }
}
