//! Between HTTP messages and payloads.

use std::{collections::HashSet, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use poplartrail_core::call::Field;

/// Prefix of the fields that the system itself reads and sets.
pub const OWN_PREFIX: &str = "poplartrail-";

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
const HOP_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Fields of the same kind that have no constant, and those that are made anew.
const MORE_HOP_FIELDS: [&str; 4] = ["keep-alive", "proxy-connection", "expect", "content-length"];

/// Fields that a hop passes on: all but those of one connection and the system's own.
pub fn end_to_end_fields(headers: &HeaderMap) -> Vec<Field> {
    let listed: HashSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !is_hop(name) && !listed.contains(name.as_str()))
        .map(|(name, value)| Field {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn is_hop(name: &HeaderName) -> bool {
    HOP_FIELDS.contains(name)
        || MORE_HOP_FIELDS.contains(&name.as_str())
        || name.as_str().starts_with(OWN_PREFIX)
}

/// Adds `fields` to `headers`; a field that is no valid header is left out.
pub fn add_fields(headers: &mut HeaderMap, fields: &[Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
