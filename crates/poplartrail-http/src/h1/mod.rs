//! HTTP/1.1 (RFC 9112) on connections that the caller of this module owns.
//!
//! The `volo-http` server reads the next request of a connection only after it has answered the
//! previous one, which rules out pipelining. The `volo-http` client does not show which bytes
//! belong to which response, which is needed with upstreams that may send truncated or mismatched
//! responses. This module covers both cases. `httparse` parses the message heads.

mod body;
mod connection;
mod error;
mod head;
mod write;

pub use body::{BodyDecoder, Framing};
pub use connection::{ClientConnection, ClientOptions, ClientResponse};
pub use error::{ExchangeError, MessageError};
pub use head::{RequestHead, ResponseHead, parse_request_head, parse_response_head};
pub use write::{EncodedMessage, encode_request, encode_response};
