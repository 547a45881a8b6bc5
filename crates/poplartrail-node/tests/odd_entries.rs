//! Entries among the member records that something other than a node has written: nested deeply,
//! with a number too large, with a port out of range, under the key of another VM, very long, or
//! thousands of them.
//!
//! Guards against a node that ends at such an entry or stops following the list, and so sends
//! requests to VMs that are gone, or none to new ones.

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};
use poplartrail_wire::generated::{Member, MemberRecord};
use prost::Message;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
const TOPIC: &str = "keyed.members";
/// VM whose node starts after the odd entry was written.
const LATE_VM: &str = "vm-2";
/// Address at which nothing listens.
const DEAD_ADDR: &str = "127.0.0.1:9";

fn entry(vm: &str, incarnation: u64, addr: &str) -> Vec<u8> {
    let member = Member {
        vm: vm.to_owned(),
        incarnation,
        service: "swaps".to_owned(),
        zone: "zone-a".to_owned(),
        addr: addr.to_owned(),
        report: DEAD_ADDR.to_owned(),
    };
    MemberRecord { member: Some(member), ..MemberRecord::default() }.encode_to_vec()
}

/// Starts a node, writes entries, and starts another node, which the first one must then reach.
/// The log of the first one must then contain `line`.
fn assert_followed_after(line: &str, write: impl Fn(&StandStore)) {
    let (store, _instance, mut node) = HostedNode::start_single(SITE);
    write(&store);
    let late = StandInstance::start("i-2");
    let mut other = HostedNode::start(LATE_VM, "swaps", &store, &late);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&late, "ready"), 200);
    let mut id = 0;
    let mut reach = |node: &HostedNode| {
        node.await_condition("routed to the late node", || {
            id += 1;
            let reply = node.caller().call("GET", HOST, "/read/swaps/ok", &format!("a{id}"));
            reply.is_some_and(|reply| reply.status == 200)
        });
    };
    reach(&node);
    node.await_condition("the entry has a log line", || node.output().contains(line));
    // A node that starts later reads the newest entry of each key.
    node.restart();
    node.await_ready();
    reach(&node);
}

#[test_case("vm-9", &[b'{'; 100_000]; "nested braces")]
#[test_case("vm-9", &[0x0b; 100_000]; "nested groups")]
#[test_case("vm-9", &entry("vm-9", 1, "127.0.0.1:70000"); "port out of range")]
#[test_case("vm-9", &entry("vm-9", 1, "127.0.0.1:0"); "port zero")]
#[test_case("vm-9", &entry("vm-9", 1, "not an address"); "address of no host")]
#[test_case("vm-9", &[&entry("vm-9", 1, DEAD_ADDR)[..], &[0x10, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]].concat(); "number too large")]
#[test_case("vm-9", &[b'x'; 200_000]; "long entry")]
#[test_case("vm-9", &[]; "deleted entry")]
#[test_case("", b"?"; "empty key")]
#[test_case("vm-9", &entry(LATE_VM, u64::MAX, DEAD_ADDR); "key of another VM")]
fn odd_entry_is_skipped(key: &str, value: &[u8]) {
    assert_followed_after("", |store| store.put(TOPIC, key.as_bytes(), value));
}

#[test]
fn incarnation_in_the_future_is_ignored() {
    let entry = entry(LATE_VM, u64::MAX, DEAD_ADDR);
    assert_followed_after("lies in the future", |store| {
        store.put(TOPIC, LATE_VM.as_bytes(), &entry);
    });
}

#[test]
fn thousands_of_odd_entries_are_skipped() {
    assert_followed_after("", |store| {
        for number in 0..3_000 {
            store.put(TOPIC, format!("odd-{number}").as_bytes(), b"?");
        }
    });
}
