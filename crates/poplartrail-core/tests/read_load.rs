//! Load on the store while many members change.
//!
//! Guards against reads that grow with the square of the number of nodes: each record ends the
//! waiting reads of all of them.

use std::time::Duration;

use poplartrail_core::member::read_pause;
use test_case::test_case;

/// Time in which all nodes announce themselves one after the other.
const START: Duration = Duration::from_secs(3);

/// Reads of all nodes while each of them announces itself, simulated in steps of a millisecond.
fn reads(nodes: u32) -> u32 {
    let (mut reads, mut known, mut next_read) = (0, 0, Duration::ZERO);
    for ms in 0..START.as_millis() as u32 {
        let announced = 1 + nodes * ms / START.as_millis() as u32;
        let now = Duration::from_millis(u64::from(ms));
        if announced > known && now >= next_read {
            (known, reads) = (announced, reads + nodes);
            next_read = now + read_pause(known as usize);
        }
    }
    reads
}

/// With a twentieth of the store's reads a second, and at least one a second for each node.
#[test_case(16, 2_000; "few nodes")]
#[test_case(97, 16_000; "large site")]
#[test_case(300, 16_000; "several hundred nodes")]
fn start_stays_within_store_rate(nodes: u32, store_reads_per_second: u32) {
    let per_second = (store_reads_per_second / 20).max(nodes);
    assert!(reads(nodes) <= per_second * 4, "{} reads", reads(nodes));
}

#[test]
fn reads_for_each_node_do_not_grow_with_the_fleet() {
    let for_each_node = |nodes| reads(nodes) / nodes;
    assert!(for_each_node(16) <= 20, "{}", for_each_node(16));
    assert!(for_each_node(97) <= 10, "{}", for_each_node(97));
    assert!(for_each_node(300) <= 10, "{}", for_each_node(300));
}

#[test]
fn change_is_known_before_an_address_is_used_again() {
    for members in [0, 1, 97, 7_900, usize::MAX] {
        assert!(read_pause(members) <= Duration::from_secs(1), "{members} members");
    }
}
