//! Typestate of a call: reporting "not run" for a call that may have run does not compile.
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

/// The call has been received, and no decision has been made on it.
#[derive(Debug)]
pub struct Arrived(());

/// The gate has admitted the call, and it has not been sent anywhere.
#[derive(Debug)]
pub struct Admitted(());

/// The call has been handed to the upstream and may have run.
#[derive(Debug)]
pub struct Dispatched {
    /// Time at which the call was handed to the upstream.
    pub dispatched_at: Time,
}

/// The call has been handed to the node of another instance and may have run there.
#[derive(Debug)]
pub struct Forwarded {
    /// Time at which the call was handed to the other node.
    pub forwarded_at: Time,
}

/// Proof that the upstream did not run a call that was dispatched to it.
///
/// A proof exists in two cases: no connection to the upstream could be opened, or the upstream
/// itself stated that it rejected the call.
#[derive(Debug, Clone, Copy)]
pub struct NotExecuted(());

impl NotExecuted {
    /// Returns the proof that no connection to the upstream could be opened for the call.
    pub fn no_connection() -> Self {
        Self(())
    }

    /// Returns the proof that the upstream stated that it has not run the call.
    pub fn rejected_by_upstream() -> Self {
        Self(())
    }
}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Arrived {}
    impl Sealed for super::Admitted {}
}

/// States in which the call has certainly not run, so that it may end with "not run".
pub trait BeforeDispatch: sealed::Sealed {}

impl BeforeDispatch for Arrived {}
impl BeforeDispatch for Admitted {}

/// A call in the state `S`.
///
/// Every transition consumes the call, so a call ends exactly once.
#[derive(Debug)]
pub struct Call<S> {
    service: ServiceName,
    context: Context,
    payload: Payload,
    state: S,
}

impl<S> Call<S> {
    /// Returns the service that the call is for.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns what travels with the call: its request, rank, deadline and depth.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Returns the content of the request.
    pub fn payload(&self) -> &Payload {
        &self.payload
    }

    /// Returns the data of the present state, for instance the time of the dispatch.
    pub fn state(&self) -> &S {
        &self.state
    }

    fn with_state<T>(self, state: T) -> Call<T> {
        Call { service: self.service, context: self.context, payload: self.payload, state }
    }
}

impl Call<Arrived> {
    /// Creates a call as a front end received it.
    pub fn new(service: ServiceName, context: Context, payload: Payload) -> Self {
        Self { service, context, payload, state: Arrived(()) }
    }

    /// Marks the call as admitted by the gate.
    #[must_use]
    pub fn admit(self) -> Call<Admitted> {
        self.with_state(Admitted(()))
    }

    /// Marks the call as handed to the node of another instance.
    pub fn forward(self, forwarded_at: Time) -> Call<Forwarded> {
        self.with_state(Forwarded { forwarded_at })
    }
}

impl Call<Admitted> {
    /// Returns the call to [`Arrived`], so that it can be sent to another instance.
    #[must_use]
    pub fn undo_admission(self) -> Call<Arrived> {
        self.with_state(Arrived(()))
    }

    /// Marks the call as handed to the upstream.
    pub fn dispatch(self, dispatched_at: Time) -> Call<Dispatched> {
        self.with_state(Dispatched { dispatched_at })
    }
}

impl<S: BeforeDispatch> Call<S> {
    /// Refuses the call; `refused_by` is the VM of the node that refuses.
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
    /// Ends the call with "unknown", because an earlier attempt, or an earlier call with the same
    /// key, may have run.
    pub fn end_unknown(self, reason: UnknownReason) -> Unknown {
        Unknown { reason }
    }

    /// Ends the call with the stored answer of an earlier call with the same key.
    pub fn replay_answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }
}

impl Call<Dispatched> {
    /// Returns the call to [`Admitted`]; requires proof that the upstream did not run it.
    pub fn undo_dispatch(self, _proof: NotExecuted) -> Call<Admitted> {
        self.with_state(Admitted(()))
    }

    /// Returns an idempotent call to [`Arrived`] after its answer was lost, so that it can run
    /// again.
    ///
    /// Fails with the unchanged call if a second run would do harm.
    pub fn undo_dispatch_if_idempotent(self) -> Result<Call<Arrived>, Box<Call<Dispatched>>> {
        match self.context.idempotency {
            Idempotency::Idempotent => Ok(self.with_state(Arrived(()))),
            Idempotency::AtMostOnce | Idempotency::Keyed(_) => Err(Box::new(self)),
        }
    }

    /// Ends the call with the answer of the upstream.
    pub fn answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }

    /// Ends the call with "unknown", because no answer arrived.
    pub fn end_unknown(self, reason: UnknownReason) -> Outcome {
        Outcome::Unknown(Unknown { reason })
    }
}

impl Call<Forwarded> {
    /// Ends the call with the answer that the other node relayed.
    pub fn answer(self, answer: Answer) -> Outcome {
        Outcome::Answered(answer)
    }

    /// Ends the call with "not run", as the other node states.
    ///
    /// The other node can state this only of a call in a state before dispatch.
    pub fn not_run(
        self,
        reason: Refusal,
        retry_after: Option<Duration>,
        refused_by: VmName,
    ) -> NotRun {
        NotRun::new(reason, retry_after, refused_by)
    }

    /// Ends the call with "unknown", because no answer arrived.
    pub fn end_unknown(self, reason: UnknownReason) -> Outcome {
        Outcome::Unknown(Unknown { reason })
    }

    /// Returns the call to [`Arrived`] after a "not run", or after a lost answer if a second run is
    /// safe.
    pub fn undo_forward(self) -> Call<Arrived> {
        self.with_state(Arrived(()))
    }
}
