//! BUDGET: repeats by window, runners by try, and the time that is left.

use super::{Bounds, Case, Promise, Verdict};
use std::collections::{BTreeMap, HashSet};

/// The tries that may reach more runners than they may.
const EXCESS_TRIES: usize = 3;

/// The requests that may be handed more time than is left, at most.
const LATE_REQUESTS: usize = 20;

/// The time by which a deadline may be off, in milliseconds.
const DEADLINE_SLACK: u64 = 500;

/// The time for which a process must have run undisturbed, in milliseconds.
const CONTACT: u64 = 3_000;

pub(super) fn judge(case: &Case<'_>, bounds: &Bounds, verdict: &mut Verdict) {
    judge_windows(case, bounds, verdict);
    judge_attempts(case, verdict);
    judge_deadlines(case, verdict);
}

/// The times of the requests and repeats of a service, in milliseconds.
#[derive(Default)]
struct Times {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

/// Counts the times from `from` on and before `to`.
fn count(times: &[u64], from: u64, to: u64) -> usize {
    times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
}

fn judge_windows(case: &Case<'_>, bounds: &Bounds, verdict: &mut Verdict) {
    let mut services: BTreeMap<&str, Times> = BTreeMap::new();
    for sent in &case.sent {
        let times = services.entry(&sent.service).or_default();
        times.requests.push(sent.at);
    }
    let mut seen = HashSet::new();
    for arrival in &case.arrivals {
        if !case.by_attempt.contains_key(arrival.attempt) || seen.insert(arrival.attempt) {
            continue;
        }
        let times = services.entry(arrival.service).or_default();
        times.repeats.push(arrival.at);
    }
    for (service, times) in services {
        judge_service(service, &times, bounds, verdict);
    }
}

/// Judges each window that ends with a repeat. The requests are counted in that window,
/// the one before it, or the one half a window before it, whichever has most.
fn judge_service(service: &str, times: &Times, bounds: &Bounds, verdict: &mut Verdict) {
    let window = bounds.window;
    let mut most = (0.0, 0, 0.0, 0);
    for at in &times.repeats {
        verdict.check(Promise::Budget);
        let end = at + 1;
        let from = |back: u64| end.saturating_sub(back);
        let repeats = count(&times.repeats, from(window), end);
        let requests = [
            count(&times.requests, from(window), end),
            count(&times.requests, from(window * 2), from(window)),
            count(&times.requests, from(window * 3 / 2), from(window / 2)),
        ];
        let requests = requests.into_iter().max().unwrap_or_default();
        let allowed = to_f64(requests) * bounds.ratio + bounds.slack;
        let share = to_f64(repeats) / allowed.max(1.0);
        if share > most.0 {
            most = (share, repeats, allowed, *at);
        }
    }
    let (share, repeats, allowed, at) = most;
    let first = times.requests.first().copied().unwrap_or_default();
    let text = format!(
        "{service}: {repeats} repeats in the {window} ms up to {} ms after the first request, {allowed:.1} are allowed",
        at.saturating_sub(first)
    );
    if share > 1.0 {
        verdict.find(Promise::Budget, text);
    } else {
        verdict.notes.push(format!("most repeats, {text}"));
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Judges at how many runners tries ran; runners that were disturbed meanwhile don't
/// count.
fn judge_attempts(case: &Case<'_>, verdict: &mut Verdict) {
    let mut excess = Vec::new();
    for sent in &case.sent {
        let ran: Vec<_> = case.arrivals_of(&sent.attempt).filter(|a| a.ran).collect();
        let (Some(first), Some(last)) = (ran.first(), ran.last()) else {
            continue;
        };
        verdict.check(Promise::Budget);
        let is_disturbed = |runner: &str| case.is_disturbed(runner, first.at, last.at);
        let runners: HashSet<_> = ran.iter().map(|a| a.runner).collect();
        let runners = runners.into_iter().filter(|r| !is_disturbed(r)).count();
        if runners > sent.max_attempts {
            excess.push(format!(
                "{} ran at {runners} runners, {} are allowed",
                sent.attempt, sent.max_attempts
            ));
        }
    }
    if excess.len() > EXCESS_TRIES {
        let what = format!("{} tries, the first: {}", excess.len(), excess[0]);
        verdict.find(Promise::Budget, what);
    }
}

/// Judges the time that arrivals name as left, between gateways and runners that were not
/// disturbed.
fn judge_deadlines(case: &Case<'_>, verdict: &mut Verdict) {
    let mut late = Vec::new();
    let mut counted = 0;
    for sent in &case.sent {
        let gateway = format!("gateway-{}", sent.gateway);
        let mut first = None;
        for arrival in case.arrivals_of(&sent.attempt) {
            let from = sent.at.saturating_sub(CONTACT);
            let is_disturbed = |process| case.is_disturbed(process, from, arrival.at);
            if is_disturbed(&gateway) || is_disturbed(arrival.runner) {
                continue;
            }
            verdict.check(Promise::Budget);
            let first_arrival = first.get_or_insert(arrival);
            let is_late_repeat = arrival.at > first_arrival.at + DEADLINE_SLACK;
            let is_later = arrival.deadline.is_none_or(|left| {
                let first_end = first_arrival.at + first_arrival.deadline.unwrap_or_default();
                let limit = first_end.max(sent.at + sent.deadline) + DEADLINE_SLACK;
                left > sent.deadline + DEADLINE_SLACK
                    || (is_late_repeat && arrival.at + left > limit)
            });
            counted += usize::from(is_late_repeat || is_later);
            if is_later {
                late.push(format!(
                    "{} of {} ms reached {} after {} ms with {:?} ms left",
                    sent.attempt,
                    sent.deadline,
                    arrival.runner,
                    arrival.at.saturating_sub(sent.at),
                    arrival.deadline
                ));
            }
        }
    }
    if late.len() > LATE_REQUESTS && late.len() * 5 > counted {
        let what = format!(
            "{} arrivals with too much time, the first: {}",
            late.len(),
            late[0]
        );
        verdict.find(Promise::Budget, what);
    }
}
