//! Newtypes for each kind of name, over a shared immutable string.

use std::{fmt, sync::Arc};

use crate::names::NameError;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn validate(kind: &'static str, name: &str) -> Result<Arc<str>, NameError> {
    if name.is_empty() {
        return Err(NameError::Empty(kind));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(kind, name.len()));
    }
    let is_allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    if !name.chars().all(is_allowed) {
        return Err(NameError::BadCharacter(kind, name.to_owned()));
    }
    Ok(Arc::from(name))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name after checking its length and characters.
            pub fn new(name: impl AsRef<str>) -> Result<Self, NameError> {
                validate($kind, name.as_ref()).map(Self)
            }

            /// Returns the name as a string slice.
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
    /// Name of a rank, which the base file lists or, on a hosted node, follows from the routes.
    RankName, "rank";
    /// Name of an availability zone.
    ZoneName, "availability zone";
    /// Name of a region: a set of availability zones.
    RegionName, "region";
    /// Name of a site: the part of the fleet that one overlay configures.
    SiteName, "site";
    /// Name of a VM, which also identifies the node and the upstream on it.
    VmName, "VM";
    /// Name of a caller, as the caller states it.
    CallerName, "caller";
    /// Name of a route: a set of requests that are handled alike.
    RouteName, "route";
    /// Name of one upstream process, as the upstream states it.
    InstanceName, "instance";
    /// Name of an operator who publishes configuration.
    OperatorName, "operator";
}
