//! Types and decisions of the overload control layer, without any input or output.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Each decision takes the current
//! [`Time`](time::Time) and an input and returns its outputs, so that any front end can drive the
//! same code, and a test can drive it in virtual time.
//!
//! The modules follow the stages of a call: [`call`] tracks its life cycle, [`gate`] admits it,
//! [`route`] chooses an instance for it, [`retry`] bounds its retries and repeats, and [`keys`]
//! ensures that non-idempotent work runs at most once. [`config`] and [`member`] derive their state
//! from the platform log. [`engine`] combines all of them behind one input and one output type.

pub mod call;
pub mod config;
pub mod engine;
pub mod gate;
pub mod keys;
pub mod member;
pub mod names;
pub mod policy;
pub mod retry;
pub mod route;
pub mod site;
pub mod time;
pub mod upstream;
