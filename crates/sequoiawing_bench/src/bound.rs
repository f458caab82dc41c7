use crate::{StoreSpec, WaitSummary, simulation::ColdLoad};
use sequoiawing_types::Time;
use std::time::Duration;

/// The result of an offline schedule that knows all loads in advance.
#[derive(Clone, Debug, Default)]
pub(crate) struct OfflineBound {
    /// The wait of each cold request.
    pub(crate) waits: Vec<Duration>,
    /// The number of cold requests that would have started after their
    /// deadline.
    pub(crate) late: u64,
}

impl OfflineBound {
    fn add(&mut self, load: &ColdLoad, ready: Time) {
        for request in &load.requests {
            let wait = ready.since(request.at);
            self.waits.push(wait);
            self.late += u64::from(wait > request.deadline);
        }
    }
}

/// The order in which queued loads take the weight store's slots.
#[derive(Clone, Copy, Debug)]
enum LoadOrder {
    Fifo,
    EarliestDeadline,
    Shortest,
    /// Shortest load time divided by the number of requests waiting for the
    /// load.
    ShortestShared,
    Longest,
}

const LOAD_ORDERS: [LoadOrder; 5] = [
    LoadOrder::Fifo,
    LoadOrder::EarliestDeadline,
    LoadOrder::Shortest,
    LoadOrder::ShortestShared,
    LoadOrder::Longest,
];

impl LoadOrder {
    /// Returns the sort key of a load; the lowest goes first.
    fn rank(self, load: &ColdLoad) -> Duration {
        let requests = u32::try_from(load.requests.len()).unwrap_or(u32::MAX);
        let deadlines = load.requests.iter().map(|r| r.at + r.deadline);
        match self {
            Self::Fifo => load.at.since(Time::ZERO),
            Self::EarliestDeadline => deadlines.min().unwrap_or(load.at).since(Time::ZERO),
            Self::Shortest => load.load_time,
            Self::ShortestShared => load.load_time / requests.max(1),
            Self::Longest => Duration::MAX.saturating_sub(load.load_time),
        }
    }
}

/// Returns the waits of cold requests under an offline schedule. The schedule
/// knows the duration of each load, sees each first request at once and has
/// unlimited memory. It runs as many loads at once as the store serves at full
/// speed, reads each checkpoint from its nearest location, and takes the load
/// order with the lowest 99th percentile.
///
/// This schedule is feasible, so its waits are not below the optimum. `speeds`
/// lists the store's speeds, each with the time from which it holds.
pub(crate) fn offline_bound(
    loads: &[ColdLoad],
    store: StoreSpec,
    speeds: &[(Time, f64)],
) -> OfflineBound {
    let schedules = LOAD_ORDERS.map(|order| schedule(loads, store, speeds, order));
    let tail = |b: &OfflineBound| WaitSummary::from_waits(b.waits.iter().copied()).p99;
    let best = schedules.into_iter().min_by_key(tail);
    best.unwrap_or_default()
}

fn schedule(
    loads: &[ColdLoad],
    store: StoreSpec,
    speeds: &[(Time, f64)],
    order: LoadOrder,
) -> OfflineBound {
    let speed = |at: Time| {
        let earlier = speeds.iter().rev().find(|(since, _)| *since <= at);
        earlier.map_or(1.0, |(_, speed)| *speed)
    };
    let (mut remaining, local): (Vec<&ColdLoad>, Vec<&ColdLoad>) =
        loads.iter().partition(|l| l.is_remote);
    remaining.sort_by_key(|l| l.at);
    let mut bound = OfflineBound::default();
    for load in local {
        bound.add(load, load.at + load.load_time);
    }
    let slots = usize::try_from(store.slots.max(1)).unwrap_or(1);
    let mut slots_free_at = vec![Time::ZERO; slots];
    let mut next_start = Time::ZERO;
    while let Some(first) = remaining.first() {
        let slot = (0..slots).min_by_key(|i| slots_free_at[*i]).unwrap_or(0);
        let start = first.at.max(slots_free_at[slot]).max(next_start);
        let waiting = remaining.iter().take_while(|l| l.at <= start);
        let chosen = waiting.enumerate().min_by_key(|(_, l)| order.rank(l));
        let load = remaining.remove(chosen.map_or(0, |(i, _)| i));
        next_start = start + Duration::from_secs_f64(1.0 / store.load_rate);
        slots_free_at[slot] = start + load.load_time.div_f64(speed(start));
        bound.add(load, slots_free_at[slot]);
    }
    bound
}
