//! At most one holder ever accepts a key, under any order of claims, renewals and releases.

use std::time::Duration;

use poplartrail_core::{
    keys::{Home, IdempotencyKey, KeyCheck, KeySlot, LeaseChange, LeaseTable, LeaseTerms},
    names::{VmName, ZoneName},
    time::WallTime,
};
use proptest::prelude::*;
use test_case::test_case;

const START: u64 = 1_800_000_000_000;
const TERMS: LeaseTerms =
    LeaseTerms { duration: Duration::from_secs(10), max_skew: Duration::from_secs(2) };

/// A record of the log: the node that appends it, its kind (0 claim, 1 renew, 2 release), the time
/// since the last record, and for a release the last accepted mint time after the start of the
/// epoch.
#[derive(Debug, Clone)]
struct Record {
    node: usize,
    kind: u8,
    gap_ms: u64,
    accepted_after_ms: u64,
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let record = (0usize..3, 0u8..3, 0u64..9_000, 0u64..14_000).prop_map(
        |(node, kind, gap_ms, accepted_after_ms)| Record { node, kind, gap_ms, accepted_after_ms },
    );
    prop::collection::vec(record, 1..60)
}

fn home() -> Home {
    Home { zone: ZoneName::new("zone-a").unwrap(), slot: KeySlot(0) }
}

fn vm(node: usize) -> VmName {
    VmName::new(format!("vm-{node}")).unwrap()
}

/// Applies the records, and returns the first mint time, in milliseconds, that two holders accept.
fn first_overlap(records: &[Record]) -> Option<u64> {
    let mut table = LeaseTable::default();
    let mut at = START;
    // Holder and bounds of each epoch. A holder may accept any key within its epoch at any time.
    let mut spans: Vec<(usize, u64, u64)> = Vec::new();
    for record in records {
        at += record.gap_ms;
        let now = WallTime::from_millis(at);
        let last_accepted = table.get(&home()).map_or(now, |lease| {
            // The latest key that a holder accepted lies within its epoch.
            let (low, high) = (lease.epoch.floor.as_millis(), lease.epoch.ceiling.as_millis());
            WallTime::from_millis((low + record.accepted_after_ms).min(high))
        });
        let change = match record.kind {
            0 => LeaseChange::Claim,
            1 => LeaseChange::Renew,
            _ => LeaseChange::Release { last_accepted },
        };
        let is_release = record.kind == 2;
        let has_effect = table.apply(now, &home(), &vm(record.node), 1, TERMS, change);
        if !has_effect {
            continue;
        }
        let lease = table.get(&home()).expect("a record that has an effect leaves a lease");
        let span = (record.node, lease.epoch.floor.as_millis(), lease.epoch.ceiling.as_millis());
        match spans.last_mut() {
            // The holder stops accepting keys before it appends its release.
            Some(last) if last.0 == record.node && (is_release || last.1 == span.1) => *last = span,
            _ => spans.push(span),
        }
    }
    spans.windows(2).find(|pair| pair[1].1 < pair[0].2).map(|pair| pair[1].1)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn epochs_never_overlap(records in records()) {
        prop_assert_eq!(first_overlap(&records), None);
    }

    /// A reader that has not read the beginning of the log takes no slot for free that is held.
    #[test]
    fn late_reader_claims_no_held_slot(records in records(), first_read in 0usize..60) {
        let terms = LeaseTerms { duration: Duration::from_secs(1_800), ..TERMS };
        let mut complete = LeaseTable::default();
        let mut late = LeaseTable::default();
        let mut holders = vec![None; 3];
        let mut at = START;
        for (index, record) in records.iter().enumerate() {
            at += record.gap_ms * 100;
            let now = WallTime::from_millis(at);
            // A node renews what it held when it last read the log, up to two records ago.
            let change = if record.kind == 0 { LeaseChange::Claim } else { LeaseChange::Renew };
            let last_known_holder = holders[holders.len() - 1 - record.node % 3];
            let node = if record.kind == 0 { Some(record.node) } else { last_known_holder };
            if index == first_read {
                late.observe_truncation(now);
            }
            if let Some(node) = node {
                complete.apply(now, &home(), &vm(node), 1, terms, change);
                if index >= first_read {
                    late.apply(now, &home(), &vm(node), 1, terms, change);
                }
            }
            let holder = complete.get(&home()).filter(|lease| lease.expires_at > now);
            holders.push(
                holder.map(|lease| (0..3).find(|&node| lease.holder == vm(node)).unwrap()),
            );
            if index >= first_read && late.is_free(&home(), now) {
                prop_assert!(complete.is_free(&home(), now), "claimed while held");
            }
        }
    }
}

#[test_case(0, KeyCheck::TooOld; "minted before the claim")]
#[test_case(1, KeyCheck::Accepted; "minted after the claim")]
#[test_case(12_000, KeyCheck::Accepted; "minted within the skew")]
#[test_case(12_001, KeyCheck::TooNew; "minted beyond lease and skew")]
#[test_case(3_600_000, KeyCheck::TooNew; "clock an hour ahead")]
fn checked_by_mint_time(after_claim_ms: u64, expected: KeyCheck) {
    let mut table = LeaseTable::default();
    let now = WallTime::from_millis(START);
    assert!(table.apply(now, &home(), &vm(0), 1, TERMS, LeaseChange::Claim));
    let key = IdempotencyKey::mint(WallTime::from_millis(START + after_claim_ms), 42);
    assert_eq!(table.get(&home()).unwrap().epoch.check(key), expected);
}

#[test]
fn clock_an_hour_behind_is_too_old() {
    let mut table = LeaseTable::default();
    let now = WallTime::from_millis(START);
    assert!(table.apply(now, &home(), &vm(0), 1, TERMS, LeaseChange::Claim));
    let key = IdempotencyKey::mint(WallTime::from_millis(START - 3_600_000), 42);
    assert_eq!(table.get(&home()).unwrap().epoch.check(key), KeyCheck::TooOld);
}

#[test]
fn held_slot_is_not_claimed() {
    let mut table = LeaseTable::default();
    let at = |ms| WallTime::from_millis(START + ms);
    assert!(table.apply(at(0), &home(), &vm(0), 1, TERMS, LeaseChange::Claim));
    assert!(!table.apply(at(9_999), &home(), &vm(1), 1, TERMS, LeaseChange::Claim));
    assert!(table.apply(at(10_000), &home(), &vm(1), 1, TERMS, LeaseChange::Claim));
    assert!(!table.apply(at(10_001), &home(), &vm(0), 1, TERMS, LeaseChange::Renew));
}
