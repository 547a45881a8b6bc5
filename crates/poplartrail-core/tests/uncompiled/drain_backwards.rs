//! A node that is draining does not serve again.

use poplartrail_core::engine::{Draining, Phase, Serving};

fn back(phase: Phase<Draining>) -> Phase<Serving> {
    phase.serve()
}

fn main() {}
