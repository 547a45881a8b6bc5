//! A call that was dispatched may have run, so it cannot be refused.

use poplartrail_core::{
    call::{Call, Dispatched, NotRun, Refusal},
    names::VmName,
};

fn refuse(call: Call<Dispatched>, by: VmName) -> NotRun {
    call.refuse(Refusal::Overload, None, by)
}

fn main() {}
