//! ORDER: each stream that a caller saw against the events that runners made.

use super::{Case, Promise, Verdict};
use crate::{
    event_ids::event_id,
    record::{End, Sent},
};
use std::collections::BTreeMap;

/// The parts of an event.
struct Event<'a> {
    number: u64,
    runner: &'a str,
    version: &'a str,
    last: u64,
}

/// Reads `id: ID`, `data: RUNNER VERSION NUMBER/LAST STEP`, where ID is the [`event_id`] of
/// NUMBER; without STEP the two are equal.
fn parse(text: &str) -> Option<Event<'_>> {
    let (id, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let mut words = data.split(' ');
    let (runner, version, place) = (words.next()?, words.next()?, words.next()?);
    let (number, last) = place.split_once('/')?;
    let step = words.next().map_or(Some(1), |step| step.parse().ok())?;
    let number = number.parse().ok()?;
    let event = Event {
        number,
        runner,
        version,
        last: last.parse().ok()?,
    };
    let is_id = id.parse() == Ok(event_id(step, number));
    (is_id && words.next().is_none()).then_some(event)
}

pub(super) fn judge(case: &Case<'_>, verdict: &mut Verdict) {
    let mut chains: BTreeMap<(u64, &str), Vec<&Sent>> = BTreeMap::new();
    for sent in case.sent.iter().filter(|s| s.is_stream) {
        let first = sent.resumes.as_deref().unwrap_or(&sent.attempt);
        let at = case.by_attempt.get(first).map_or(sent.at, |s| s.at);
        chains.entry((at, first)).or_default().push(sent);
    }
    for tries in chains.values() {
        judge_stream(case, tries, verdict);
    }
}

/// Judges the events of a stream over all tries of its caller.
fn judge_stream(case: &Case<'_>, tries: &[&Sent], verdict: &mut Verdict) {
    let mut before: Option<(Event<'_>, &str)> = None;
    for sent in tries {
        let attempt = sent.attempt.as_str();
        let Some(answer) = case.answers.get(attempt) else {
            continue;
        };
        for (_, text) in &answer.events {
            verdict.check(Promise::Order);
            let mut made = case.made.get(attempt).into_iter().flatten();
            let is_made = made.any(|(known, _)| known == text);
            let event = parse(text).filter(|_| is_made);
            let Some(event) = event else {
                let what = format!("{attempt} got an event that no runner made for it: {text:?}");
                verdict.find(Promise::Mixed, what);
                return;
            };
            if let Some(what) = compare(before.as_ref(), &event, sent) {
                verdict.find(Promise::Order, what);
                return;
            }
            before = Some((event, attempt));
        }
        let Some((_, end, rest)) = answer.end else {
            continue;
        };
        let is_success = answer.head.is_some_and(|(s, ..)| (200..300).contains(&s));
        if !is_success || end != End::Whole {
            continue;
        }
        verdict.check(Promise::Order);
        let (number, last) = before.as_ref().map_or((0, 1), |(e, _)| (e.number, e.last));
        if number < last {
            let answering = case.arrivals_of(attempt).filter(|a| a.ran).last();
            let runner = answering.map_or("no runner", |a| a.runner);
            let is_unframed = case.unframed.contains(&(attempt, runner));
            let framing = if is_unframed { "without" } else { "with" };
            let is_stopped = case.stopped.contains(&(attempt, runner));
            let by = if is_stopped {
                "; the runner lived and ended it"
            } else {
                ""
            };
            let what = format!(
                "{attempt} ended as whole behind event {number} of {last} of {runner}, whose answer \
                 was {framing} length or chunks{by}; rest {rest:?}"
            );
            verdict.find(Promise::Order, what);
            return;
        }
        if !rest.is_empty() {
            let what = format!("{attempt} ended as whole with a part of an event: {rest:?}");
            verdict.find(Promise::Mixed, what);
        }
    }
}

/// Returns what is wrong with an event behind another one.
fn compare(before: Option<&(Event<'_>, &str)>, event: &Event<'_>, sent: &Sent) -> Option<String> {
    let attempt = &sent.attempt;
    let Some((known, tried)) = before else {
        let is_first = event.number == 1;
        return (!is_first).then(|| format!("{attempt} began with event {}", event.number));
    };
    let joined = format!(
        "event {} of {} ({}) behind event {} of {} ({}, in {tried})",
        event.number, event.runner, event.version, known.number, known.runner, known.version
    );
    if event.number <= known.number {
        return Some(format!("{attempt} went back: {joined}"));
    }
    if event.number > known.number + 1 {
        return Some(format!("{attempt} left out events: {joined}"));
    }
    if event.version != known.version {
        return Some(format!("{attempt} joined two versions: {joined}"));
    }
    let is_joined = event.runner != known.runner && !sent.is_repeatable;
    is_joined.then(|| format!("{attempt} joined two runs, which its route forbids: {joined}"))
}
