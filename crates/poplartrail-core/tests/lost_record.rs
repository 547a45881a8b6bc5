//! The member record of a node whose store has come back from a copy.
//!
//! Guards against a record that is written once and lost, and against a fleet that writes all of
//! them again although the store still has them.

mod hosted;

use hosted::{HostedRun, WALL, record_in};
use poplartrail_core::{
    engine::Input,
    member::{MemberRecord, MemberState},
};

const SLOTS: usize = 4;

/// A node that has read an empty store and whose record the store has accepted.
fn announced() -> (HostedRun, MemberRecord) {
    let mut run = HostedRun::new();
    run.handle(Input::StoredMembers(Vec::new()));
    let record = record_in(&run.send_heartbeat(WALL, SLOTS)).expect("announced");
    run.handle(Input::MemberStored(Box::new(record.clone())));
    assert!(run.node().is_announcement_stored());
    (run, record)
}

#[test]
fn lost_record_is_appended_again() {
    let (mut run, record) = announced();
    let out = run.handle(Input::RestoredMembers(Vec::new()));
    assert_eq!(record_in(&out), Some(record.clone()));
    assert!(!run.node().is_announcement_stored(), "an acknowledgement would rest on nothing");
    run.handle(Input::MemberStored(Box::new(record)));
    assert!(run.node().is_announcement_stored());
}

#[test]
fn kept_record_is_not_appended() {
    let (mut run, record) = announced();
    let out = run.handle(Input::RestoredMembers(vec![record]));
    assert_eq!(record_in(&out), None);
    assert!(run.node().is_announcement_stored());
}

/// The copy holds the state before the drain, which must not open the gate either.
#[test]
fn older_record_of_the_node_is_replaced() {
    let (mut run, serving) = announced();
    let draining = record_in(&run.deregister(WALL)).expect("announced");
    run.handle(Input::MemberStored(Box::new(draining.clone())));
    let out = run.handle(Input::RestoredMembers(vec![serving]));
    assert_eq!(record_in(&out).map(|record| record.state), Some(MemberState::Draining));
    assert_eq!(record_in(&out), Some(draining));
}

/// A restore before the node has anything to announce.
#[test]
fn nothing_is_appended_before_the_first_announcement() {
    let mut run = HostedRun::new();
    assert_eq!(record_in(&run.handle(Input::RestoredMembers(Vec::new()))), None);
    assert!(run.node().is_restored());
    assert!(run.node().is_announcement_stored());
}

/// Records of other members that the copy does not have stay known.
#[test]
fn other_members_stay_in_the_router() {
    let (mut run, record) = announced();
    let known = run.node().calls().router().len();
    run.handle(Input::RestoredMembers(vec![record]));
    assert_eq!(run.node().calls().router().len(), known);
}
