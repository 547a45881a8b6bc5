//! Base file and overlay become a policy.

use std::time::Duration;

use poplartrail_core::{
    names::{NameError, RankName, ServiceName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks, ServiceRule},
};

use crate::{
    SettingsError,
    document::{BaseDocument, BoundsPart, OverlayDocument, RankPart, ServicePart},
};

/// Key slots of a service that states none.
const DEFAULT_KEY_SLOTS: u16 = 8;

/// Puts `overlay` of `site` over `base` and checks the result.
pub fn merge(
    base: &BaseDocument,
    site: &str,
    overlay: &OverlayDocument,
) -> Result<Policy, SettingsError> {
    for part in &overlay.rank {
        if !base.rank.iter().any(|r| r.name == part.name) {
            let name = part.name.clone();
            return Err(SettingsError::NotInBase(site.to_owned(), "rank", name));
        }
    }
    for part in &overlay.service {
        if !base.service.iter().any(|s| s.name == part.name) {
            let name = part.name.clone();
            return Err(SettingsError::NotInBase(site.to_owned(), "service", name));
        }
    }
    let policy_error = |err| SettingsError::Policy(format!("site {site}"), err);
    let ranks = base.rank.iter().map(|part| rank(part, &overlay.rank));
    let ranks = Ranks::new(ranks.collect::<Result<_, _>>()?).map_err(policy_error)?;
    let services = base.service.iter().map(|part| service(part, &overlay.service));
    let services = services.collect::<Result<_, _>>()?;
    let zones = overlay.zones.as_ref().unwrap_or(&base.zones).iter();
    let zones = zones.map(|name| ZoneName::new(name).map_err(|e| name_error("zones", e)));
    let zones = zones.collect::<Result<_, _>>()?;
    let bounds = bounds(&base.bounds, &overlay.bounds).map_err(policy_error)?;
    Policy::new(ranks, services, zones, bounds).map_err(policy_error)
}

fn name_error(field: &'static str, err: NameError) -> SettingsError {
    SettingsError::Name(field, err)
}

fn rank(base: &RankPart, overlays: &[RankPart]) -> Result<Rank, SettingsError> {
    let over = overlays.iter().find(|part| part.name == base.name);
    let target_ms = over.and_then(|part| part.target_ms).or(base.target_ms);
    let worth = over.and_then(|part| part.worth).or(base.worth);
    let is_urgent = over.and_then(|part| part.urgent).or(base.urgent);
    let missing = |field| SettingsError::Missing(format!("rank {:?}", base.name), field);
    Ok(Rank {
        name: RankName::new(&base.name).map_err(|e| name_error("rank.name", e))?,
        target: Duration::from_millis(target_ms.ok_or_else(|| missing("target_ms"))?),
        worth: worth.ok_or_else(|| missing("worth"))?,
        is_urgent: is_urgent.unwrap_or(false),
    })
}

fn service(base: &ServicePart, overlays: &[ServicePart]) -> Result<ServiceRule, SettingsError> {
    let over = overlays.iter().find(|part| part.name == base.name);
    let key_slots = over.and_then(|part| part.key_slots).or(base.key_slots);
    let calls = over.and_then(|part| part.calls.as_ref()).or(base.calls.as_ref());
    let calls = calls.into_iter().flatten();
    let calls =
        calls.map(|name| ServiceName::new(name).map_err(|e| name_error("service.calls", e)));
    Ok(ServiceRule {
        name: ServiceName::new(&base.name).map_err(|e| name_error("service.name", e))?,
        key_slots: key_slots.unwrap_or(DEFAULT_KEY_SLOTS),
        callees: calls.collect::<Result<_, _>>()?,
    })
}

fn bounds(
    base: &BoundsPart,
    over: &BoundsPart,
) -> Result<Bounds, poplartrail_core::policy::PolicyError> {
    let defaults = Bounds::default();
    let millis = |over: Option<u64>, base: Option<u64>, default: Duration| {
        over.or(base).map_or(default, Duration::from_millis)
    };
    let secs = |over: Option<u64>, base: Option<u64>, default: Duration| {
        over.or(base).map_or(default, Duration::from_secs)
    };
    let retries = over.retries_per_request.or(base.retries_per_request);
    Bounds::builder()
        .retries_per_request(retries.unwrap_or(defaults.retries_per_request))
        .retry_ratio(over.retry_ratio.or(base.retry_ratio).unwrap_or(defaults.retry_ratio))
        .queue_len(over.queue_len.or(base.queue_len).unwrap_or(defaults.queue_len))
        .max_depth(over.max_depth.or(base.max_depth).unwrap_or(defaults.max_depth))
        .interval(millis(over.interval_ms, base.interval_ms, defaults.interval))
        .key_window(secs(over.key_window_s, base.key_window_s, defaults.key_window))
        .clock_skew(millis(over.clock_skew_ms, base.clock_skew_ms, defaults.clock_skew))
        .lease(secs(over.lease_s, base.lease_s, defaults.lease))
        .build()
}

/// Fields in which `overlay` states what `base` states already.
pub fn repeats(base: &BaseDocument, overlay: &OverlayDocument) -> Vec<String> {
    let mut found = Vec::new();
    for over in &overlay.rank {
        if let Some(part) = base.rank.iter().find(|part| part.name == over.name) {
            let name = format!("rank {:?}", over.name);
            note_same(&mut found, &name, "target_ms", &over.target_ms, &part.target_ms);
            note_same(&mut found, &name, "worth", &over.worth, &part.worth);
            note_same(&mut found, &name, "urgent", &over.urgent, &part.urgent);
        }
    }
    for over in &overlay.service {
        if let Some(part) = base.service.iter().find(|part| part.name == over.name) {
            let name = format!("service {:?}", over.name);
            note_same(&mut found, &name, "key_slots", &over.key_slots, &part.key_slots);
            note_same(&mut found, &name, "calls", &over.calls, &part.calls);
        }
    }
    if overlay.zones.as_ref().is_some_and(|zones| *zones == base.zones) {
        found.push("zones".to_owned());
    }
    note_same_bounds(&mut found, &overlay.bounds, &base.bounds);
    found
}

fn note_same<T: PartialEq>(
    found: &mut Vec<String>,
    name: &str,
    field: &str,
    over: &Option<T>,
    base: &Option<T>,
) {
    if over.is_some() && over == base {
        found.push(format!("{name} {field}"));
    }
}

fn note_same_bounds(found: &mut Vec<String>, over: &BoundsPart, base: &BoundsPart) {
    macro_rules! fields {
        ($($field:ident),* $(,)?) => {
            $(note_same(found, "bounds", stringify!($field), &over.$field, &base.$field);)*
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
