//! Names as shared immutable strings.

mod error;
mod name;

pub use error::NameError;
pub use name::{
    CallerName, InstanceName, OperatorName, RankName, RegionName, RouteName, ServiceName, SiteName,
    VmName, ZoneName,
};
