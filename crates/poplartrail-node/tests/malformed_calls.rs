//! Malformed requests on a caller's connection.
//!
//! Guards against bytes that stop the node, reach the instance, or are interpreted differently by
//! node and instance, such as two contradicting body lengths.

use poplartrail_stand::hosted::HostedNode;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

#[test_case("GARBAGE\r\n\r\n", 400; "no request line")]
#[test_case("GET /read/ok HTTP/1.1\r\nhost: routes.example\r\n\r\n", 400; "no identity")]
#[test_case(
    "GET /read/ok HTTP/1.1\r\nhost: routes.example\r\nx-request-id: 1\r\nx-deadline-ms: soon\r\n\r\n",
    400; "deadline that is not a number"
)]
#[test_case(
    "POST /book/ok HTTP/1.1\r\nhost: routes.example\r\nx-request-id: 1\r\ncontent-length: 3\r\n\
     transfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400; "two lengths"
)]
#[test_case(
    "POST /book/ok HTTP/1.1\r\nhost: routes.example\r\nx-request-id: 1\r\ncontent-length: 3\r\n\
     content-length: 4\r\n\r\nabcd", 400; "length stated twice"
)]
#[test_case(
    "POST /book/ok HTTP/1.1\r\nhost: routes.example\r\nx-request-id: 1\r\n\
     content-length: 99999999\r\n\r\n", 413; "body beyond the limit"
)]
fn malformed_request_is_refused(bytes: &str, status: u16) {
    let (_store, instance, node) = HostedNode::start_single(SITE);

    let mut caller = node.caller();
    caller.write(bytes.as_bytes());
    assert_eq!(caller.read().expect("an answer").status, status);
    assert_eq!(instance.total_runs(), 0);
    let reply = node.caller().call("GET", HOST, "/read/ok", "a1").expect("an answer");
    assert_eq!(reply.status, 200, "the node stopped serving");
}
