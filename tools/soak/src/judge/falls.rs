//! LIMIT: how often brittle runners fell over.

use super::{Case, Fall, Promise, Verdict};
use std::collections::BTreeMap;

/// The time for which a gateway and all controllers must have run undisturbed, in
/// milliseconds.
const CONTACT: u64 = 3_000;

pub(super) fn judge(case: &Case<'_>, verdict: &mut Verdict) {
    let mut times: BTreeMap<(&str, u64), Vec<&Fall<'_>>> = BTreeMap::new();
    for fall in &case.falls {
        verdict.check(Promise::Limit);
        if is_by_gateways_in_touch(case, fall) {
            let key = (fall.service, fall.brittle.began);
            times.entry(key).or_default().push(fall);
        }
    }
    for ((service, began), falls) in times {
        let runners = falls[0].brittle.runners;
        let allowed = 2 + runners / 10;
        let text = format!(
            "{} of {runners} runners of {service} fell over in the time from {began} ms on, the last {} at {} ms; {allowed} are allowed",
            falls.len(),
            falls[falls.len() - 1].runner,
            falls[falls.len() - 1].at
        );
        if falls.len() > allowed {
            verdict.find(Promise::Limit, text);
        } else {
            verdict.notes.push(text);
        }
    }
}

/// Returns whether most of what the runner rejected came from gateways in touch.
fn is_by_gateways_in_touch(case: &Case<'_>, fall: &Fall<'_>) -> bool {
    let from = fall.at.saturating_sub(CONTACT);
    let mut faults = case.faults.iter();
    let is_core_disturbed = faults
        .any(|(at, process)| process.starts_with("controller-") && (from..=fall.at).contains(at));
    if is_core_disturbed {
        return false;
    }
    let in_touch = fall.rejected.iter().filter(|attempt| {
        let sent = case.by_attempt.get(attempt.as_str());
        sent.is_some_and(|sent| {
            let gateway = format!("gateway-{}", sent.gateway);
            !case.is_disturbed(&gateway, from, fall.at)
        })
    });
    in_touch.count() * 2 > fall.rejected.len()
}
