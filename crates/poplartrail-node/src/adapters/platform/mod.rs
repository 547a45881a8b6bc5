//! The platform thread: reads the platform log and appends to it.

mod run;

pub use run::{PlatformOptions, run};
