//! A node that is leaving does not serve again.

use poplartrail_core::engine::{Draining, Phase, Serving};

fn back(phase: Phase<Draining>) -> Phase<Serving> {
    phase.serve()
}

fn main() {}
