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
        Command::Status { fleet } => status::run(&fleet).await,
        Command::Timeline(options) => timeline::run(&options).await,
    }
}

/// Says why the log cannot be read.
fn out_of_reach(err: &poplartrail_http::LogError) -> Exit {
    eprintln!("poplartrail: {err}");
    Exit::OutOfReach
}
