//! Why a message or an exchange cannot be used.

use quick_error::quick_error;

quick_error! {
    /// Bytes that are no message of the protocol.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MessageError {
        /// The head cannot be parsed.
        InvalidHead(what: &'static str) {
            display("the head is no HTTP/1.1 ({}): send one that RFC 9112 allows", what)
        }
        /// The head is longer than allowed.
        HeadTooLong(max: usize) {
            display("the head has more than {} bytes: send fewer or shorter fields", max)
        }
        /// The length of the body is stated twice, in two ways, or not as a number.
        AmbiguousLength {
            display("the length of the body is ambiguous: state content-length or chunked once")
        }
        /// A chunk cannot be parsed.
        InvalidChunk { display("the chunks of the body cannot be read: end each size and chunk with CRLF") }
        /// The body is longer than allowed.
        BodyTooLong(max: usize) {
            display("the body has more than {} bytes: send less", max)
        }
    }
}

quick_error! {
    /// An exchange without a usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExchangeError {
        /// No connection could be opened, so nothing was written.
        NotConnected(why: String) {
            display("no connection ({}): check that the server runs", why)
        }
        /// The connection ended before the answer was whole.
        ConnectionLost(why: String) {
            display("the connection ended before the answer was whole ({})", why)
        }
        /// The answer is no message of the protocol.
        InvalidMessage(err: MessageError) {
            from()
            display("the answer cannot be read: {}", err)
        }
        /// The answer is for another request.
        ResponseMismatch {
            display("the answer belongs to another request")
        }
    }
}
