//! The daemon: one thread for each duty around the decision engine of `poplartrail-core`.
//!
//! - [`ports`] defines what the decide thread needs from its surroundings: a clock and bounded
//!   rings.
//! - [`adapters`] connect the rings to callers, the upstream, other nodes, operators, and the
//!   platform log or the hosting platform's store.
//! - [`decide`] is the thread that owns the state of all decisions.
//! - [`daemon`] creates the rings and starts the threads.

pub mod adapters;
pub mod daemon;
pub mod decide;
pub mod ports;
