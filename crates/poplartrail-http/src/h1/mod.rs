//! HTTP/1.1 on connections that the caller of this module owns.
//!
//! The server library of the house reads the next request of a connection only after it has
//! answered the one before, and its client hides which bytes belong to which answer. Pipelined
//! callers need the first, upstreams that may spoil their answers the second. Heads are parsed by
//! `httparse`; the rules are those of RFC 9112.

mod body;
mod connection;
mod error;
mod head;
mod write;

pub use body::{BodyDecoder, Framing};
pub use connection::{ClientConnection, ClientOptions, ClientResponse};
pub use error::{ExchangeError, MessageError};
pub use head::{RequestHead, ResponseHead, parse_request_head, parse_response_head};
pub use write::{encode_request, encode_response};
