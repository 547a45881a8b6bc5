//! Overload control for service call graphs: the decisions, for use in another front end.
//!
//! Start with [`engine::Node`], which takes inputs with the present time and returns outputs.

pub use poplartrail_core::{
    call, config, engine, gate, keys, member, names, policy, retry, route, time,
};
