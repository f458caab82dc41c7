use crate::{RequestStatus, Simulation, simulation::ColdLoad};
use sequoiawing_types::{Name, Time};
use serde::Serialize;
use std::{fmt::Write, time::Duration};

/// The wait of one cold request, split into phases, in milliseconds.
///
/// The phases add up to the wait. For a refused request the last phase is the
/// one it was in at its deadline.
#[derive(Clone, Debug, Serialize)]
pub struct ColdStartBreakdown {
    /// The request's number in the trace.
    pub request: usize,
    /// The customer.
    pub customer: Name,
    /// The data centre of the request's router.
    pub centre: Name,
    /// The model.
    pub model: Name,
    /// The arrival time, from the start of the trace.
    pub at: u64,
    /// The request's final status.
    #[serde(rename = "fate")]
    pub status: String,
    /// The wait until the request started, or until its deadline if it did not.
    pub wait: u64,
    /// From the arrival until the first load of the model was ordered. Covers
    /// waiting for the allotment, for memory and for a store slot.
    pub order: u64,
    /// From the order until the load started.
    pub start: u64,
    /// From the start of the load until the model was loaded, retries included.
    pub load: u64,
    /// From the end of the load until the request started.
    pub slot: u64,
    /// The number of loads of the model ordered before one completed.
    pub orders: u32,
    /// Whether the nearest checkpoint was in the weight store.
    pub is_remote: bool,
    /// The load time at full speed.
    pub span: u64,
}

/// Returns the requests with the longest waits among those whose model was not
/// loaded on any reachable runner.
pub(crate) fn slowest_cold_starts(
    simulation: &Simulation,
    count: usize,
) -> Vec<ColdStartBreakdown> {
    let loads = simulation.counters().cold_loads.iter();
    let mut all: Vec<ColdStartBreakdown> = loads
        .flat_map(|load| load_breakdowns(simulation, load))
        .collect();
    all.sort_by_key(|s| (std::cmp::Reverse(s.wait), s.request));
    all.truncate(count);
    all
}

fn load_breakdowns(simulation: &Simulation, load: &ColdLoad) -> Vec<ColdStartBreakdown> {
    let requests = load.requests.iter();
    requests
        .map(|r| request_breakdown(simulation, load, r.number))
        .collect()
}

fn request_breakdown(
    simulation: &Simulation,
    load: &ColdLoad,
    request: usize,
) -> ColdStartBreakdown {
    let outcome = &simulation.outcomes()[request];
    let details = &simulation.requests[request];
    let end = match outcome.status {
        RequestStatus::Begun => details.at + outcome.wait,
        _ => details.at + details.deadline,
    };
    let phase_end = |at: Option<Time>| at.unwrap_or(end).min(end).max(details.at);
    let ordered = phase_end(load.ordered);
    let started = phase_end(load.started).max(ordered);
    let ready = phase_end(load.ready).max(started);
    ColdStartBreakdown {
        request,
        customer: outcome.customer.clone(),
        centre: outcome.centre.clone(),
        model: details.model.clone(),
        at: millis(details.at.since(Time::ZERO)),
        status: format!("{:?}", outcome.status),
        wait: millis(end.since(details.at)),
        order: millis(ordered.since(details.at)),
        start: millis(started.since(ordered)),
        load: millis(ready.since(started)),
        slot: millis(end.since(ready)),
        orders: load.orders,
        is_remote: load.is_remote,
        span: millis(load.load_time),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Writes one readable line per breakdown.
pub(crate) fn write_breakdown_lines(text: &mut String, breakdowns: &[ColdStartBreakdown]) {
    for s in breakdowns {
        let location = if s.is_remote { "store" } else { "near" };
        writeln!(
            text,
            "  request {} at {} ms, {} in {}, {}: {} after {} = order {} + start {} + load {} + slot {}; {} loads ordered, {location}, {} at full speed",
            s.request, s.at, s.customer, s.centre, s.model, s.status, s.wait, s.order, s.start, s.load, s.slot, s.orders, s.span,
        )
        .ok();
    }
}
