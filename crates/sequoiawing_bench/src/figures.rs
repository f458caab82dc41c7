use crate::{
    ColdStartBreakdown, Deployment, RequestOutcome, RequestStatus, Simulation,
    bound::offline_bound, breakdown::slowest_cold_starts,
};
use hdrhistogram::Histogram;
use sequoiawing_types::Name;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// The distribution of request waits, in milliseconds.
///
/// A refused request counts as waiting until its deadline, so that refusals do
/// not improve the percentiles.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WaitSummary {
    /// The number of requests.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// The longest wait that the histogram distinguishes, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;

impl WaitSummary {
    /// Computes the distribution of the given waits.
    pub fn from_waits<I>(waits: I) -> Self
    where
        I: Iterator<Item = Duration>,
    {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_MS, 3) else {
            return Self::default();
        };
        for wait in waits {
            let millis = u64::try_from(wait.as_millis()).unwrap_or(MAX_WAIT_MS);
            histogram.saturating_record(millis.max(1));
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// The results for the requests of one customer or data centre.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestFigures {
    /// The requests to which the customer was entitled.
    pub entitled: u64,
    /// Entitled requests that started before their deadline.
    pub in_time: u64,
    /// Entitled requests that were refused, for any reason.
    pub refused: u64,
    /// Entitled requests that were refused by the customer's rate limit.
    pub limited: u64,
    /// The waits of admitted requests that found nothing loaded to serve them.
    pub cold: WaitSummary,
    /// The waits of all admitted requests.
    pub all: WaitSummary,
}

impl RequestFigures {
    fn from_outcomes(outcomes: &[&(&RequestOutcome, Duration)]) -> Self {
        let entitled = outcomes.iter().filter(|(o, _)| o.is_entitled);
        let in_time = entitled.clone().filter(|(o, d)| is_in_time(o, *d));
        let refused = entitled.clone().filter(|(o, _)| o.is_wrongly_refused());
        let admitted = outcomes.iter().filter(|(o, _)| is_admitted(o));
        let cold = admitted.clone().filter(|(o, _)| o.is_cold);
        Self {
            entitled: entitled.count() as u64,
            in_time: in_time.count() as u64,
            refused: refused.clone().count() as u64,
            limited: refused
                .filter(|(o, _)| o.status == RequestStatus::Limited)
                .count() as u64,
            cold: WaitSummary::from_waits(cold.map(|(o, d)| counted_wait(o, *d))),
            all: WaitSummary::from_waits(admitted.map(|(o, d)| counted_wait(o, *d))),
        }
    }

    /// Returns the fraction of entitled requests that started in time.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn in_time_ratio(&self) -> f64 {
        self.in_time as f64 / self.entitled.max(1) as f64
    }
}

fn is_admitted(outcome: &RequestOutcome) -> bool {
    matches!(
        outcome.status,
        RequestStatus::Begun | RequestStatus::Failed | RequestStatus::Refused(_)
    )
}

fn is_in_time(outcome: &RequestOutcome, deadline: Duration) -> bool {
    outcome.status == RequestStatus::Begun && outcome.wait <= deadline
}

fn counted_wait(outcome: &RequestOutcome, deadline: Duration) -> Duration {
    match outcome.status {
        RequestStatus::Begun => outcome.wait,
        _ => deadline,
    }
}

/// The results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The policy's name.
    pub policy: &'static str,
    /// All requests together.
    pub total: RequestFigures,
    /// The results by customer.
    pub customers: BTreeMap<Name, RequestFigures>,
    /// The results by data centre.
    pub centres: BTreeMap<Name, RequestFigures>,
    /// The waits for unloaded models under the offline bound.
    pub bound: WaitSummary,
    /// The requests that start too late even under the offline bound.
    pub bound_late: u64,
    /// The measured waits for unloaded models.
    pub cold_models: WaitSummary,
    /// The idle time of loaded replicas, in hours of a whole accelerator.
    pub idle_hours: f64,
    /// The number of model loads.
    pub loads: u64,
    /// The prompts whose prefix was cached.
    pub cached: u64,
    /// The requests that were sent to a runner which had just unloaded their
    /// model, and were retried on another.
    pub misses: u64,
    /// The customers that were admitted more than their rate and burst allow.
    pub overshoot: u64,
    /// The slowest cold starts, with the phases of their waits.
    pub slowest: Vec<ColdStartBreakdown>,
    /// The times that a runner's memory was overcommitted.
    pub overcommit: u64,
    /// The times that more replicas were loaded than allotted.
    pub surplus: u64,
    /// The requests that ran twice at the same time.
    pub doubles: u64,
    /// Other violations, such as requests without an answer.
    pub others: u64,
}

/// The maximum number of slow cold starts in a report.
const MAX_BREAKDOWNS: usize = 25;

const SECS_PER_HOUR: f64 = 3_600.0;

impl Figures {
    /// Returns the customer with the lowest fraction of entitled requests that
    /// started in time, and that fraction.
    pub fn worst_customer(&self) -> Option<(Name, f64)> {
        let ratios = self
            .customers
            .iter()
            .map(|(n, c)| (n.clone(), c.in_time_ratio()));
        ratios.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Collects the results of a run.
    pub fn collect(policy: &'static str, deployment: &Deployment, simulation: &Simulation) -> Self {
        let deadlines = simulation.deadlines();
        let outcomes: Vec<(&RequestOutcome, Duration)> = simulation
            .outcomes()
            .iter()
            .zip(deadlines.iter().copied())
            .collect();
        let group = |key: fn(&RequestOutcome) -> &Name| {
            let mut groups: BTreeMap<Name, Vec<&(&RequestOutcome, Duration)>> = BTreeMap::new();
            for outcome in &outcomes {
                groups
                    .entry(key(outcome.0).clone())
                    .or_default()
                    .push(outcome);
            }
            let groups = groups.into_iter();
            groups
                .map(|(name, group)| (name, RequestFigures::from_outcomes(&group)))
                .collect()
        };
        let all: Vec<&(&RequestOutcome, Duration)> = outcomes.iter().collect();
        let counters = simulation.counters();
        let bound = offline_bound(&counters.cold_loads, deployment.store, &counters.speeds);
        let [overcommit, surplus, doubles, others] = simulation.violation_counts();
        let cold_models = outcomes
            .iter()
            .filter(|(o, _)| o.is_cold_model && is_admitted(o));
        Self {
            policy,
            total: RequestFigures::from_outcomes(&all),
            customers: group(|o| &o.customer),
            centres: group(|o| &o.centre),
            bound: WaitSummary::from_waits(bound.waits.into_iter()),
            bound_late: bound.late,
            cold_models: WaitSummary::from_waits(cold_models.map(|(o, d)| counted_wait(o, *d))),
            idle_hours: counters.idle.as_secs_f64() / SECS_PER_HOUR,
            loads: counters.loads,
            cached: counters.cached,
            misses: counters.misses,
            slowest: slowest_cold_starts(simulation, MAX_BREAKDOWNS),
            overshoot: simulation.overshoot(),
            overcommit,
            surplus,
            doubles,
            others,
        }
    }
}
