//! Detects what crashes upstreams.

#[cfg(test)]
mod tests;

use crate::hub::{HubState, join_names};
use futures_lite::FutureExt;
use sequoiawing_link::{CrashedCause, QuarantineEntry, QuarantineReport, QuarantineUpdate};
use sequoiawing_policy::serving::{
    CrashedAnswer, PoisonDetector, QuarantineDecision, QuarantineSettings, QuarantinedCause,
};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_types::{CrashCause, Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The minimum time between two decisions, in which further reports of the same
/// crash arrive.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// The last crash report accepted from a gateway.
#[derive(Clone, Copy, Debug, Default)]
struct Accepted {
    incarnation: u64,
    number: u64,
}

/// Collects the reports of all gateways for the [`PoisonDetector`].
#[derive(Debug)]
pub(crate) struct PoisonWatch {
    detector: PoisonDetector,
    /// Crashes are taken from the first report that contains them: the delays of
    /// later ones would distort their times.
    accepted: BTreeMap<Name, Accepted>,
    /// The quarantined causes when [`Self::advance`] was last called.
    live: BTreeSet<CrashCause>,
    suspects: Vec<CrashCause>,
}

impl Default for PoisonWatch {
    fn default() -> Self {
        Self {
            detector: PoisonDetector::new(QuarantineSettings::default()),
            accepted: BTreeMap::new(),
            live: BTreeSet::new(),
            suspects: Vec::new(),
        }
    }
}

impl PoisonWatch {
    /// Records the report of a gateway that was sent `age` ago, and returns
    /// whether it contained anything.
    pub(crate) fn record(
        &mut self,
        now: Time,
        gateway: (&Name, u64),
        age: Duration,
        report: &QuarantineReport,
    ) -> bool {
        let at = |millis: u64| time_before(now, age + Duration::from_millis(millis));
        for entry in &report.quarantined {
            self.detector.learn(now, &from_entry(now, age, entry));
        }
        for success in &report.successes {
            let at = at(success.age);
            self.detector.record_success(now, success.cause(), at);
        }
        let (host, incarnation) = gateway;
        let accepted = self.accepted.entry(host.clone()).or_default();
        if accepted.incarnation < incarnation {
            *accepted = Accepted {
                incarnation,
                number: 0,
            };
        }
        let known = *accepted;
        let crashes = report.crashes.iter();
        let is_new = incarnation == known.incarnation;
        for crash in crashes.filter(|c| is_new && c.number > known.number) {
            log::info!(
                target: "hub", gateway = host.as_str(), upstream = crash.upstream.as_str(),
                start = crash.epoch, causes = join_causes(crash.causes.iter().map(CrashedCause::cause)),
                age_ms = crash.age + millis(age);
                "Gateway reported a crashed upstream."
            );
            accepted.number = accepted.number.max(crash.number);
            for cause in &crash.causes {
                let answer = CrashedAnswer {
                    upstream: crash.upstream.clone(),
                    epoch: crash.epoch,
                    cause: cause.cause(),
                    attempt: cause.attempt,
                    sent: at(cause.sent_age),
                    broken: at(crash.age),
                };
                self.detector.record_crash(now, &answer);
            }
        }
        *report != QuarantineReport::default()
    }

    /// Decides on quarantines; returns whether gateways should be told of changes.
    fn advance(&mut self, now: Time) -> bool {
        for decision in self.detector.advance(now) {
            log_decision(now, &decision);
        }
        let quarantined = self.detector.quarantined();
        let live: BTreeSet<CrashCause> = quarantined
            .iter()
            .filter(|e| e.is_live(now))
            .map(|e| e.cause)
            .collect();
        for cause in self.live.difference(&live) {
            log::info!(target: "hub", crash_cause = cause.to_string(); "Quarantine ended.");
        }
        for cause in live.difference(&self.live) {
            log::info!(target: "hub", crash_cause = cause.to_string(); "Quarantine began.");
        }
        let suspects = self.detector.suspects();
        let has_changed = live != self.live || suspects != self.suspects;
        self.suspects = suspects.to_vec();
        self.live = live;
        has_changed
    }

    /// Returns what gateways should know.
    pub(crate) fn update(&self, now: Time) -> QuarantineUpdate {
        let quarantined = self.detector.quarantined();
        QuarantineUpdate {
            suspects: self.suspects.iter().map(|c| c.id).collect(),
            quarantined: quarantined.iter().map(|e| to_entry(now, e)).collect(),
        }
    }

    /// Returns the state as JSON.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let quarantined = self.detector.quarantined();
        let quarantined = quarantined.iter().map(|e| {
            serde_json::json!({
                "cause": e.cause.to_string(), "term": e.term, "released": e.released,
                "remaining_ms": millis(e.until.since(now)),
            })
        });
        serde_json::json!({
            "quarantined": quarantined.collect::<Vec<_>>(),
            "suspects": join_causes(self.suspects.iter().copied()),
        })
    }
}

/// Runs the detector whenever a report has arrived or a decision is due, until
/// shutdown starts.
pub(crate) async fn detect(state: Arc<HubState>, shutdown: Shutdown) {
    loop {
        let reported = state.poison_reported.listen();
        let wait = advance(&state);
        let due = async {
            match wait {
                Some(wait) => sleep(wait).await,
                None => std::future::pending().await,
            }
        };
        if shutdown.or(reported.or(due)).await.is_none() {
            return;
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Makes the decisions that are due; returns the time until the next.
fn advance(state: &HubState) -> Option<Duration> {
    let now = state.now();
    let mut watch = state.poison.lock();
    let has_changed = watch.advance(now);
    let due = watch.detector.next_deadline(now);
    drop(watch);
    if has_changed {
        state.notify_changed();
    }
    due.map(|due| due.since(now))
}

fn log_decision(now: Time, decision: &QuarantineDecision) {
    log::warn!(
        target: "hub", crash_cause = decision.cause.to_string(), term = decision.term,
        crashes = decision.crashes, upstreams = join_names(&decision.upstreams),
        for_ms = millis(decision.until.since(now));
        "Cause of crashes is quarantined."
    );
}

fn to_entry(now: Time, entry: &QuarantinedCause) -> QuarantineEntry {
    QuarantineEntry {
        id: entry.cause.id,
        kind: entry.cause.kind,
        term: entry.term,
        remaining: millis(entry.until.since(now)),
        ended: millis(now.since(entry.until)),
        released: entry.released,
    }
}

fn from_entry(now: Time, age: Duration, entry: &QuarantineEntry) -> QuarantinedCause {
    let until = now + Duration::from_millis(entry.remaining);
    QuarantinedCause {
        cause: entry.cause(),
        term: entry.term,
        until: time_before(until, age + Duration::from_millis(entry.ended)),
        released: entry.released,
    }
}

/// Returns the time `age` before `at`, or the start of this process.
fn time_before(at: Time, age: Duration) -> Time {
    Time::ZERO + at.since(Time::ZERO + age)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn join_causes<I>(causes: I) -> String
where
    I: Iterator<Item = CrashCause>,
{
    let texts: Vec<String> = causes.map(|cause| cause.to_string()).collect();
    texts.join(", ")
}
