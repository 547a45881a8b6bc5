//! Names as shared immutable strings.

mod error;
mod name;

pub use error::NameError;
pub use name::{
    CallerName, OperatorName, RankName, RegionName, ServiceName, SiteName, VmName, ZoneName,
};
