//! Prints the table of virtual-time measurements.

use poplartrail_bench::scenarios::{deep, ie_midlands, overload, vn_south};

/// Seconds that a run counts.
const SECONDS: u64 = 12;

fn main() {
    for (name, graph) in
        [("vn-south", vn_south()), ("ie-midlands", ie_midlands()), ("deep", deep())]
    {
        let capacity = graph.capacity();
        for times in [0.5, 1.0, 2.0, 5.0, 10.0] {
            let tally = overload(&graph, times, SECONDS).run();
            let kept: Vec<String> =
                (0..tally.ranks.len()).map(|rank| format!("{:.3}", tally.kept(rank))).collect();
            println!(
                "{name} {times}x: goodput {:.3} of {capacity:.0}/s, wasted {:.3}, retries {}, \
                 order violations {} of {}, kept {}",
                tally.whole() as f64 / SECONDS as f64 / capacity,
                tally.wasted_share(),
                tally.retries,
                tally.order_violations,
                tally.urgent_shed,
                kept.join(" "),
            );
        }
    }
}
