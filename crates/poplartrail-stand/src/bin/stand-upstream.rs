//! Runs the stand-in for an upstream.

use std::net::SocketAddr;

use bpaf::Bpaf;
use poplartrail_stand::upstream::{Behaviour, UpstreamOptions};

/// Runs a stand-in for an upstream
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Self time of a call, in microseconds
    #[bpaf(fallback(1_000))]
    work_us: u64,
    /// Number of calls that are worked on at once
    #[bpaf(fallback(100))]
    slots: usize,
    /// Service that is called once for each call
    next: Option<String>,
    /// Address of the node that takes the outbound calls
    #[bpaf(positional("NODE"))]
    node: SocketAddr,
    /// Address to serve
    #[bpaf(positional("ADDRESS"))]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let Options { work_us, slots, next, node, listen } = options().run();
    let behaviour = Behaviour { work_us, slots, ..Behaviour::default() };
    poplartrail_stand::upstream::run(UpstreamOptions {
        listen,
        node,
        next_service: next,
        behaviour,
    })
}
