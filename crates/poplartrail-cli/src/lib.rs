//! The command-line tool `poplartrail` for operators.
//!
//! Exit codes: 0 done, 1 refused or not in order, 2 wrong use, 3 not known, 4 out of reach.

pub mod commands;
mod exit;
mod fleet;
mod options;

pub use exit::Exit;
pub use options::{Command, Options, options};
