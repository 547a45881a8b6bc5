//! The life of a call as types, so that a wrong "not run" does not compile.
//!
//! ```text
//! Arrived --admit--> Admitted --dispatch--> Dispatched --answer-------> Outcome::Answered
//!    |                  |                        '-------end_unknown--> Outcome::Unknown
//!    |                  '--refuse--> Outcome::NotRun
//!    |--refuse--> Outcome::NotRun
//!    '--forward--> Forwarded --answer, not_run, end_unknown--> Outcome
//! ```

use std::time::Duration;

use crate::{
    call::{
        Answer, Context, Idempotency, NotRun, Outcome, Payload, Refusal, Unknown, UnknownReason,
    },
    names::{ServiceName, VmName},
    time::Time,
};

/// The call has been received and nothing has been decided.
#[derive(Debug)]
pub struct Arrived(());

/// The gate has given the call a place, and nothing has been sent.
#[derive(Debug)]
pub struct Admitted(());

/// The call has been handed to the upstream and may have run.
#[derive(Debug)]
pub struct Dispatched {
    /// When the call was handed over.
    pub at: Time,
}

/// The call has been handed to the node of another instance.
#[derive(Debug)]
pub struct Forwarded {
    /// When the call was handed over.
    pub at: Time,
}

/// Proof that the upstream has not run a call that was handed to it.
///
/// It follows from a connection that could not be opened, or from the upstream's own word.
#[derive(Debug, Clone, Copy)]
pub struct NotExecuted(());

impl NotExecuted {
    /// States that no connection to the upstream could be opened for the call.
    pub fn no_connection() -> Self {
        Self(())
    }

    /// States that the upstream itself said that it has not run the call.
    pub fn rejected_by_upstream() -> Self {
        Self(())
    }
}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Arrived {}
    impl Sealed for super::Admitted {}
}

/// States in which the call has certainly not run.
pub trait BeforeDispatch: sealed::Sealed {}

impl BeforeDispatch for Arrived {}
impl BeforeDispatch for Admitted {}

/// A call in the state `S`.
///
/// Use the transitions to move a call on. Each consumes the call, so it ends once.
#[derive(Debug)]
pub struct Call<S> {
    service: ServiceName,
    context: Context,
    payload: Payload,
    state: S,
}

impl<S> Call<S> {
    /// The service that the call is for.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Identity, urgency and time of the call.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// The content of the request.
    pub fn payload(&self) -> &Payload {
        &self.payload
    }

    /// What the state holds.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn with_state<T>(self, state: T) -> Call<T> {
        Call { service: self.service, context: self.context, payload: self.payload, state }
    }
}

impl Call<Arrived> {
    /// A call as a front end received it.
    pub fn new(service: ServiceName, context: Context, payload: Payload) -> Self {
        Self { service, context, payload, state: Arrived(()) }
    }

    /// Gives the call a place at the gate.
    #[must_use]
    pub fn admit(self) -> Call<Admitted> {
        self.with_state(Admitted(()))
    }

    /// Hands the call to the node of another instance.
    pub fn forward(self, at: Time) -> Call<Forwarded> {
        self.with_state(Forwarded { at })
    }
}

impl Call<Admitted> {
    /// Gives the place up, so that the call can be sent elsewhere.
    #[must_use]
    pub fn undo_admission(self) -> Call<Arrived> {
        self.with_state(Arrived(()))
    }

    /// Hands the call to the upstream.
    pub fn dispatch(self, at: Time) -> Call<Dispatched> {
        self.with_state(Dispatched { at })
    }
}

impl<S: BeforeDispatch> Call<S> {
    /// Refuses the call; `refused_by` is the node whose gate refuses.
    pub fn refuse(
        self,
        reason: Refusal,
        retry_after: Option<Duration>,
        refused_by: VmName,
    ) -> NotRun {
        NotRun::new(reason, retry_after, refused_by)
    }
}

impl<S: BeforeDispatch> Call<S> {
    /// Ends the call with "unknown": an earlier call with the same key may have run.
    pub fn end_unknown(self, reason: UnknownReason) -> Unknown {
        Unknown { reason }
    }

    /// Ends the call with the answer that an earlier call with the same key got.
    pub fn replay_answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }
}

impl Call<Dispatched> {
    /// Takes the call back, because it demonstrably never reached the upstream.
    pub fn undo_dispatch(self, _proof: NotExecuted) -> Call<Admitted> {
        self.with_state(Admitted(()))
    }

    /// Takes an idempotent call back after its answer was lost, to run it again.
    ///
    /// Returns the lost call unchanged if a second run would do harm.
    pub fn undo_dispatch_if_idempotent(self) -> Result<Call<Arrived>, Box<Call<Dispatched>>> {
        match self.context.idempotency {
            Idempotency::Idempotent => Ok(self.with_state(Arrived(()))),
            Idempotency::AtMostOnce | Idempotency::Keyed(_) => Err(Box::new(self)),
        }
    }

    /// Ends the call with the upstream's answer.
    pub fn answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }

    /// Ends the call without an answer.
    pub fn end_unknown(self, reason: UnknownReason) -> Outcome {
        Outcome::Unknown(Unknown { reason })
    }
}

impl Call<Forwarded> {
    /// Ends the call with the answer that the other node passed on.
    pub fn answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }

    /// Ends the call with the other node's statement that it did not run.
    ///
    /// The other node made the statement from a call in a state before dispatch.
    pub fn not_run(
        self,
        reason: Refusal,
        retry_after: Option<Duration>,
        refused_by: VmName,
    ) -> NotRun {
        NotRun::new(reason, retry_after, refused_by)
    }

    /// Ends the call without an answer.
    pub fn end_unknown(self, reason: UnknownReason) -> Outcome {
        Outcome::Unknown(Unknown { reason })
    }

    /// Takes the call back after a "not run" or, for idempotent work, after a lost answer.
    pub fn undo_forward(self) -> Call<Arrived> {
        self.with_state(Arrived(()))
    }
}
