//! What the operators state of one site: which requests go to which service, and how.

mod caller_limits;
mod config;
mod lineage;
mod rank_table;
mod route_rule;
mod route_table;
mod split;

pub use caller_limits::CallerLimits;
pub use config::{SiteConfig, SiteVersion};
pub use lineage::Lineage;
pub use rank_table::RankTable;
pub use route_rule::{RouteRule, SplitPart};
pub use route_table::{HostRoutes, RouteTable};
pub use split::Splits;
