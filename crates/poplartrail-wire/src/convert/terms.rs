//! Terms of an upstream, which replies report and calls state.

use std::time::Duration;

use poplartrail_core::upstream::{CallRate, UpstreamTerms};

use crate::{
    convert::member::{upstream_from_wire, upstream_to_wire},
    generated as wire,
};

pub(crate) fn terms_to_wire(terms: &UpstreamTerms) -> wire::UpstreamTerms {
    wire::UpstreamTerms {
        upstream: Some(upstream_to_wire(&terms.incarnation)),
        limit: terms.limit.map(CallRate::thousandths),
        age_ms: terms.age.as_millis() as u64,
        leaving: terms.is_leaving,
    }
}

/// Converts the terms in a message; `None` if they name no upstream, as the rest of the message is
/// of use without them.
pub(crate) fn terms_from_wire(terms: &wire::UpstreamTerms) -> Option<UpstreamTerms> {
    Some(UpstreamTerms {
        incarnation: upstream_from_wire(terms.upstream.as_ref()?).ok()?,
        limit: terms.limit.map(CallRate::from_thousandths),
        age: Duration::from_millis(terms.age_ms),
        is_leaving: terms.leaving,
    })
}
