//! Command-line arguments of the tool.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Platform log and output:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(log_options))]
pub struct LogOptions {
    /// Address of the platform log
    #[bpaf(argument("ADDRESS"))]
    pub log: SocketAddr,
    /// Print JSON instead of text
    pub json: bool,
}

/// Registry that lists the nodes:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(registry))]
pub enum Registry {
    /// The platform log, in which the nodes register themselves.
    Log {
        /// Address of the platform log
        #[bpaf(argument("ADDRESS"))]
        log: SocketAddr,
    },
    /// The store of a hosting platform, in which hosted nodes register themselves.
    Store {
        /// Address of the hosting platform's store, for nodes that run with --platform
        #[bpaf(argument("ADDRESS"))]
        store: SocketAddr,
    },
}

/// Nodes and output:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(node_options))]
pub struct NodeOptions {
    #[bpaf(external(registry))]
    /// Registry that lists the nodes to ask.
    pub registry: Registry,
    /// Print JSON instead of text
    pub json: bool,
}

/// Publishing options:
#[derive(Debug, Clone, Bpaf)]
pub struct Publish {
    #[bpaf(external(log_options))]
    /// Platform log to publish to.
    pub log_options: LogOptions,
    /// Publish the file as the overlay of this site [default: publish it as the base file]
    #[bpaf(argument("SITE"))]
    pub site: Option<String>,
    /// Version of the document that the file is based on [default: the version in force]
    #[bpaf(argument("VERSION"))]
    pub against: Option<u64>,
    /// Name of the operator who makes the change
    #[bpaf(argument("NAME"))]
    pub author: String,
    /// Wait until the change is in force at every known node
    pub wait: bool,
    /// Longest wait for the verdict and, with --wait, for all nodes, in seconds [default: 30]
    #[bpaf(argument("SECONDS"), fallback(30))]
    pub timeout_s: u64,
    /// Base file or overlay to publish
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Nodes and filters:
#[derive(Debug, Clone, Bpaf)]
pub struct Timeline {
    #[bpaf(external(node_options))]
    /// Nodes whose events are shown.
    pub nodes: NodeOptions,
    /// Show only events of the request with this identity, as the caller stated it
    #[bpaf(argument("ID"))]
    pub request: Option<String>,
    /// Show only events of the node on this VM
    #[bpaf(argument("VM"))]
    pub node: Option<String>,
    /// Show only events of this rank
    #[bpaf(argument("RANK"))]
    pub rank: Option<String>,
    /// Show only events of this kind, for example refused, retried, limit or route
    #[bpaf(argument("KIND"))]
    pub kind: Option<String>,
}

/// Commands:
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a base file and its overlays offline
    #[bpaf(command)]
    Check {
        /// Print JSON instead of text
        json: bool,
        /// Base file to check
        #[bpaf(positional("BASE"))]
        base: PathBuf,
        /// Overlays to check with the base file, each named SITE.toml
        #[bpaf(positional("OVERLAY"), many)]
        overlays: Vec<PathBuf>,
    },
    /// Publish a base file or an overlay and print the verdict: accepted, refused or unknown
    #[bpaf(command)]
    Publish(#[bpaf(external(publish))] Publish),
    /// Print the verdict on an earlier change, for example after publish printed unknown
    #[bpaf(command)]
    Verdict {
        #[bpaf(external(log_options))]
        /// Platform log that holds the change.
        log_options: LogOptions,
        /// Identity of the change that publish printed, 32 hexadecimal digits
        #[bpaf(positional("CHANGE"))]
        change: String,
    },
    /// Show the configuration version, limits and ranks of each node
    #[bpaf(command)]
    Status {
        #[bpaf(external(node_options))]
        /// Nodes whose status is shown.
        nodes: NodeOptions,
    },
    /// Show the events of all nodes as one time line, ordered by time
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline))] Timeline),
}

/// Returns the parser of the command line.
///
/// The parser also prints shell completion scripts: `poplartrail --bpaf-complete-style-bash`, and
/// likewise for zsh, fish and elvish.
pub fn options() -> bpaf::OptionParser<Command> {
    use bpaf::Parser;
    command().to_options().version(env!("CARGO_PKG_VERSION")).descr(
        "Checks and publishes configuration of poplartrail, and shows status and events of nodes.\n\
         Exit codes: 0 done, 1 refused or faults found, 2 usage error, 3 outcome or state unknown, \
         4 platform log or store out of reach",
    )
}
