//! LOST: requests that a gateway passed on and left without an answer when it ended.

use super::{Case, Promise, Verdict};
use crate::record::End;

/// The time after the signal within which a gateway ends, in milliseconds.
const GRACE: u64 = 9_000;

/// The time before a request in which nothing else may have disturbed its gateway and
/// runner, in milliseconds.
const CONTACT: u64 = 3_000;

/// Stricter than the rules: requests that still ran near the end count as well.
pub(super) fn judge(case: &Case<'_>, verdict: &mut Verdict) {
    for sent in &case.sent {
        let gateway = format!("gateway-{}", sent.gateway);
        let Some(answer) = case.answers.get(sent.attempt.as_str()) else {
            continue;
        };
        let Some((ended, end, _)) = answer.end else {
            continue;
        };
        let mut stops = case.stops.iter();
        let stop = stops.find(|(at, name)| *name == gateway && (*at..at + GRACE).contains(&ended));
        let Some((stop, _)) = stop else {
            continue;
        };
        let from = sent.at.saturating_sub(CONTACT);
        let is_disturbed = |process: &str| {
            let mut faults = case.faults.iter();
            let is_stop = |at: u64| case.stops.contains(&(at, process));
            faults
                .any(|(at, name)| *name == process && (from..=ended).contains(at) && !is_stop(*at))
        };
        let arrivals = case.arrivals_of(&sent.attempt);
        let runners: Vec<_> = arrivals.map(|arrival| arrival.runner).collect();
        if is_disturbed(&gateway) || runners.iter().any(|runner| is_disturbed(runner)) {
            continue;
        }
        verdict.check(Promise::Lost);
        if end == End::Broken && answer.head.is_none() && !runners.is_empty() {
            let what = format!(
                "{} was passed on to {} by {gateway}, which was told to end at {stop} ms, and had no answer at {ended} ms",
                sent.attempt,
                runners.join(", ")
            );
            verdict.find(Promise::Lost, what);
        }
    }
}
