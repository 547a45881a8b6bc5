//! A call has exactly one outcome.

use poplartrail_core::call::{Answer, Call, Dispatched, Outcome, UnknownReason};

fn end(call: Call<Dispatched>, answer: Answer) -> (Outcome, Outcome) {
    (call.answer(answer), call.end_unknown(UnknownReason::AnswerLost))
}

fn main() {}
