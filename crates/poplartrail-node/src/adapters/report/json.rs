//! JSON representation of the status and of events.

use poplartrail_core::{engine::NodeStatus, names::VmName};
use serde_json::{Value, json};

use crate::adapters::report::events::NumberedEvent;

/// Returns the status of a node.
pub(crate) fn status_json(status: &NodeStatus) -> Value {
    let ranks: Vec<Value> = status
        .ranks
        .iter()
        .map(|r| json!({"rank": r.rank.as_str(), "share": r.share, "path_share": r.path_share}))
        .collect();
    let instances: Vec<Value> = status
        .instances
        .iter()
        .map(|i| {
            json!({
                "service": i.service.as_str(),
                "vm": i.vm.as_str(),
                "zone": i.zone.as_str(),
                "addr": i.addr.to_string(),
                "open": i.is_available,
                "outstanding": i.outstanding,
            })
        })
        .collect();
    let limit = if status.concurrency_limit == usize::MAX {
        Value::Null
    } else {
        json!(status.concurrency_limit)
    };
    json!({
        "vm": status.vm.as_str(),
        "service": status.service.as_str(),
        "zone": status.zone.as_str(),
        "phase": status.phase,
        "config": status.config_version,
        "limit": limit,
        "named_limit": status.named_limit.map(|rate| rate.per_second()),
        "in_flight": status.in_flight,
        "queued": status.queued,
        "slots": status.key_slots,
        "keys": status.remembered_keys,
        "ranks": ranks,
        "instances": instances,
    })
}

/// Returns one event of the timeline of node `vm`.
pub(crate) fn event_json(vm: &VmName, event: &NumberedEvent) -> Value {
    let message = &event.message;
    let request = message.event.request_id.map(|id| uuid::Uuid::from_u128(id.0).to_string());
    json!({
        "at_ms": message.at.as_millis(),
        "vm": vm.as_str(),
        "number": event.number,
        "kind": message.event.kind.label(),
        "request": request,
        "rank": message.event.rank.as_ref().map(|rank| rank.as_str()),
        "text": message.event.kind.to_string(),
    })
}
