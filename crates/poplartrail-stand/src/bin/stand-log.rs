//! Runs the stand-in for the platform log.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;

/// Runs a stand-in for the platform log
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Time for which a record is kept, in seconds
    #[bpaf(fallback(86_400))]
    retention_s: u64,
    /// Address to serve
    #[bpaf(positional("ADDRESS"))]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    poplartrail_stand::log::run(options.listen, Duration::from_secs(options.retention_s))
}
