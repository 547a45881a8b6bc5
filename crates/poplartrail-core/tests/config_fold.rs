//! The configuration as a fold of the log: racing changes, duplicate appends, an expired beginning
//! of the log, and versions that never decrease.

use std::{sync::Arc, time::Duration};

use poplartrail_core::{
    config::{Change, ChangeId, ConfigRecord, ConfigState, DocumentId, Verdict},
    engine::FixedPolicy,
    names::OperatorName,
    time::WallTime,
};
use proptest::prelude::*;

fn change(id: u128, against: u64) -> Change {
    Change {
        id: ChangeId(id),
        document: DocumentId::Base,
        expected_version: against,
        author: OperatorName::new(format!("operator-{id}")).unwrap(),
        text: Arc::from(format!("text {id}")),
    }
}

fn log_time(offset: u64) -> WallTime {
    WallTime::from_millis(1_000 + offset)
}

fn apply(state: &mut ConfigState, offset: u64, change: &Change) -> bool {
    state.apply(offset, log_time(offset), &ConfigRecord::Change(change.clone()), &FixedPolicy)
}

#[test]
fn first_of_two_wins() {
    let mut state = ConfigState::new();
    assert!(apply(&mut state, 0, &change(1, 0)));
    assert!(apply(&mut state, 1, &change(2, 1)));
    assert!(!apply(&mut state, 2, &change(3, 1)));
    assert_eq!(state.version(), 2);
    match state.verdict(ChangeId(3)) {
        Some(Verdict::Stale(stale)) => {
            assert_eq!(stale.current, 2);
            assert_eq!(stale.author, Some(OperatorName::new("operator-2").unwrap()));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn duplicate_append_counts_once() {
    let mut state = ConfigState::new();
    assert!(apply(&mut state, 0, &change(1, 0)));
    assert!(!apply(&mut state, 1, &change(1, 0)));
    assert_eq!(state.version(), 1);
    let accepted = Verdict::Accepted { version: 1, total: 1 };
    assert_eq!(state.verdict(ChangeId(1)), Some(&accepted));
}

#[test]
fn gap_is_closed_by_a_snapshot() {
    let mut complete = ConfigState::new();
    for offset in 0..4 {
        assert!(apply(&mut complete, offset, &change(u128::from(offset) + 1, offset)));
    }
    let snapshot = complete.snapshot().unwrap();
    // A new node finds only the last record, and must not decide on it without those before.
    let mut late = ConfigState::new();
    late.observe_oldest(4);
    assert!(!apply(&mut late, 4, &change(5, 4)));
    assert!(late.has_gap());
    assert!(late.snapshot().is_none());
    // A snapshot that covers the gap lets it catch up.
    assert!(late.apply(5, log_time(5), &ConfigRecord::Snapshot(snapshot), &FixedPolicy));
    assert_eq!(late.version(), 5);
    assert!(!late.has_gap());
}

#[test]
fn old_snapshot_reverts_nothing() {
    let mut state = ConfigState::new();
    assert!(apply(&mut state, 0, &change(1, 0)));
    let old = state.snapshot().unwrap();
    assert!(apply(&mut state, 1, &change(2, 1)));
    assert!(!state.install_snapshot(&old, &FixedPolicy));
    assert!(!state.apply(2, log_time(2), &ConfigRecord::Snapshot(old), &FixedPolicy));
    assert_eq!(state.version(), 2);
}

#[test]
fn snapshot_appended_before_log_expires() {
    let mut state = ConfigState::new();
    assert!(apply(&mut state, 0, &change(1, 0)));
    let retention = Duration::from_millis(100);
    assert!(!state.needs_snapshot(log_time(50), retention));
    assert!(state.needs_snapshot(log_time(51), retention));
    let snapshot = state.snapshot().unwrap();
    assert!(!state.apply(1, log_time(60), &ConfigRecord::Snapshot(snapshot), &FixedPolicy));
    assert!(!state.needs_snapshot(log_time(100), retention));
}

/// A plan for a log of racing changes and of snapshots by lagging nodes: the kind of each record (0
/// is a snapshot), how far behind its change was made, and how far its snapshot lags.
fn log_plan() -> impl Strategy<Value = Vec<(u8, u64, usize)>> {
    prop::collection::vec((0u8..4, 0u64..3, 0usize..4), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every node without a gap in the log has the same documents, wherever it started to read.
    #[test]
    fn all_nodes_converge(plan in log_plan(), starts in prop::collection::vec(0usize..60, 3)) {
        let mut reference = ConfigState::new();
        let mut past: Vec<ConfigState> = vec![reference.clone()];
        let mut log: Vec<ConfigRecord> = Vec::new();
        let mut versions: Vec<u64> = Vec::new();
        for (index, (kind, behind, lag)) in plan.iter().enumerate() {
            let record = if *kind == 0 {
                // A lagging node appends a snapshot of its state.
                let lagging = &past[past.len().saturating_sub(lag + 1)];
                match lagging.snapshot() {
                    Some(snapshot) => ConfigRecord::Snapshot(snapshot),
                    None => continue,
                }
            } else {
                let current = reference.documents().get(&DocumentId::Base).map_or(0, |d| d.version);
                ConfigRecord::Change(change(index as u128 + 1, current.saturating_sub(*behind)))
            };
            let offset = log.len() as u64;
            reference.apply(offset, log_time(offset), &record, &FixedPolicy);
            log.push(record);
            past.push(reference.clone());
            versions.push(reference.version());
        }
        prop_assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "versions only grow");
        for start in starts {
            let first = start.min(log.len());
            let mut node = ConfigState::new();
            node.observe_oldest(first as u64);
            let mut last = 0;
            for (offset, record) in log.iter().enumerate().skip(first) {
                node.apply(offset as u64, log_time(offset as u64), record, &FixedPolicy);
                prop_assert!(node.version() >= last, "a node never goes back");
                last = node.version();
            }
            if !node.has_gap() && node.version() > 0 {
                prop_assert_eq!(node.documents(), reference.documents());
            }
        }
    }
}
