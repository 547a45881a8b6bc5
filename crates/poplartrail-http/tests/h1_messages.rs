//! Parsing and encoding of HTTP/1.1 heads and bodies, and rejection of invalid ones.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use poplartrail_http::h1::{
    BodyDecoder, Framing, MessageError, encode_request, encode_response, parse_request_head,
    parse_response_head,
};
use test_case::test_case;

const MAX_BYTES: usize = 4096;

fn framing(head: &str) -> Result<Framing, MessageError> {
    let mut buf = BytesMut::from(head);
    let head = parse_request_head(&mut buf, MAX_BYTES)?.expect("the head is complete");
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
fn framing_follows_length_fields(head: &str, expected: Result<Framing, MessageError>) {
    assert_eq!(framing(head), expected);
}

#[test]
fn head_arrives_in_pieces() {
    let whole = b"GET /a?b=c HTTP/1.1\r\nhost: h\r\nx-request-id: 7\r\n\r\nrest";
    for at in 1..whole.len() - 4 {
        let mut buf = BytesMut::from(&whole[..at]);
        assert!(
            parse_request_head(&mut buf, MAX_BYTES).expect("partial input is valid").is_none(),
            "{at} bytes"
        );
        buf.extend_from_slice(&whole[at..]);
        let head = parse_request_head(&mut buf, MAX_BYTES)
            .expect("the head is valid")
            .expect("the head is complete");
        assert_eq!(head.target, "/a?b=c");
        assert_eq!(&buf[..], b"rest", "bytes after the head stay");
    }
}

#[test]
fn long_heads_are_rejected() {
    let mut buf =
        BytesMut::from(format!("GET / HTTP/1.1\r\na: {}", "x".repeat(MAX_BYTES)).as_str());
    assert!(matches!(
        parse_request_head(&mut buf, MAX_BYTES),
        Err(MessageError::HeadTooLong(MAX_BYTES))
    ));
}

#[test]
fn chunks_arrive_in_pieces() {
    let whole = b"5;ext=1\r\nfirst\r\n6\r\nsecond\r\n0\r\nx-trailer: 1\r\n\r\nnext";
    for at in 1..whole.len() {
        let mut buf = BytesMut::from(&whole[..at]);
        let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BYTES);
        let is_complete = decoder.decode(&mut buf).expect("partial input is valid");
        if !is_complete {
            buf.extend_from_slice(&whole[at..]);
            assert!(decoder.decode(&mut buf).expect("the chunks are valid"));
        }
        assert_eq!(&decoder.into_body()[..], b"firstsecond", "split at {at}");
    }
}

#[test_case(b"5\nfirst\r\n0\r\n\r\n"; "line end")]
#[test_case(b"-5\r\nfirst\r\n0\r\n\r\n"; "size")]
#[test_case(b"4\r\nfirst\r\n0\r\n\r\n"; "size too small")]
fn invalid_chunks_are_rejected(bytes: &[u8]) {
    let mut buf = BytesMut::from(bytes);
    let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BYTES);
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::InvalidChunk));
}

#[test_case(Framing::Length(5_000); "stated length")]
#[test_case(Framing::UntilClose; "received bytes")]
fn long_bodies_are_rejected(framing: Framing) {
    let mut buf = BytesMut::from(vec![b'x'; 5_000].as_slice());
    let mut decoder = BodyDecoder::new(framing, MAX_BYTES);
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::BodyTooLong(MAX_BYTES)));
}

#[test]
fn eof_completes_only_unframed_bodies() {
    let mut decoder = BodyDecoder::new(Framing::Length(10), MAX_BYTES);
    assert!(!decoder.decode(&mut BytesMut::from("part")).expect("partial input is valid"));
    assert!(!decoder.decode_eof());
    let mut decoder = BodyDecoder::new(Framing::UntilClose, MAX_BYTES);
    assert!(!decoder.decode(&mut BytesMut::from("all")).expect("partial input is valid"));
    assert!(decoder.decode_eof(), "a body without a length ends with its connection");
}

#[test]
fn encoded_messages_can_be_parsed() {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", "7".parse().expect("a valid value"));
    let req = encode_request(&Method::POST, "/a", &headers, Bytes::from_static(b"body"));
    let mut req = BytesMut::from(req.chunk_at(0));
    let head =
        parse_request_head(&mut req, MAX_BYTES).expect("a valid head").expect("a complete head");
    assert_eq!((head.framing(), &req[..]), (Ok(Framing::Length(4)), &b"body"[..]));

    let res = encode_response(StatusCode::OK, &headers, Bytes::from_static(b"body"), false, true);
    let mut res = BytesMut::from(res.chunk_at(0));
    let head =
        parse_response_head(&mut res, MAX_BYTES).expect("a valid head").expect("a complete head");
    assert!(!head.is_persistent, "the response closes the connection");
    assert_eq!(head.framing(&Method::GET), Ok(Framing::Length(4)));
    assert_eq!(head.framing(&Method::HEAD), Ok(Framing::Length(0)));
}

/// A trailer has no use here, and a faulty peer may send one without end.
#[test]
fn endless_trailer_is_rejected() {
    let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BYTES);
    let mut result = decoder.decode(&mut BytesMut::from("0\r\n"));
    let line = "x-more: more\r\n".repeat(64);
    let mut received = 0;
    while result.is_ok() && received < 4 << 20 {
        received += line.len();
        result = decoder.decode(&mut BytesMut::from(line.as_str()));
    }
    assert!(matches!(result, Err(MessageError::TrailerTooLong(_))), "{result:?}, {received} bytes");
}

#[test]
fn short_trailer_is_skipped() {
    let mut decoder = BodyDecoder::new(Framing::Chunked, MAX_BYTES);
    let mut buf = BytesMut::from("2\r\nok\r\n0\r\nx-sum: 1\r\n\r\nnext");
    assert_eq!(decoder.decode(&mut buf), Ok(true));
    assert_eq!((&decoder.into_body()[..], &buf[..]), (&b"ok"[..], &b"next"[..]));
}

/// Only the length of a head is bounded.
#[test]
fn many_short_fields_are_read() {
    let fields: String = (0..900).map(|_| "a:\r\n").collect();
    let mut buf = BytesMut::from(&*format!("GET / HTTP/1.1\r\n{fields}\r\nrest"));
    let head = parse_request_head(&mut buf, MAX_BYTES).expect("valid").expect("complete");
    assert_eq!((head.headers.len(), &buf[..]), (900, &b"rest"[..]));
    let mut buf = BytesMut::from(&*format!("HTTP/1.1 200 OK\r\n{fields}\r\n"));
    let head = parse_response_head(&mut buf, MAX_BYTES).expect("valid").expect("complete");
    assert_eq!(head.headers.len(), 900);
}

#[test_case(1_100; "above the length")]
#[test_case(40_000; "more than a map of fields holds")]
fn too_many_fields_are_rejected(count: usize) {
    let fields: String = (0..count).map(|number| format!("a{number}:\r\n")).collect();
    let mut buf = BytesMut::from(&*format!("GET / HTTP/1.1\r\n{fields}\r\n"));
    let max_bytes = if count > 10_000 { 1 << 20 } else { MAX_BYTES };
    let result = parse_request_head(&mut buf, max_bytes);
    assert_eq!(result.err(), Some(MessageError::HeadTooLong(max_bytes)));
}
