//! Errors of HTTP/1.1 messages and of exchanges with a server.

use quick_error::quick_error;

quick_error! {
    /// Fault in a received HTTP/1.1 message.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum MessageError {
        /// The head cannot be parsed; `what` names the faulty element.
        InvalidHead(what: &'static str) {
            display("the head is no HTTP/1.1 ({}): send one that RFC 9112 allows", what)
        }
        /// The head is longer than `max` bytes.
        HeadTooLong(max: usize) {
            display("the head has more than {} bytes: send fewer or shorter fields", max)
        }
        /// The length of the body is stated more than once or in two ways, is not a number, or
        /// there is a transfer coding other than chunked.
        AmbiguousLength {
            display("the length of the body is ambiguous: state content-length or chunked once")
        }
        /// The size line or the end of a chunk cannot be parsed.
        InvalidChunk { display("the chunks of the body cannot be read: end each size and chunk with CRLF") }
        /// The body is longer than `max` bytes.
        BodyTooLong(max: usize) {
            display("the body has more than {} bytes: send less", max)
        }
        /// The trailer fields of a chunked body are longer than `max` bytes.
        TrailerTooLong(max: usize) {
            display("the trailer has more than {} bytes: send fewer or shorter fields", max)
        }
    }
}

quick_error! {
    /// Failure of a request to return a usable response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ExchangeError {
        /// No connection could be opened, so no byte of the request was sent.
        NotConnected(why: String) {
            display("cannot connect ({}): check that the server runs", why)
        }
        /// The connection closed or failed before the response was complete.
        ConnectionLost(why: String) {
            display("the connection was lost before the response was complete ({})", why)
        }
        /// The response is not a valid HTTP/1.1 message, or it exceeds a length limit.
        InvalidMessage(err: MessageError) {
            from()
            display("the response cannot be read: {}", err)
        }
        /// The responses in progress hold as many bytes together as they may.
        OverBudget { display("no memory is left for the response") }
        /// More than `max` informational responses preceded the response.
        TooManyInformational(max: usize) {
            display("more than {} informational responses came before the response", max)
        }
        /// The responses on the connection belong to other requests.
        ResponseMismatch {
            display("the response belongs to another request")
        }
    }
}
