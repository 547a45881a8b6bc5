//! Reading a body into memory.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use quick_error::quick_error;

quick_error! {
    /// Failure to read a whole body.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is longer than the allowed number of bytes.
        TooLong(max_bytes: usize) {
            display("the body has more than {} bytes: send less, or raise limits.max_body_bytes", max_bytes)
        }
        /// The body could not be read to its end, for instance because the connection closed.
        Incomplete(why: String) {
            display("the body ended early ({}): send the request again", why)
        }
    }
}

/// Reads a whole body of at most `max_bytes` into memory.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: http_body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(BodyError::TooLong(max_bytes)),
        Err(err) => Err(BodyError::Incomplete(err.to_string())),
    }
}
