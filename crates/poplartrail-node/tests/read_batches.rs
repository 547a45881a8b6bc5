//! Reads of the store by one node of a large fleet, while other members change one after the other.
//!
//! Guards against one read for each change, which the store has to serve to every node.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::{HostedNode, StandStore};
use poplartrail_wire::generated::{Member, MemberRecord};
use prost::Message;

const SITE: &str = include_str!("sites/small.json");
const MEMBERS: usize = 200;
const CHANGES: usize = 40;
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// The changes take two seconds. A node reads them at most once a second, besides the first one and
/// the end of a read that was waiting.
const MAX_READS: u32 = 4;

fn announce(store: &StandStore, number: usize, incarnation: u64) {
    let vm = format!("other-{number}");
    let member = Member {
        vm: vm.clone(),
        incarnation,
        service: "swaps".to_owned(),
        zone: "zone-a".to_owned(),
        addr: "127.0.0.1:9".to_owned(),
        report: "127.0.0.1:9".to_owned(),
    };
    let record = MemberRecord { member: Some(member), ..MemberRecord::default() };
    store.put("keyed.members", vm.as_bytes(), &record.encode_to_vec());
}

#[test]
fn changes_are_read_in_batches() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    (0..MEMBERS).for_each(|number| announce(&store, number, 1));
    node.await_condition("all members are known", || {
        let status = node.status().unwrap_or_default();
        status["instances"].as_array().is_some_and(|instances| instances.len() > MEMBERS)
    });
    sleep(Duration::from_secs(1));
    let before = store.reads("keyed.members");
    for number in 0..CHANGES {
        announce(&store, number, 2);
        sleep(CHANGE_INTERVAL);
    }
    let reads = store.reads("keyed.members") - before;
    assert!(reads <= MAX_READS, "{reads} reads of {CHANGES} changes, {MAX_READS} allowed");
}
