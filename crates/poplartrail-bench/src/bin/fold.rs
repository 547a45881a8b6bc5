//! Time that a node which starts needs to fold what the log has kept of a day.

use std::{fmt::Write, net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use poplartrail_core::{
    config::{Change, ChangeId, ConfigRecord, ConfigState, DocumentId},
    keys::{KeySlot, LeaseChange, LeaseTerms},
    member::{Member, MemberRecord, MemberState, Membership, SlotChange},
    names::{OperatorName, ServiceName, SiteName, VmName, ZoneName},
    time::{Time, WallTime},
};
use poplartrail_settings::document::SitePolicySource;

/// Services of the base file at the size to design for, and a tenth of it.
const SERVICES: [usize; 2] = [23, 230];
/// Overlays, one for each availability zone's site.
const SITES: usize = 6;
/// Changes folded in one measurement; the last is a day at the size to design for.
const CHANGES: [u64; 3] = [100, 1_000, 11_000];
/// One change in so many is one of the base file.
const BASE_EVERY: u64 = 10;
/// Member records folded in one measurement; the last is a day of 204 followed members.
const RECORDS: [u64; 3] = [1_000, 10_000, 97_000];
/// Followed members.
const MEMBERS: u64 = 204;

fn main() {
    for services in SERVICES {
        for changes in CHANGES {
            fold_changes(services, changes);
        }
    }
    for records in RECORDS {
        fold_members(records);
    }
}

fn fold_changes(services: usize, changes: u64) {
    let sites: Vec<SiteName> = (0..SITES).map(site).collect();
    let check = SitePolicySource::new(sites[0].clone());
    let mut history = ConfigState::new();
    let mut versions = [0; SITES + 1];
    let start = Instant::now();
    for turn in 0..changes {
        let (document, slot, text) = if turn % BASE_EVERY == 0 {
            (DocumentId::Base, SITES, base(services, turn))
        } else {
            let at = turn as usize % SITES;
            (DocumentId::Overlay(sites[at].clone()), at, overlay(turn))
        };
        let change = Change {
            id: ChangeId(u128::from(turn) + 1),
            document,
            expected_version: versions[slot],
            author: OperatorName::new("operator").expect("the name is valid"),
            text: Arc::from(text),
        };
        let is_new = history.apply(turn, at(turn), &ConfigRecord::Change(change), &check);
        assert!(is_new, "every change is accepted");
        versions[slot] += 1;
    }
    let micros = start.elapsed().as_micros() as u64;
    println!(
        "{changes} changes, {services} services, {SITES} overlays: {} ms, {} us each",
        micros / 1_000,
        micros / changes
    );
}

fn fold_members(records: u64) {
    let mut roster = Membership::default();
    let members: Vec<MemberRecord> = (0..MEMBERS).map(member_record).collect();
    let start = Instant::now();
    for turn in 0..records {
        roster.apply(turn, at(turn), &members[(turn % MEMBERS) as usize]);
    }
    let micros = start.elapsed().as_micros() as u64;
    println!("{records} member records: {} ms, {} members", micros / 1_000, roster.len());
}

fn at(turn: u64) -> WallTime {
    WallTime::from_millis(turn)
}

fn site(number: usize) -> SiteName {
    SiteName::new(format!("site-{number}")).expect("the name is valid")
}

/// A base file that `turn` makes differ from the one before.
fn base(services: usize, turn: u64) -> String {
    let mut text = format!(
        "zones = [\"zone-a\", \"zone-b\"]\n[[rank]]\nname = \"urgent\"\ntarget_ms = {}\n\
         worth = 100.0\nurgent = true\n[[rank]]\nname = \"routine\"\ntarget_ms = 1000\n\
         worth = 5.0\n",
        500 + turn
    );
    for service in 0..services {
        let next = (service + 1) % services;
        let calls = if next == 0 { String::new() } else { format!("\"service-{next}\"") };
        writeln!(text, "[[service]]\nname = \"service-{service}\"\ncalls = [{calls}]")
            .expect("a string takes any text");
    }
    text
}

fn overlay(turn: u64) -> String {
    format!("[[rank]]\nname = \"routine\"\ntarget_ms = {}\n", 2_000 + turn)
}

fn member_record(number: u64) -> MemberRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let second = Duration::from_secs(1);
    MemberRecord {
        member: Member {
            vm: VmName::new(format!("vm-{number}")).expect("the name is valid"),
            incarnation: 1,
            service: ServiceName::new("service").expect("the name is valid"),
            zone: ZoneName::new("zone-a").expect("the name is valid"),
            addr,
            report_addr: addr,
        },
        state: MemberState::Serving,
        terms: LeaseTerms { duration: 600 * second, max_skew: second },
        sent_at: Time::ZERO,
        slot_changes: vec![SlotChange {
            slot: KeySlot(number as u16),
            lease_change: LeaseChange::Claim,
        }],
    }
}
