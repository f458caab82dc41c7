//! DRAIN: requests to runners whose departure was acknowledged.

use super::{Case, Promise, Verdict};

/// How long after the acknowledgement a runner may still receive requests, in milliseconds.
const DRAIN: u64 = 2_000;

/// The time before a request in which no controller may have been disturbed, in
/// milliseconds.
const CORE_CONTACT: u64 = 3_000;

/// The same for the gateway that sent it: longer than any disturbance.
const CONTACT: u64 = 6_000;

/// The status by which a runner says that a request was meant for another one.
const MISDIRECTED: u16 = 421;

pub(super) fn judge(case: &Case<'_>, verdict: &mut Verdict) {
    for (departed, runner) in &case.departures {
        verdict.check(Promise::Drain);
        let from = departed + DRAIN;
        let arrivals = case.arrivals.iter().filter(|a| a.runner == *runner);
        let late = arrivals.filter(|a| a.at > from && a.status != MISDIRECTED);
        let late: Vec<_> = late
            .filter(|a| is_in_touch(case, a.at, a.attempt))
            .collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            let what = format!(
                "{runner} left at {departed} ms and received {} requests from {} to {} ms, the first {}",
                late.len(),
                first.at,
                last.at,
                first.attempt
            );
            verdict.find(Promise::Drain, what);
        }
    }
}

/// Returns whether the gateway of a request and all controllers were not disturbed for some
/// time.
fn is_in_touch(case: &Case<'_>, at: u64, attempt: &str) -> bool {
    let Some(sent) = case.by_attempt.get(attempt) else {
        return false;
    };
    let gateway = format!("gateway-{}", sent.gateway);
    if case.is_disturbed(&gateway, at.saturating_sub(CONTACT), at) {
        return false;
    }
    let is_controller = |name: &str| name.starts_with("controller-");
    let span = at.saturating_sub(CORE_CONTACT)..=at;
    let mut faults = case.faults.iter();
    !faults.any(|(time, name)| is_controller(name) && span.contains(time))
}
