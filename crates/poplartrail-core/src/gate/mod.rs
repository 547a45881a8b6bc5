//! Admission at the gate of an upstream.
//!
//! A [`Gate`] bounds the calls in progress by a limit that follows from observed latency
//! ([`LimitLaw`]), keeps a short queue in the order of the ranks, and divides its capacity
//! among the ranks ([`Share`](crate::call::Share)).

mod aimd;
mod fixed;
mod gate_state;
mod goodput;
mod gradient;
mod law;
mod queue;
mod queue_bound;
mod shares;
mod vegas;

pub use aimd::Aimd;
pub use fixed::Fixed;
pub use gate_state::{Completion, Gate, GateOptions, GateStep, Offer, OrderCounts};
pub use goodput::Goodput;
pub use gradient::Gradient;
pub use law::{Ending, Law, LimitLaw, Place, Sample};
pub use queue_bound::longest_wait;
pub use shares::{Demand, divide};
pub use vegas::Vegas;
