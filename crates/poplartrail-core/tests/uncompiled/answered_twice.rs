//! A call ends once.

use poplartrail_core::call::{Answer, Call, Dispatched, Doubt, Outcome};

fn end(call: Call<Dispatched>, answer: Answer) -> (Outcome, Outcome) {
    (call.answer(answer), call.lose(Doubt::AnswerLost))
}

fn main() {}
