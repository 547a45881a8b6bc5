//! What the operators state of one site: which requests go to which service, and how.

mod caller_limits;
mod config;
mod lineage;
mod route_rule;
mod route_table;
mod split;

pub use caller_limits::CallerLimits;
pub use config::{SiteConfig, SiteVersion};
pub use lineage::Lineage;
pub use route_rule::{RouteRule, SplitPart};
pub use route_table::{HostRoutes, RouteTable};
pub use split::Splits;
