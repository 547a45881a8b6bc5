//! Commands of the tool, one module for each.

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
        Command::Verdict { log_options, change } => verdict::run(&log_options, &change).await,
        Command::Status { nodes } => status::run(&nodes).await,
        Command::Timeline(options) => timeline::run(&options).await,
    }
}

/// Prints why the platform log or the store is out of reach.
fn report_unreachable(err: &impl std::fmt::Display) -> Exit {
    eprintln!("poplartrail: {err}");
    Exit::Unreachable
}
