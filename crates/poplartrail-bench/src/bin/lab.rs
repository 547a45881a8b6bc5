//! Prints tables of measurements from simulations in virtual time.

use bpaf::Bpaf;
use poplartrail_bench::{
    scenarios::{
        Baseline, Disturbance, LimiterKind, RetryRun, SlotReport, balanced_chain, bottleneck_chain,
        deep_chain, flood, ie_midlands, instance_fault, measure_recovery, overload,
        overload_with_reports, retry_run, vn_south, without_flood,
    },
    simulation::{Graph, RunStats},
};

/// Length of the measurement window of a run, in seconds.
const MEASURED_SECONDS: u64 = 12;
/// Seeds of the runs whose results the `spread` table compares.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Prints a table of measurements from simulations in virtual time
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Table {
    /// Measures goodput at 0.5 to 10 times the capacity
    #[bpaf(command)]
    Overload,
    /// Measures how goodput under overload varies with the seed
    #[bpaf(command)]
    Spread,
    /// Measures goodput under overload with some mechanisms disabled
    #[bpaf(command)]
    Baselines,
    /// Measures goodput under overload with each limit algorithm
    #[bpaf(command)]
    Laws,
    /// Measures the time to recover from temporary disturbances
    #[bpaf(command)]
    Recovery,
    /// Measures the share of each rank's requests that succeed while one rank floods the entry
    #[bpaf(command)]
    Floods,
    /// Measures goodput while load endpoints report old, constant or wrong slot counts
    #[bpaf(command)]
    Hints,
    /// Measures retries under lost answers, killed upstreams and repeated requests
    #[bpaf(command)]
    Retries,
    /// Measures the loss of requests when an instance is killed or its connections go silent
    #[bpaf(command)]
    Instances,
}

fn main() {
    match table().run() {
        Table::Overload => overloads(),
        Table::Spread => spread(),
        Table::Baselines => baselines(),
        Table::Laws => limiters(),
        Table::Recovery => recoveries(),
        Table::Floods => floods(),
        Table::Hints => hints(),
        Table::Retries => retries(),
        Table::Instances => instances(),
    }
}

fn graphs() -> [(&'static str, Graph); 5] {
    [
        ("vn-south", vn_south()),
        ("ie-midlands", ie_midlands()),
        ("deep", deep_chain()),
        ("bottom", bottleneck_chain()),
        ("tight", balanced_chain()),
    ]
}

/// Returns the successful requests per second in the measurement window, as a fraction of the
/// graph's capacity.
fn goodput(graph: &Graph, stats: &RunStats) -> f64 {
    stats.succeeded() as f64 / MEASURED_SECONDS as f64 / graph.capacity()
}

/// Returns the share of each rank's requests that succeeded, as a text in the order of the ranks.
fn success_shares(stats: &RunStats) -> String {
    let shares = (0..stats.ranks.len()).map(|rank| format!("{:.3}", stats.success_share(rank)));
    shares.collect::<Vec<_>>().join(" ")
}

/// Prints the results of a run: goodput as a fraction of the capacity, the share of slot time
/// wasted on requests that did not succeed, all retries and the most for one request, and the share
/// of each rank's requests that succeeded.
///
/// Order violations are printed as a part of all urgent calls that gates refused for overload: they
/// are those refused in an interval in which the same gate dispatched a less urgent call.
fn print_run(label: &str, graph: &Graph, stats: &RunStats) {
    println!(
        "{label}: goodput {:.3} of {:.0}/s, wasted {:.3}, retries {} at most {}, \
         order violations {} of {}, kept {}",
        goodput(graph, stats),
        graph.capacity(),
        stats.wasted_share(),
        stats.retries,
        stats.max_retries_per_request,
        stats.order_violations,
        stats.urgent_shed,
        success_shares(stats),
    );
}

fn overloads() {
    for (name, graph) in graphs() {
        for times in [0.5, 1.0, 2.0, 5.0, 10.0] {
            let stats = overload(&graph, times, MEASURED_SECONDS).run();
            print_run(&format!("{name} {times}x"), &graph, &stats);
        }
    }
}

/// Prints goodput and wasted slot time for each seed, with their means.
fn spread() {
    for (name, graph) in graphs() {
        for times in [2.0, 10.0] {
            let runs: Vec<RunStats> = SEEDS
                .map(|seed| overload(&graph, times, MEASURED_SECONDS).seed(seed).run())
                .into_iter()
                .collect();
            let goodputs: Vec<f64> = runs.iter().map(|stats| goodput(&graph, stats)).collect();
            let wasted: Vec<f64> = runs.iter().map(RunStats::wasted_share).collect();
            let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
            println!(
                "{name} {times}x: goodput mean {:.3} of {goodputs:.3?}, wasted mean {:.3} of \
                 {wasted:.3?}",
                mean(&goodputs),
                mean(&wasted),
            );
        }
    }
}

fn baselines() {
    for (name, graph) in
        [("vn-south", vn_south()), ("bottom", bottleneck_chain()), ("tight", balanced_chain())]
    {
        for baseline in Baseline::ALL {
            for times in [2.0, 10.0] {
                let stats = baseline.apply(overload(&graph, times, MEASURED_SECONDS)).run();
                print_run(&format!("{name} {baseline:?} {times}x"), &graph, &stats);
            }
        }
    }
}

fn limiters() {
    for (name, graph) in graphs() {
        for kind in LimiterKind::ALL {
            for times in [2.0, 10.0] {
                let stats = overload(&graph, times, MEASURED_SECONDS)
                    .call_options(|options| options.limiter(kind.limiter()))
                    .run();
                print_run(&format!("{name} {kind:?} {times}x"), &graph, &stats);
            }
        }
    }
}

fn recoveries() {
    let graph = vn_south();
    for baseline in
        [Baseline::Full, Baseline::NoLimit, Baseline::StaticLimit(100), Baseline::NoDeadlines]
    {
        for disturbance in Disturbance::ALL {
            let run = measure_recovery(&graph, disturbance, baseline, 1);
            println!(
                "{baseline:?} {disturbance:?}: {:.0}/s before, {:.0}/s during, recovered after {:?} s",
                run.goodput_before, run.goodput_during, run.recovery_s
            );
        }
    }
}

fn floods() {
    for (name, graph) in [("vn-south", vn_south()), ("ie-midlands", ie_midlands())] {
        println!("{name} before: kept {}", success_shares(&without_flood(&graph)));
        for rank in 0..5 {
            let stats = flood(&graph, rank, 10.0).run();
            print_run(&format!("{name} flood of rank {rank}"), &graph, &stats);
        }
    }
}

fn hints() {
    let graph = vn_south();
    for report in SlotReport::ALL {
        let stats = overload_with_reports(&graph, report, MEASURED_SECONDS).run();
        print_run(&format!("{report:?}"), &graph, &stats);
    }
}

fn retries() {
    let graph = vn_south();
    for baseline in [Baseline::Full, Baseline::IndependentRetries] {
        for max_retries in [0, 1, 3] {
            let run = RetryRun { max_retries, seconds: 60, seed: 1 };
            let stats = retry_run(&graph, run, baseline);
            println!(
                "{baseline:?} bound {max_retries}: {} requests, {} retries, at most {} for one, kept {}",
                stats.offered(),
                stats.retries,
                stats.max_retries_per_request,
                success_shares(&stats),
            );
        }
    }
}

fn instances() {
    let graph = vn_south();
    let runs = [
        ("killed and back", false, Baseline::Full),
        ("silent", true, Baseline::Full),
        ("silent, not watched", true, Baseline::NoSilenceWatch),
    ];
    for (label, is_silent, baseline) in runs {
        let stats = baseline.apply(instance_fault(&graph, is_silent, MEASURED_SECONDS)).run();
        let lost: u64 = stats.ranks.iter().map(|rank| rank.offered - rank.succeeded).sum();
        print_run(label, &graph, &stats);
        println!("{label}: {lost} of {} requests not whole", stats.offered());
    }
}
