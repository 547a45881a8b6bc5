//! Calls: what travels with a call, its states, and the outcomes that each state allows.

mod answer;
mod budget;
mod context;
mod life;
mod outcome;
mod payload;
mod share;

pub use answer::Answer;
pub use budget::RetryBudget;
pub use context::{Context, Idempotency, RequestId};
pub use life::{Admitted, Arrived, BeforeDispatch, Call, Dispatched, Forwarded, NotExecuted};
pub use outcome::{NotRun, Outcome, Refusal, Unknown, UnknownReason};
pub use payload::{Field, Payload};
pub use share::{Share, ShedPosition};
