//! Configuration of one site: which requests go to which service, and how they are handled.

mod caller_limits;
mod config;
mod nested_routes;
mod rank_table;
mod route_rule;
mod route_table;
mod traffic_splits;

pub use caller_limits::CallerLimits;
pub use config::{SiteConfig, SiteVersion};
pub use nested_routes::NestedRoutes;
pub use rank_table::RankTable;
pub use route_rule::{RouteRule, WeightedService};
pub use route_table::{HostRoutes, RouteTable};
pub use traffic_splits::TrafficSplits;
