//! Conversion between the header fields of HTTP messages and those of payloads.

use std::{collections::HashSet, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use poplartrail_core::call::Field;

/// Prefix of the header fields that a node sets and reads itself and never forwards.
pub const INTERNAL_FIELD_PREFIX: &str = "poplartrail-";

/// Hop-by-hop fields (RFC 9110, section 7.6.1), which apply to one connection only.
const HOP_BY_HOP_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop fields without a constant in `http`, and fields that each hop generates itself.
const OTHER_DROPPED_FIELDS: [&str; 4] =
    ["keep-alive", "proxy-connection", "expect", "content-length"];

/// Returns the fields that are forwarded: all but hop-by-hop fields, those that `Connection`
/// lists and those with [`INTERNAL_FIELD_PREFIX`].
pub fn end_to_end_fields(headers: &HeaderMap) -> Vec<Field> {
    let connection_options: HashSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name) && !connection_options.contains(name.as_str()))
        .map(|(name, value)| Field {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn is_dropped(name: &HeaderName) -> bool {
    HOP_BY_HOP_FIELDS.contains(name)
        || OTHER_DROPPED_FIELDS.contains(&name.as_str())
        || name.as_str().starts_with(INTERNAL_FIELD_PREFIX)
}

/// Appends `fields` to `headers`, except those whose name or value is not valid in HTTP.
pub fn add_fields(headers: &mut HeaderMap, fields: &[Field]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
