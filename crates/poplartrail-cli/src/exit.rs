//! Exit codes that scripts can rely on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// What was asked for is done.
    Done,
    /// It was refused, or something is not in order.
    Refused,
    /// Nobody can tell yet whether it is done.
    Unknown,
    /// The platform log or the nodes cannot be reached; nothing was changed.
    OutOfReach,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Unknown => 3,
            Exit::OutOfReach => 4,
        })
    }
}
