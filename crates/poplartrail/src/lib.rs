//! Decision logic of the overload control layer for service call graphs, for use in other front
//! ends.
//!
//! Start with [`engine::Node`], which takes inputs with the current time and returns outputs.

pub use poplartrail_core::{
    call, config, engine, gate, keys, member, names, policy, retry, route, time,
};
