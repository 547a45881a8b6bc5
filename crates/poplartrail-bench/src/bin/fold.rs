//! Measures the time that a starting node needs to fold a day of log records into its state.

use std::{fmt::Write, net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use poplartrail_core::{
    config::{Change, ChangeId, ConfigRecord, ConfigState, DocumentId},
    keys::{KeySlot, LeaseChange, LeaseTerms},
    member::{Member, MemberRecord, MemberState, Membership, SlotChange},
    names::{OperatorName, ServiceName, SiteName, VmName, ZoneName},
    time::{Time, WallTime},
};
use poplartrail_settings::document::SitePolicySource;

/// Numbers of services in the base file; the larger is the design size, the smaller a tenth of it.
const SERVICES: [usize; 2] = [23, 230];
/// Number of overlays: one for the site of each availability zone.
const SITES: usize = 6;
/// Numbers of changes that one measurement folds; the last is a day at the design size.
const CHANGES: [u64; 3] = [100, 1_000, 11_000];
/// Every tenth change is a change of the base file, the others are changes of overlays.
const BASE_CHANGE_INTERVAL: u64 = 10;
/// Numbers of member records that one measurement folds; the last is a day with 204 members.
const RECORDS: [u64; 3] = [1_000, 10_000, 97_000];
/// Number of members in the streams that a node subscribes to.
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
    let documents = SitePolicySource::new(sites[0].clone());
    let mut config = ConfigState::new();
    let mut versions = [0; SITES + 1];
    let start = Instant::now();
    for offset in 0..changes {
        let (document, index, text) = if offset % BASE_CHANGE_INTERVAL == 0 {
            (DocumentId::Base, SITES, base(services, offset))
        } else {
            let site_index = offset as usize % SITES;
            (DocumentId::Overlay(sites[site_index].clone()), site_index, overlay(offset))
        };
        let change = Change {
            id: ChangeId(u128::from(offset) + 1),
            document,
            expected_version: versions[index],
            author: OperatorName::new("operator").expect("the name is valid"),
            text: Arc::from(text),
        };
        let is_new =
            config.apply(offset, timestamp(offset), &ConfigRecord::Change(change), &documents);
        assert!(is_new, "the change was not accepted");
        versions[index] += 1;
    }
    let micros = start.elapsed().as_micros() as u64;
    println!(
        "{changes} changes, {services} services, {SITES} overlays: {} ms, {} us each",
        micros / 1_000,
        micros / changes
    );
}

fn fold_members(records: u64) {
    let mut membership = Membership::default();
    let members: Vec<MemberRecord> = (0..MEMBERS).map(member_record).collect();
    let start = Instant::now();
    for offset in 0..records {
        membership.apply(offset, timestamp(offset), &members[(offset % MEMBERS) as usize]);
    }
    let micros = start.elapsed().as_micros() as u64;
    println!("{records} member records: {} ms, {} members", micros / 1_000, membership.len());
}

fn timestamp(offset: u64) -> WallTime {
    WallTime::from_millis(offset)
}

fn site(number: usize) -> SiteName {
    SiteName::new(format!("site-{number}")).expect("the name is valid")
}

/// Returns a base file whose text depends on `offset`, so that each change differs from the one
/// before.
fn base(services: usize, offset: u64) -> String {
    let mut text = format!(
        "zones = [\"zone-a\", \"zone-b\"]\n[[rank]]\nname = \"urgent\"\ntarget_ms = {}\n\
         worth = 100.0\nurgent = true\n[[rank]]\nname = \"routine\"\ntarget_ms = 1000\n\
         worth = 5.0\n",
        500 + offset
    );
    for service in 0..services {
        let next = (service + 1) % services;
        let calls = if next == 0 { String::new() } else { format!("\"service-{next}\"") };
        writeln!(text, "[[service]]\nname = \"service-{service}\"\ncalls = [{calls}]")
            .expect("writing to a string does not fail");
    }
    text
}

fn overlay(offset: u64) -> String {
    format!("[[rank]]\nname = \"routine\"\ntarget_ms = {}\n", 2_000 + offset)
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
        upstream: None,
    }
}
