//! The configuration as a fold: races, repeats, lost beginnings, and no way back.

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

fn at(offset: u64) -> WallTime {
    WallTime::from_millis(1_000 + offset)
}

fn apply(history: &mut ConfigState, offset: u64, change: &Change) -> bool {
    history.apply(offset, at(offset), &ConfigRecord::Change(change.clone()), &FixedPolicy)
}

#[test]
fn first_of_two_wins() {
    let mut history = ConfigState::new();
    assert!(apply(&mut history, 0, &change(1, 0)));
    assert!(apply(&mut history, 1, &change(2, 1)));
    assert!(!apply(&mut history, 2, &change(3, 1)));
    assert_eq!(history.version(), 2);
    match history.verdict(ChangeId(3)) {
        Some(Verdict::Stale(stale)) => {
            assert_eq!(stale.current, 2);
            assert_eq!(stale.author, Some(OperatorName::new("operator-2").unwrap()));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn repeated_append_counts_once() {
    let mut history = ConfigState::new();
    assert!(apply(&mut history, 0, &change(1, 0)));
    assert!(!apply(&mut history, 1, &change(1, 0)));
    assert_eq!(history.version(), 1);
    let accepted = Verdict::Accepted { version: 1, total: 1 };
    assert_eq!(history.verdict(ChangeId(1)), Some(&accepted));
}

#[test]
fn waits_out_a_gap() {
    let mut whole = ConfigState::new();
    for offset in 0..4 {
        assert!(apply(&mut whole, offset, &change(u128::from(offset) + 1, offset)));
    }
    let early = whole.snapshot().unwrap();
    // A new node finds only the last record, and must not judge it.
    let mut late = ConfigState::new();
    late.observe_oldest(4);
    assert!(!apply(&mut late, 4, &change(5, 4)));
    assert!(late.has_gap());
    assert!(late.snapshot().is_none());
    // The state up to the gap lets it catch up.
    assert!(late.apply(5, at(5), &ConfigRecord::Snapshot(early), &FixedPolicy));
    assert_eq!(late.version(), 5);
    assert!(!late.has_gap());
}

#[test]
fn old_snapshot_takes_nothing_back() {
    let mut history = ConfigState::new();
    assert!(apply(&mut history, 0, &change(1, 0)));
    let old = history.snapshot().unwrap();
    assert!(apply(&mut history, 1, &change(2, 1)));
    assert!(!history.install_snapshot(&old, &FixedPolicy));
    assert!(!history.apply(2, at(2), &ConfigRecord::Snapshot(old), &FixedPolicy));
    assert_eq!(history.version(), 2);
}

#[test]
fn carried_before_it_expires() {
    let mut history = ConfigState::new();
    assert!(apply(&mut history, 0, &change(1, 0)));
    let retention = Duration::from_millis(100);
    assert!(!history.needs_snapshot(at(50), retention));
    assert!(history.needs_snapshot(at(51), retention));
    let snapshot = history.snapshot().unwrap();
    assert!(!history.apply(1, at(60), &ConfigRecord::Snapshot(snapshot), &FixedPolicy));
    assert!(!history.needs_snapshot(at(100), retention));
}

/// A log of racing changes with snapshots by nodes that lag, of which the beginning expires.
fn log() -> impl Strategy<Value = Vec<(u8, u64, usize)>> {
    prop::collection::vec((0u8..4, 0u64..3, 0usize..4), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every node that can judge has the same documents, whenever it began to read.
    #[test]
    fn all_nodes_agree(plan in log(), starts in prop::collection::vec(0usize..60, 3)) {
        let mut reference = ConfigState::new();
        let mut past: Vec<ConfigState> = vec![reference.clone()];
        let mut log: Vec<ConfigRecord> = Vec::new();
        let mut versions: Vec<u64> = Vec::new();
        for (turn, (kind, behind, lag)) in plan.iter().enumerate() {
            let step = if *kind == 0 {
                // A node that lags appends what it has.
                let lagging = &past[past.len().saturating_sub(lag + 1)];
                match lagging.snapshot() {
                    Some(snapshot) => ConfigRecord::Snapshot(snapshot),
                    None => continue,
                }
            } else {
                let current = reference.documents().get(&DocumentId::Base).map_or(0, |d| d.version);
                ConfigRecord::Change(change(turn as u128 + 1, current.saturating_sub(*behind)))
            };
            let offset = log.len() as u64;
            reference.apply(offset, at(offset), &step, &FixedPolicy);
            log.push(step);
            past.push(reference.clone());
            versions.push(reference.version());
        }
        prop_assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "versions only grow");
        for start in starts {
            let first = start.min(log.len());
            let mut node = ConfigState::new();
            node.observe_oldest(first as u64);
            let mut last = 0;
            for (offset, step) in log.iter().enumerate().skip(first) {
                node.apply(offset as u64, at(offset as u64), step, &FixedPolicy);
                prop_assert!(node.version() >= last, "a node never goes back");
                last = node.version();
            }
            if !node.has_gap() && node.version() > 0 {
                prop_assert_eq!(node.documents(), reference.documents());
            }
        }
    }
}
