//! `poplartraild`: the node on each upstream VM.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use poplartrail_node::daemon::{self, DaemonError};
use poplartrail_settings::node::{HostedSettings, NodeSettings};

/// Runs the overload control node of one upstream VM.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Write debug entries to the log too
    #[bpaf(short, long)]
    verbose: bool,
    /// Check the settings file and stop
    check: bool,
    /// Run on a platform that keeps the configuration and the members in its store
    platform: bool,
    /// The settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("poplartraild: {err}");
            ExitCode::from(2)
        }
    }
}

fn start(options: &Options) -> Result<(), DaemonError> {
    if options.platform {
        let settings = HostedSettings::load(&options.settings)?;
        return run(options, || daemon::run_hosted(&settings));
    }
    let settings = NodeSettings::load(&options.settings)?;
    run(options, || daemon::run(&settings))
}

/// Runs the daemon, or only tells that its settings are in order.
fn run(
    options: &Options,
    daemon: impl FnOnce() -> Result<(), DaemonError>,
) -> Result<(), DaemonError> {
    if options.check {
        println!("{}: in order", options.settings.display());
        return Ok(());
    }
    daemon::init_logging(options.verbose)?;
    daemon()
}
