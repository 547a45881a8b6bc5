//! `poplartraild`: the node on each upstream VM.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use poplartrail_node::daemon::{self, DaemonError};
use poplartrail_settings::node::NodeSettings;

/// Runs the overload control node of one upstream VM.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Write debug entries to the log too
    #[bpaf(short, long)]
    verbose: bool,
    /// Check the settings file and stop
    check: bool,
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
    let settings = NodeSettings::load(&options.settings)?;
    if options.check {
        println!("{}: in order", options.settings.display());
        return Ok(());
    }
    daemon::init_logging(options.verbose)?;
    daemon::run(&settings)
}
