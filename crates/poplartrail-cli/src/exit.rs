//! Exit codes of the tool, which scripts may rely on.

use std::process::ExitCode;

/// Result of a command, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded. Exit code 0.
    Done,
    /// The input was refused, or a check found a fault. Exit code 1.
    Refused,
    /// The outcome of a change or the state of a node is not known. Exit code 3.
    Unknown,
    /// The platform log or the store is out of reach. Nothing was changed, unless a verdict was
    /// printed. Exit code 4.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Unknown => 3,
            Exit::Unreachable => 4,
        })
    }
}
