//! `poplartraild`: the daemon that runs the node on each upstream VM.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use poplartrail_node::daemon::{self, DaemonError};
use poplartrail_settings::node::{HostedSettings, NodeSettings};

/// Runs the overload control node of one upstream VM.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Log debug entries too
    #[bpaf(short, long)]
    verbose: bool,
    /// Check the settings file and exit
    check: bool,
    /// Run in hosted mode: the platform's store holds the configuration and the members
    platform: bool,
    /// Path of the settings file
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

/// Runs the daemon, or with `--check` only reports that the settings are valid.
fn run(
    options: &Options,
    daemon: impl FnOnce() -> Result<(), DaemonError>,
) -> Result<(), DaemonError> {
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    daemon::init_logging(options.verbose)?;
    daemon()
}
