//! Home of a key: the only place where it may run.

use crate::{
    keys::IdempotencyKey,
    names::{ServiceName, ZoneName},
    policy::Policy,
};

/// Number of a key slot, counted from 0 within a service and an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeySlot(pub u16);

/// Availability zone and key slot that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Home {
    /// Availability zone that the hash of the key selects.
    pub zone: ZoneName,
    /// Key slot within the zone.
    pub slot: KeySlot,
}

impl Home {
    /// Returns the home of `key` for `service`, or `None` if the policy lists no availability zone
    /// or does not list the service.
    pub fn of_key(key: IdempotencyKey, service: &ServiceName, policy: &Policy) -> Option<Home> {
        let rule = policy.service(service)?;
        let zones = policy.zones.len() as u64;
        if zones == 0 {
            return None;
        }
        let hash = key.hash();
        let zone = policy.zones[((hash & 0xffff_ffff) % zones) as usize].clone();
        let slot = KeySlot(((hash >> 32) % u64::from(rule.key_slots)) as u16);
        Some(Home { zone, slot })
    }
}
