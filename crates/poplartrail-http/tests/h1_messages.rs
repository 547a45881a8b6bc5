//! Heads and bodies of HTTP/1.1: what is read, what is refused.

use bytes::BytesMut;
use http::{HeaderMap, Method, StatusCode};
use poplartrail_http::h1::{
    BodyDecoder, Framing, MessageError, encode_request, encode_response, parse_request_head,
    parse_response_head,
};
use test_case::test_case;

const MAX: usize = 4096;

fn framing(head: &str) -> Result<Framing, MessageError> {
    let mut buf = BytesMut::from(head);
    let head = parse_request_head(&mut buf, MAX)?.expect("the head is whole");
    head.framing()
}

#[test_case("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\n", Ok(Framing::Length(5)); "length")]
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", Ok(Framing::Chunked); "chunked")]
#[test_case("GET / HTTP/1.1\r\nhost: a\r\n\r\n", Ok(Framing::Length(0)); "no body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n", Err(MessageError::AmbiguousLength); "signed length")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 5, 5\r\n\r\n", Err(MessageError::AmbiguousLength); "list of lengths")]
#[test_case(
    "POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\n",
    Err(MessageError::AmbiguousLength); "two lengths"
)]
#[test_case(
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n",
    Err(MessageError::AmbiguousLength); "chunked with a length"
)]
#[test_case(
    "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    Err(MessageError::AmbiguousLength); "another coding"
)]
fn length_is_stated_once(head: &str, expected: Result<Framing, MessageError>) {
    assert_eq!(framing(head), expected);
}

#[test]
fn head_comes_in_pieces() {
    let whole = b"GET /a?b=c HTTP/1.1\r\nhost: h\r\nx-request-id: 7\r\n\r\nrest";
    for at in 1..whole.len() - 4 {
        let mut buf = BytesMut::from(&whole[..at]);
        assert!(
            parse_request_head(&mut buf, MAX).expect("a part is no error").is_none(),
            "{at} bytes"
        );
        buf.extend_from_slice(&whole[at..]);
        let head = parse_request_head(&mut buf, MAX).expect("it is a head").expect("it is whole");
        assert_eq!(head.target, "/a?b=c");
        assert_eq!(&buf[..], b"rest", "what follows stays");
    }
}

#[test]
fn long_heads_are_refused() {
    let mut buf = BytesMut::from(format!("GET / HTTP/1.1\r\na: {}", "x".repeat(MAX)).as_str());
    assert!(matches!(parse_request_head(&mut buf, MAX), Err(MessageError::HeadTooLong(MAX))));
}

#[test]
fn chunks_come_in_pieces() {
    let whole = b"5;ext=1\r\nfirst\r\n6\r\nsecond\r\n0\r\nx-trailer: 1\r\n\r\nnext";
    for at in 1..whole.len() {
        let mut buf = BytesMut::from(&whole[..at]);
        let mut decoder = BodyDecoder::new(Framing::Chunked, MAX);
        let is_whole = decoder.decode(&mut buf).expect("a part is no error");
        if !is_whole {
            buf.extend_from_slice(&whole[at..]);
            assert!(decoder.decode(&mut buf).expect("the chunks can be read"));
        }
        assert_eq!(&decoder.into_body()[..], b"firstsecond", "split at {at}");
    }
}

#[test_case(b"5\nfirst\r\n0\r\n\r\n"; "line end")]
#[test_case(b"-5\r\nfirst\r\n0\r\n\r\n"; "size")]
#[test_case(b"4\r\nfirst\r\n0\r\n\r\n"; "size too small")]
fn broken_chunks_are_refused(bytes: &[u8]) {
    let mut buf = BytesMut::from(bytes);
    let mut decoder = BodyDecoder::new(Framing::Chunked, MAX);
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::InvalidChunk));
}

#[test_case(Framing::Length(5_000); "by its length")]
#[test_case(Framing::UntilClose; "by what came")]
fn long_bodies_are_refused(framing: Framing) {
    let mut buf = BytesMut::from(vec![b'x'; 5_000].as_slice());
    let mut decoder = BodyDecoder::new(framing, MAX);
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::BodyTooLong(MAX)));
}

#[test]
fn early_end_is_no_whole_body() {
    let mut decoder = BodyDecoder::new(Framing::Length(10), MAX);
    assert!(!decoder.decode(&mut BytesMut::from("part")).expect("a part is no error"));
    assert!(!decoder.decode_eof());
    let mut decoder = BodyDecoder::new(Framing::UntilClose, MAX);
    assert!(!decoder.decode(&mut BytesMut::from("all")).expect("a part is no error"));
    assert!(decoder.decode_eof(), "a body without a length ends with its connection");
}

#[test]
fn what_is_written_can_be_read() {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", "7".parse().expect("a value"));
    let mut req = encode_request(&Method::POST, "/a", &headers, b"body");
    let head = parse_request_head(&mut req, MAX).expect("a head").expect("a whole one");
    assert_eq!((head.framing(), &req[..]), (Ok(Framing::Length(4)), &b"body"[..]));

    let mut res = encode_response(StatusCode::OK, &headers, b"body", false, true);
    let head = parse_response_head(&mut res, MAX).expect("a head").expect("a whole one");
    assert!(!head.is_persistent, "it is the last of its connection");
    assert_eq!(head.framing(&Method::GET), Ok(Framing::Length(4)));
    assert_eq!(head.framing(&Method::HEAD), Ok(Framing::Length(0)));
}
