//! Load endpoints that report wrong slot counts, and instances that become unreachable.

use std::time::Duration;

use poplartrail_core::time::Time;

use crate::{
    scenarios::{WARM_UP_END, mixed_load, overload, ranks},
    simulation::{FaultKind, Graph, Simulation, SimulationBuilder},
};

/// Offered load under which slot reports are compared, as a multiple of capacity.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Time between two reports of a load endpoint.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of slots that load endpoints report; the variant's name labels the printed rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotReport {
    /// The true number of slots.
    True,
    /// The number of 10 s ago: twice the true number until 10 s of virtual time have passed.
    Lagging,
    /// Always one slot.
    Stuck,
    /// Ten times the true number.
    TenTimes,
    /// A tenth of the true number, at least one.
    Tenth,
}

impl SlotReport {
    /// All kinds, in the order of the printed table.
    pub const ALL: [SlotReport; 5] = [
        SlotReport::True,
        SlotReport::Lagging,
        SlotReport::Stuck,
        SlotReport::TenTimes,
        SlotReport::Tenth,
    ];

    fn reported_slots(self, actual: usize, at: Time) -> u32 {
        let slots = match self {
            SlotReport::True => actual,
            SlotReport::Lagging if at < Time::from_millis(10_000) => actual * 2,
            SlotReport::Lagging => actual,
            SlotReport::Stuck => 1,
            SlotReport::TenTimes => actual * 10,
            SlotReport::Tenth => (actual / 10).max(1),
        };
        slots as u32
    }
}

/// Returns a run at twice the capacity in which all load endpoints send `report` every second.
pub fn overload_with_reports(graph: &Graph, report: SlotReport, seconds: u64) -> SimulationBuilder {
    let mut builder = overload(graph, OVERLOAD_FACTOR, seconds);
    let end = WARM_UP_END + Duration::from_secs(seconds);
    for (service, spec) in graph.services.iter().enumerate() {
        let mut at = Time::ZERO;
        while at < end {
            let slots = report.reported_slots(spec.slots, at);
            builder = builder.fault(at, FaultKind::ReportSlots { service, slots });
            at = at + REPORT_INTERVAL;
        }
    }
    builder
}

/// Returns a run at 0.6 times the capacity with a fault of one instance of the second service. If
/// `is_silent` is set, the connections to the instance go silent; otherwise its upstream is killed
/// and restarted after 2 s.
pub fn instance_fault(graph: &Graph, is_silent: bool, seconds: u64) -> SimulationBuilder {
    let until = WARM_UP_END + Duration::from_secs(seconds);
    let mut builder =
        Simulation::builder(graph.clone(), ranks()).measure_between(WARM_UP_END, until);
    for load in mixed_load(graph, 0.6, Time::ZERO, until + Duration::from_secs(4)) {
        builder = builder.load(load);
    }
    let (service, instance) = (1, 0);
    let at = WARM_UP_END + Duration::from_secs(2);
    if is_silent {
        return builder.fault(at, FaultKind::Silence { service, instance });
    }
    builder
        .fault(at, FaultKind::Kill { service, instance })
        .fault(at + Duration::from_secs(2), FaultKind::Restart { service, instance })
}
