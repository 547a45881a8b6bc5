//! The platform duty: reads and appends of the platform log.

mod run;

pub use run::{PlatformOptions, run};
