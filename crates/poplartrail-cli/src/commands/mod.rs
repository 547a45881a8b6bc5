//! One module for each command.

mod check;
mod publish;
mod status;
mod timeline;
mod verdict;

use crate::{Command, Exit};

/// Runs a command and prints its result.
pub async fn run(command: Command) -> Exit {
    match command {
        Command::Check { json, base, overlays } => check::run(json, &base, &overlays),
        Command::Publish(options) => publish::run(&options).await,
        Command::Verdict { fleet, change } => verdict::run(&fleet, &change).await,
        Command::Status { nodes } => status::run(&nodes).await,
        Command::Timeline(options) => timeline::run(&options).await,
    }
}

/// Says why the log or the store cannot be read.
fn out_of_reach(err: &impl std::fmt::Display) -> Exit {
    eprintln!("poplartrail: {err}");
    Exit::OutOfReach
}
