//! The daemon: a thread for each duty around the decisions of `poplartrail-core`.
//!
//! [`ports`] holds what the decide thread expects of the outside: a clock and bounded rings.
//! [`adapters`] connect the rings to callers, upstream, other nodes, the platform log and operators.
//! [`decide`] is the one thread that owns the state of the decisions.
//! [`daemon`] wires them together.

pub mod adapters;
pub mod daemon;
pub mod decide;
pub mod ports;
