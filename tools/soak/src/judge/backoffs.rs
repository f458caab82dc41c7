//! BUDGET: requests to runners that asked a gateway for none.

use super::{Case, Promise, Verdict};
use std::collections::HashMap;

/// How long after its refusal a runner may still receive requests, in milliseconds.
const NOTICE: u64 = 500;

/// The requests of one gateway that a runner may receive from then to the end of the time
/// for which it asked.
const ALLOWED: usize = 2;

/// The time before a refusal in which the gateway must not have been disturbed, in
/// milliseconds: longer than any disturbance.
const CONTACT: u64 = 6_000;

pub(super) fn judge(case: &Case<'_>, verdict: &mut Verdict) {
    let gateway = |attempt: &str| case.by_attempt.get(attempt).map(|sent| sent.gateway);
    let mut times: HashMap<(&str, usize), Vec<u64>> = HashMap::new();
    for arrival in &case.arrivals {
        if let Some(gateway) = gateway(arrival.attempt) {
            let times = times.entry((arrival.runner, gateway)).or_default();
            times.push(arrival.at);
        }
    }
    let mut most = 0;
    for refused in &case.arrivals {
        let (Some(span), Some(gateway)) = (refused.retry_after, gateway(refused.attempt)) else {
            continue;
        };
        let end = refused.at + span;
        let from = refused.at.saturating_sub(CONTACT);
        if case.is_disturbed(&format!("gateway-{gateway}"), from, end) {
            continue;
        }
        verdict.check(Promise::Budget);
        let times = &times[&(refused.runner, gateway)];
        let before = |limit: u64| times.partition_point(|at| *at < limit);
        let count = before(end).saturating_sub(before(refused.at + NOTICE));
        most = most.max(count);
        if count > ALLOWED {
            let what = format!(
                "{} asked gateway-{gateway} at {} ms for no requests for {span} ms and received {count} after the notice, {ALLOWED} are allowed",
                refused.runner, refused.at
            );
            verdict.find(Promise::Budget, what);
        }
    }
    verdict.notes.push(format!(
        "most requests to a runner that wanted none: {most}"
    ));
}
