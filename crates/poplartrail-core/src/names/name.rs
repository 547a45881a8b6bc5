//! One newtype for each kind of name, each over a shared immutable string.

use std::{fmt, sync::Arc};

use crate::names::NameError;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn checked(what: &'static str, name: &str) -> Result<Arc<str>, NameError> {
    if name.is_empty() {
        return Err(NameError::Empty(what));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(what, name.len()));
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    if !name.chars().all(allowed) {
        return Err(NameError::BadCharacter(what, name.to_owned()));
    }
    Ok(Arc::from(name))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $what:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks the characters and the length, and makes the name.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                checked($what, name.as_ref()).map(Self)
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    )*};
}

names! {
    /// Name of a service: a set of upstreams that answer the same requests.
    ServiceName, "service";
    /// Name of a rank of work, as the base file states it.
    RankName, "rank";
    /// Name of an availability zone.
    ZoneName, "availability zone";
    /// Name of a region: a set of availability zones.
    RegionName, "region";
    /// Name of a site: the part of the fleet that one overlay describes.
    SiteName, "site";
    /// Name of a VM, and so of the node and the upstream on it.
    VmName, "VM";
    /// Name of a caller, as it states it.
    CallerName, "caller";
    /// Name of a route: requests that are handled alike.
    RouteName, "route";
    /// Name of one upstream process, as it states it.
    InstanceName, "instance";
    /// Name of an operator who publishes configuration.
    OperatorName, "operator";
}
