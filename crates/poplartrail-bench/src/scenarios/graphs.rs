//! Call graphs, ranks and loads for which the performance targets are stated.

use std::time::Duration;

use poplartrail_core::{
    names::RankName,
    policy::{Rank, Ranks},
    time::Time,
};

use crate::simulation::{Graph, Load, Service, Simulation, SimulationBuilder};

/// End of the warm-up, at which the measurement window of a run starts.
pub const WARM_UP_END: Time = Time::from_millis(8_000);

/// Indexes of the ranks in [`ranks`].
pub mod rank {
    /// Stock checks, which are urgent.
    pub const STOCK_CHECK: usize = 0;
    /// Refill orders, which are urgent.
    pub const REFILL: usize = 1;
    /// Route sheets.
    pub const ROUTE: usize = 2;
    /// Swaps.
    pub const SWAP: usize = 3;
    /// Routine lookups.
    pub const LOOKUP: usize = 4;
}

/// Returns five ranks in descending worth; the first two are urgent.
pub fn ranks() -> Ranks {
    let rank = |name, target_ms, worth, is_urgent| Rank {
        name: RankName::new(name).expect("the name is valid"),
        target: Duration::from_millis(target_ms),
        worth,
        is_urgent,
    };
    Ranks::new(vec![
        rank("stock-check", 1500, 100.0, true),
        rank("refill-order", 2000, 80.0, true),
        rank("route-sheet", 2000, 40.0, false),
        rank("swap", 2500, 30.0, false),
        rank("lookup", 3000, 5.0, false),
    ])
    .expect("the ranks are valid")
}

/// Returns the chain of region vn-south: four services of three instances each, the last with a
/// quarter of the slots.
pub fn vn_south() -> Graph {
    let service =
        |slots| Service { instances: 3, slots, mean_self_time: Duration::from_millis(50) };
    Graph {
        services: vec![service(100), service(100), service(100), service(25)],
        hop_latency: Duration::from_micros(1_500),
    }
}

/// Returns the chain of region ie-midlands: four services of four instances each, the last with
/// less than a tenth of the slots.
pub fn ie_midlands() -> Graph {
    let service = |slots, self_time_ms| Service {
        instances: 4,
        slots,
        mean_self_time: Duration::from_millis(self_time_ms),
    };
    Graph {
        services: vec![service(110, 30), service(110, 30), service(110, 30), service(10, 10)],
        hop_latency: Duration::from_millis(1),
    }
}

/// Returns a chain of 22 services; the last has a quarter of the slots and ten times the self time
/// of the others.
pub fn deep_chain() -> Graph {
    let service = |slots, self_time_ms| Service {
        instances: 3,
        slots,
        mean_self_time: Duration::from_millis(self_time_ms),
    };
    let mut services: Vec<Service> = (0..21).map(|_| service(100, 10)).collect();
    services.push(service(25, 100));
    Graph { services, hop_latency: Duration::from_micros(1_500) }
}

/// Returns a chain of 22 services with the bottleneck at its end: the last service has less than
/// half of the capacity of the entry.
pub fn bottleneck_chain() -> Graph {
    let mut graph = deep_chain();
    graph.services[..21].iter_mut().for_each(|service| service.slots = 250);
    graph
}

/// Returns a chain of 22 services that all have the same capacity, 750 requests per second.
pub fn balanced_chain() -> Graph {
    let mut graph = deep_chain();
    let instances = 3.0;
    let mut hold = 0.1;
    for service in graph.services[..21].iter_mut().rev() {
        hold += 0.01 + 2.0 * graph.hop_latency.as_secs_f64();
        service.slots = (750.0 * hold / instances) as usize;
    }
    graph
}

/// Share of each rank in the requests of the ordinary mix.
const RANK_MIX: [f64; 5] = [0.05, 0.05, 0.3, 0.3, 0.3];

/// Returns the ordinary mix of all ranks, offered at `load_factor` times the capacity of `graph`
/// from `from` until `until`.
pub fn mixed_load(graph: &Graph, load_factor: f64, from: Time, until: Time) -> Vec<Load> {
    let rate = graph.capacity() * load_factor;
    let depth = graph.services.len();
    let load = |(rank, share): (usize, &f64)| Load::new(rank, depth, rate * share, from, until);
    RANK_MIX.iter().enumerate().map(load).collect()
}

/// Returns a run of `graph` under the ordinary mix at `load_factor` times its capacity, with a
/// measurement window of `seconds`.
pub fn overload(graph: &Graph, load_factor: f64, seconds: u64) -> SimulationBuilder {
    let until = WARM_UP_END + Duration::from_secs(seconds);
    let builder = Simulation::builder(graph.clone(), ranks()).measure_between(WARM_UP_END, until);
    let load_end = until + Duration::from_secs(4);
    mixed_load(graph, load_factor, Time::ZERO, load_end)
        .into_iter()
        .fold(builder, SimulationBuilder::load)
}
