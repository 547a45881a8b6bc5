//! The command-line tool `poplartrail` for operators.
//!
//! Exit codes: 0 done, 1 refused or faults found, 2 usage error, 3 outcome or state unknown,
//! 4 platform log or store out of reach.

pub mod commands;
mod exit;
mod fleet;
mod options;

pub use exit::Exit;
pub use options::{Command, LogOptions, options};
