//! Prints the table of virtual-time measurements.

use poplartrail_bench::scenarios::{deep, ie_midlands, overload, vn_south};

fn main() {
    if std::env::var("DBG").is_ok() {
        overload(&vn_south(), 5.0, 4).run();
        return;
    }
    for (name, graph) in
        [("vn-south", vn_south()), ("ie-midlands", ie_midlands()), ("deep", deep())]
    {
        let capacity = graph.capacity();
        for times in [0.5, 1.0, 2.0, 5.0, 10.0] {
            let start = std::time::Instant::now();
            let tally = overload(&graph, times, 12).run();
            println!(
                "{name} {times}x: goodput {:.3} of capacity {capacity:.0}/s, wasted {:.3}, retries {} max {}, violations {} of {}, kept {:?} ({:?})",
                tally.whole() as f64 / 12.0 / capacity,
                tally.wasted_share(),
                tally.retries,
                tally.max_retries,
                tally.order_violations,
                tally.urgent_shed,
                (0..5).map(|r| (tally.kept(r) * 1000.0).round() / 1000.0).collect::<Vec<_>>(),
                start.elapsed(),
            );
            println!("   limits {:?}", tally.limits);
        }
    }
}
