//! Arguments of the tool.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Where the fleet is found.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options_fields))]
pub struct Options {
    /// Address of the platform log
    #[bpaf(argument("ADDRESS"))]
    pub log: SocketAddr,
    /// Print JSON instead of text
    pub json: bool,
}

/// Where the nodes announce themselves.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(registry))]
pub enum Registry {
    /// In the platform log.
    Log {
        /// Address of the platform log
        #[bpaf(argument("ADDRESS"))]
        log: SocketAddr,
    },
    /// In the store of a platform that runs the nodes.
    Store {
        /// Address of the platform's store, for nodes that run with --platform
        #[bpaf(argument("ADDRESS"))]
        store: SocketAddr,
    },
}

/// The nodes that are asked.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(nodes))]
pub struct Nodes {
    #[bpaf(external(registry))]
    /// Where they announce themselves.
    pub registry: Registry,
    /// Print JSON instead of text
    pub json: bool,
}

/// Publishes a document.
#[derive(Debug, Clone, Bpaf)]
pub struct Publish {
    #[bpaf(external(options_fields))]
    /// Where the fleet is found.
    pub fleet: Options,
    /// Site of the overlay; without it the file is the base file
    #[bpaf(argument("SITE"))]
    pub site: Option<String>,
    /// Version of the document that the file was made from; without it the present one
    #[bpaf(argument("VERSION"))]
    pub against: Option<u64>,
    /// Who publishes
    #[bpaf(argument("NAME"))]
    pub author: String,
    /// Wait until the change is in force at every known node
    pub wait: bool,
    /// Longest wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(30))]
    pub timeout_s: u64,
    /// The file
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Filters of the time line.
#[derive(Debug, Clone, Bpaf)]
pub struct Timeline {
    #[bpaf(external(nodes))]
    /// The nodes.
    pub nodes: Nodes,
    /// Only events of this request, by its identity as the caller stated it
    #[bpaf(argument("ID"))]
    pub request: Option<String>,
    /// Only events of the node on this VM
    #[bpaf(argument("VM"))]
    pub node: Option<String>,
    /// Only events of this rank
    #[bpaf(argument("RANK"))]
    pub rank: Option<String>,
    /// Only events of this kind, for instance refused, retried, limit or route
    #[bpaf(argument("KIND"))]
    pub kind: Option<String>,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Check a base file and its overlays without any fleet
    #[bpaf(command)]
    Check {
        /// Print JSON instead of text
        json: bool,
        /// The base file
        #[bpaf(positional("BASE"))]
        base: PathBuf,
        /// Overlays, each named SITE.toml
        #[bpaf(positional("OVERLAY"), many)]
        overlays: Vec<PathBuf>,
    },
    /// Publish a base file or an overlay: accepted, refused or unknown
    #[bpaf(command)]
    Publish(#[bpaf(external(publish))] Publish),
    /// Tell what became of a change whose verdict is not known
    #[bpaf(command)]
    Verdict {
        #[bpaf(external(options_fields))]
        /// Where the fleet is found.
        fleet: Options,
        /// Identity of the change, as publish printed it
        #[bpaf(positional("CHANGE"))]
        change: String,
    },
    /// Show each node's version in force, limits and ranks
    #[bpaf(command)]
    Status {
        #[bpaf(external(nodes))]
        /// The nodes.
        nodes: Nodes,
    },
    /// Show the events of all nodes as one time line
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline))] Timeline),
}

/// The parser of the whole command line.
///
/// Shell completion comes with it: `poplartrail --bpaf-complete-style-bash`, and likewise for
/// zsh, fish and elvish.
pub fn options() -> bpaf::OptionParser<Command> {
    use bpaf::Parser;
    command().to_options().version(env!("CARGO_PKG_VERSION")).descr(
        "Checks and publishes configuration of poplartrail, and shows what its nodes do.\n\
         Exit codes: 0 done, 1 refused or not in order, 2 wrong use, 3 not known, 4 out of reach",
    )
}
