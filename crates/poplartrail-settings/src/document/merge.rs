//! Merges the base file and an overlay into a policy.

use std::time::Duration;

use poplartrail_core::{
    names::{NameError, RankName, ServiceName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks, ServiceRule},
};

use crate::{
    SettingsError,
    document::{BaseDocument, BoundsTable, OverlayDocument, RankEntry, ServiceEntry},
};

/// Number of key slots in each availability zone for a service without `key_slots`.
///
/// A key slot is a part of the key space that one node at a time holds under a lease.
const DEFAULT_KEY_SLOTS: u16 = 8;

/// Builds the policy of `site` by replacing values of `base` with those that `overlay` sets.
///
/// Returns an error if the result is not a valid policy, or if `overlay` names a rank or a service
/// that `base` does not list.
pub fn merge(
    base: &BaseDocument,
    site: &str,
    overlay: &OverlayDocument,
) -> Result<Policy, SettingsError> {
    for entry in &overlay.rank {
        if !base.rank.iter().any(|r| r.name == entry.name) {
            let name = entry.name.clone();
            return Err(SettingsError::NotInBase(site.to_owned(), "rank", name));
        }
    }
    for entry in &overlay.service {
        if !base.service.iter().any(|s| s.name == entry.name) {
            let name = entry.name.clone();
            return Err(SettingsError::NotInBase(site.to_owned(), "service", name));
        }
    }
    let policy_error = |err| SettingsError::InvalidPolicy(format!("site {site}"), err);
    let ranks = base.rank.iter().map(|entry| merge_rank(entry, &overlay.rank));
    let ranks = Ranks::new(ranks.collect::<Result<_, _>>()?).map_err(policy_error)?;
    let services = base.service.iter().map(|entry| merge_service(entry, &overlay.service));
    let services = services.collect::<Result<_, _>>()?;
    let zones = overlay.zones.as_ref().unwrap_or(&base.zones).iter();
    let zones = zones.map(|name| ZoneName::new(name).map_err(|e| name_error("zones", e)));
    let zones = zones.collect::<Result<_, _>>()?;
    let bounds = merge_bounds(&base.bounds, &overlay.bounds).map_err(policy_error)?;
    Policy::new(ranks, services, zones, bounds).map_err(policy_error)
}

fn name_error(field: &'static str, err: NameError) -> SettingsError {
    SettingsError::InvalidName(field, err)
}

fn merge_rank(base: &RankEntry, overlays: &[RankEntry]) -> Result<Rank, SettingsError> {
    let overlay = overlays.iter().find(|entry| entry.name == base.name);
    let target_ms = overlay.and_then(|entry| entry.target_ms).or(base.target_ms);
    let worth = overlay.and_then(|entry| entry.worth).or(base.worth);
    let is_urgent = overlay.and_then(|entry| entry.urgent).or(base.urgent);
    let missing = |field| SettingsError::MissingField(format!("rank {:?}", base.name), field);
    Ok(Rank {
        name: RankName::new(&base.name).map_err(|e| name_error("rank.name", e))?,
        target: Duration::from_millis(target_ms.ok_or_else(|| missing("target_ms"))?),
        worth: worth.ok_or_else(|| missing("worth"))?,
        is_urgent: is_urgent.unwrap_or(false),
    })
}

fn merge_service(
    base: &ServiceEntry,
    overlays: &[ServiceEntry],
) -> Result<ServiceRule, SettingsError> {
    let overlay = overlays.iter().find(|entry| entry.name == base.name);
    let key_slots = overlay.and_then(|entry| entry.key_slots).or(base.key_slots);
    let calls = overlay.and_then(|entry| entry.calls.as_ref()).or(base.calls.as_ref());
    let calls = calls.into_iter().flatten();
    let calls =
        calls.map(|name| ServiceName::new(name).map_err(|e| name_error("service.calls", e)));
    Ok(ServiceRule {
        name: ServiceName::new(&base.name).map_err(|e| name_error("service.name", e))?,
        key_slots: key_slots.unwrap_or(DEFAULT_KEY_SLOTS),
        callees: calls.collect::<Result<_, _>>()?,
    })
}

fn merge_bounds(
    base: &BoundsTable,
    overlay: &BoundsTable,
) -> Result<Bounds, poplartrail_core::policy::PolicyError> {
    let defaults = Bounds::default();
    let millis = |overlay: Option<u64>, base: Option<u64>, default: Duration| {
        overlay.or(base).map_or(default, Duration::from_millis)
    };
    let secs = |overlay: Option<u64>, base: Option<u64>, default: Duration| {
        overlay.or(base).map_or(default, Duration::from_secs)
    };
    let retries = overlay.retries_per_request.or(base.retries_per_request);
    Bounds::builder()
        .retries_per_request(retries.unwrap_or(defaults.retries_per_request))
        .retry_ratio(overlay.retry_ratio.or(base.retry_ratio).unwrap_or(defaults.retry_ratio))
        .queue_len(overlay.queue_len.or(base.queue_len).unwrap_or(defaults.queue_len))
        .max_depth(overlay.max_depth.or(base.max_depth).unwrap_or(defaults.max_depth))
        .interval(millis(overlay.interval_ms, base.interval_ms, defaults.interval))
        .key_window(secs(overlay.key_window_s, base.key_window_s, defaults.key_window))
        .clock_skew(millis(overlay.clock_skew_ms, base.clock_skew_ms, defaults.clock_skew))
        .lease(secs(overlay.lease_s, base.lease_s, defaults.lease))
        .build()
}

/// Returns the fields of `overlay` that have the same value in `base`.
pub fn redundant_fields(base: &BaseDocument, overlay: &OverlayDocument) -> Vec<String> {
    let mut found = Vec::new();
    for rank in &overlay.rank {
        if let Some(base_rank) = base.rank.iter().find(|r| r.name == rank.name) {
            let name = format!("rank {:?}", rank.name);
            push_if_equal(&mut found, &name, "target_ms", &rank.target_ms, &base_rank.target_ms);
            push_if_equal(&mut found, &name, "worth", &rank.worth, &base_rank.worth);
            push_if_equal(&mut found, &name, "urgent", &rank.urgent, &base_rank.urgent);
        }
    }
    for service in &overlay.service {
        if let Some(base_service) = base.service.iter().find(|s| s.name == service.name) {
            let name = format!("service {:?}", service.name);
            push_if_equal(
                &mut found,
                &name,
                "key_slots",
                &service.key_slots,
                &base_service.key_slots,
            );
            push_if_equal(&mut found, &name, "calls", &service.calls, &base_service.calls);
        }
    }
    if overlay.zones.as_ref().is_some_and(|zones| *zones == base.zones) {
        found.push("zones".to_owned());
    }
    push_equal_bounds(&mut found, &overlay.bounds, &base.bounds);
    found
}

fn push_if_equal<T: PartialEq>(
    found: &mut Vec<String>,
    name: &str,
    field: &str,
    overlay: &Option<T>,
    base: &Option<T>,
) {
    if overlay.is_some() && overlay == base {
        found.push(format!("{name} {field}"));
    }
}

fn push_equal_bounds(found: &mut Vec<String>, overlay: &BoundsTable, base: &BoundsTable) {
    macro_rules! fields {
        ($($field:ident),* $(,)?) => {
            $(push_if_equal(found, "bounds", stringify!($field), &overlay.$field, &base.$field);)*
        };
    }
    fields!(
        retries_per_request,
        retry_ratio,
        queue_len,
        max_depth,
        interval_ms,
        key_window_s,
        clock_skew_ms,
        lease_s,
    );
}
