use hdrhistogram::Histogram;
use sequoiawing_types::Name;
use serde::Serialize;
use std::{collections::BTreeMap, fmt, time::Duration};

/// The maximum time that a histogram records, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// The significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The outcome of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// The HTTP status; 0 for a missing or incomplete response.
    pub(crate) status: u16,
    /// Whether the response belongs to another request, or is truncated although
    /// it ended normally.
    pub(crate) wrong: bool,
    /// The time to the first part of the body.
    pub(crate) first: Option<Duration>,
    /// The times between parts of the body.
    pub(crate) gaps: Vec<Duration>,
    /// The time to the end of the body.
    pub(crate) took: Duration,
}

/// A histogram of times, in microseconds.
#[derive(Clone, Debug)]
struct TimeHistogram(Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the histogram bounds are valid"))
    }
}

impl TimeHistogram {
    fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        self.0.saturating_record(micros.clamp(1, MAX_TIME_US));
    }

    fn summary(&self) -> TimeSummary {
        TimeSummary {
            count: self.0.len(),
            p50: self.0.value_at_quantile(0.5),
            p95: self.0.value_at_quantile(0.95),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        }
    }
}

/// Percentiles of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TimeSummary {
    /// The number of recorded times.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

#[derive(Clone, Debug, Default)]
struct CustomerOutcomes {
    statuses: BTreeMap<u16, u64>,
    wrong: u64,
    first: TimeHistogram,
    gaps: TimeHistogram,
    took: TimeHistogram,
}

/// The outcomes of the requests of one customer.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CustomerSummary {
    /// The customer.
    pub customer: Name,
    /// The number of requests by HTTP status; 0 for a missing or incomplete
    /// response.
    pub statuses: BTreeMap<u16, u64>,
    /// The number of responses that belong to another request, or are truncated
    /// although they ended normally.
    pub wrong: u64,
    /// The times to the first part of complete responses.
    pub first: TimeSummary,
    /// The times between parts of complete responses.
    pub gaps: TimeSummary,
    /// The times to the end of complete responses.
    pub took: TimeSummary,
}

/// The outcomes of the requests of a load test.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    customers: BTreeMap<Name, CustomerOutcomes>,
}

impl LoadReport {
    pub(crate) fn record(&mut self, customer: &Name, outcome: &Outcome) {
        let outcomes = self.customers.entry(customer.clone()).or_default();
        *outcomes.statuses.entry(outcome.status).or_default() += 1;
        outcomes.wrong += u64::from(outcome.wrong);
        if outcome.status != 200 || outcome.wrong {
            return;
        }
        outcomes.took.record(outcome.took);
        if let Some(first) = outcome.first {
            outcomes.first.record(first);
        }
        for gap in &outcome.gaps {
            outcomes.gaps.record(*gap);
        }
    }

    /// Returns the outcomes of the requests, by customer.
    pub fn summaries(&self) -> Vec<CustomerSummary> {
        let summary = |(customer, outcomes): (&Name, &CustomerOutcomes)| CustomerSummary {
            customer: customer.clone(),
            statuses: outcomes.statuses.clone(),
            wrong: outcomes.wrong,
            first: outcomes.first.summary(),
            gaps: outcomes.gaps.summary(),
            took: outcomes.took.summary(),
        };
        self.customers.iter().map(summary).collect()
    }

    /// Returns the number of requests of all customers, by status.
    pub fn statuses(&self) -> BTreeMap<u16, u64> {
        let mut all = BTreeMap::new();
        for outcomes in self.customers.values() {
            for (status, count) in &outcomes.statuses {
                *all.entry(*status).or_default() += count;
            }
        }
        all
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = ["count", "p50 ms", "p95 ms", "p99 ms", "max ms"];
        write!(f, "{:<16} {:<8}", "customer", "time")?;
        for name in columns {
            write!(f, " {name:>10}")?;
        }
        writeln!(f)?;
        for summary in self.summaries() {
            let rows = [
                ("first", summary.first),
                ("gap", summary.gaps),
                ("whole", summary.took),
            ];
            for (kind, times) in rows {
                write!(
                    f,
                    "{:<16} {kind:<8} {:>10}",
                    summary.customer.as_str(),
                    times.count
                )?;
                for micros in [times.p50, times.p95, times.p99, times.max] {
                    let millis = Duration::from_micros(micros).as_secs_f64() * 1_000.0;
                    write!(f, " {millis:>10.3}")?;
                }
                writeln!(f)?;
            }
            for (status, count) in &summary.statuses {
                writeln!(f, "{:<16} status {status}: {count}", summary.customer)?;
            }
            writeln!(f, "{:<16} wrong: {}", summary.customer, summary.wrong)?;
        }
        Ok(())
    }
}
