//! Types and decisions of the overload control layer, free of input and output.
//!
//! Nothing here opens a socket, reads a clock or starts a thread.
//! Each decision takes the present [`Time`](time::Time) and an input and returns its outputs,
//! so a front end of any kind can drive the same code, and a test can drive it in virtual time.
//!
//! The folders follow the stages of a call: [`call`] holds its life, [`gate`] admits it,
//! [`route`] chooses an instance for it, [`retry`] bounds its repeats, [`keys`] keeps
//! non-idempotent work to one run. [`config`] and [`member`] fold the platform log into state.
//! [`engine`] joins all of them behind one input and output type.

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
