//! Causes of crashes of upstreams: the evidence for hubs, and the refusal of
//! requests.

#[cfg(test)]
mod tests;

use crate::{
    GatewayExchange, GatewayState,
    crash_log::{BrokenAnswer, CrashLog, Incarnation, age_millis},
    slots::Slot,
};
use parking_lot::Mutex;
use sequoiawing_link::{CauseSuccess, QuarantineEntry, QuarantineReport, QuarantineUpdate};
use sequoiawing_policy::serving::{
    Quarantine, QuarantineSettings, QuarantinedCause, RecentSuccesses, shared_causes,
};
use sequoiawing_router::{Code, Refused};
use sequoiawing_runtime::{sleep, spawn};
use sequoiawing_types::{CrashCause, Time};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The delay before an upstream whose answers broke off is checked, within which
/// its other answers break off too and its listener closes.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// What a gateway knows of causes of crashes.
pub(crate) struct QuarantineState {
    causes: Mutex<Quarantine>,
    successes: Mutex<RecentSuccesses>,
    crashes: Mutex<CrashLog>,
    /// The IDs of the causes that each hub suspects.
    suspects: Mutex<HashMap<SocketAddr, Vec<u64>>>,
    /// The quarantined causes after the last update.
    live: Mutex<BTreeSet<CrashCause>>,
}

impl QuarantineState {
    pub(crate) fn new(seed: u64) -> Self {
        let settings = QuarantineSettings::default();
        Self {
            causes: Mutex::new(Quarantine::new(settings, seed)),
            successes: Mutex::default(),
            crashes: Mutex::new(CrashLog::new(&settings)),
            suspects: Mutex::default(),
            live: Mutex::default(),
        }
    }

    /// Returns what hubs should know.
    pub(crate) fn report(&self, now: Time) -> QuarantineReport {
        let suspects = self.suspects.lock().values().flatten().copied().collect();
        let suspects: BTreeSet<u64> = suspects;
        let successes = self.successes.lock();
        let causes = suspects
            .into_iter()
            .flat_map(|id| [CrashCause::part(id), CrashCause::request(id)]);
        let known = causes.filter_map(|cause| {
            Some(CauseSuccess {
                id: cause.id,
                kind: cause.kind,
                age: age_millis(now, successes.last(cause)?),
            })
        });
        let known = known.collect();
        drop(successes);
        let causes = self.causes.lock();
        let quarantined = causes.causes().map(|e| to_entry(now, e)).collect();
        drop(causes);
        QuarantineReport {
            crashes: self.crashes.lock().reports(now),
            successes: known,
            quarantined,
        }
    }

    /// Applies the update of a hub; returns whether it suspects other causes than
    /// before.
    fn apply(&self, now: Time, hub: SocketAddr, update: &QuarantineUpdate) -> bool {
        let entries = update.quarantined.iter();
        let entries: Vec<QuarantinedCause> = entries.map(|e| from_entry(now, e)).collect();
        let mut causes = self.causes.lock();
        causes.apply(now, &entries);
        let live = causes.causes().filter(|e| e.is_live(now));
        let live: BTreeSet<CrashCause> = live.map(|e| e.cause).collect();
        drop(causes);
        let mut former = self.live.lock();
        for cause in live.difference(&former) {
            log::warn!(target: "gateway", crash_cause = cause.to_string(); "Quarantine began.");
        }
        for cause in former.difference(&live) {
            log::info!(target: "gateway", crash_cause = cause.to_string(); "Quarantine ended.");
        }
        *former = live;
        drop(former);
        let mut suspects = self.suspects.lock();
        let former = suspects.insert(hub, update.suspects.clone());
        former.unwrap_or_default() != update.suspects
    }

    /// Returns whether a hub suspects that the request crashes upstreams.
    fn is_suspected(&self, exchange: &GatewayExchange) -> bool {
        let suspects = self.suspects.lock();
        let mut lists = suspects.values().filter(|list| !list.is_empty());
        lists.any(|list| list.contains(&exchange.own_cause().id))
    }

    /// Returns whether a quarantine has begun since the request arrived. It then needs
    /// a trial like any that arrives.
    fn has_begun_since(&self, exchange: &GatewayExchange) -> bool {
        let causes = self.causes.lock();
        !causes.is_empty()
            && causes.last_term(&exchange.crash_causes())
                > exchange.passed_term.load(Ordering::Relaxed)
    }

    /// Returns the quarantined cause for which a request must not be sent, and the
    /// time until its quarantine ends.
    fn find_live(
        &self,
        now: Time,
        exchange: &GatewayExchange,
        may_try: bool,
    ) -> Option<(CrashCause, Duration)> {
        let causes = self.causes.lock();
        if causes.is_empty() {
            return None;
        }
        let possible = exchange.crash_causes();
        let mut entries = causes.causes();
        let is_refused =
            |e: &&QuarantinedCause| e.is_live(now) || (!may_try && e.is_on_probation(now));
        let found = entries.find(|e| is_refused(e) && possible.contains(&e.cause));
        found.map(|e| (e.cause, e.until.since(now)))
    }

    /// Returns the state as JSON.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let causes = self.causes.lock();
        let entries = causes.causes().map(|e| {
            serde_json::json!({
                "cause": e.cause.to_string(), "term": e.term, "released": e.released,
                "remaining_ms": age_millis(e.until, now),
            })
        });
        entries.collect()
    }
}

impl GatewayState {
    /// Refuses a request with a quarantined cause of crashes when it arrives.
    pub(crate) fn check_quarantine(&self, exchange: &GatewayExchange) -> Result<(), Refused> {
        let mut causes = self.quarantine.causes.lock();
        if causes.is_empty() {
            return Ok(());
        }
        let possible = exchange.crash_causes();
        let found = causes.find(self.now(), &possible);
        exchange
            .passed_term
            .store(causes.last_term(&possible), Ordering::Relaxed);
        drop(causes);
        self.refuse_cause(exchange, found)
    }

    /// Refuses a request with a cause of crashes that was quarantined since it
    /// arrived. A repeated attempt is also refused while the cause is on probation, or
    /// if a hub suspects the request, so that one attempt of its caller does not end
    /// several upstreams.
    pub(crate) fn recheck_quarantine(
        &self,
        exchange: &GatewayExchange,
        is_repeat: bool,
    ) -> Result<(), Refused> {
        if is_repeat && self.quarantine.is_suspected(exchange) {
            let problem = "it may have crashed upstreams before";
            return Err(Refused::new(Code::NoUpstream, problem));
        }
        if !is_repeat && self.quarantine.has_begun_since(exchange) {
            return self.check_quarantine(exchange);
        }
        let found = self.quarantine.find_live(self.now(), exchange, !is_repeat);
        self.refuse_cause(exchange, found)
    }

    /// Returns whether a request may be sent to a second upstream while the first one
    /// is silent.
    pub(crate) fn may_hedge(&self, exchange: &GatewayExchange) -> bool {
        let found = self.quarantine.find_live(self.now(), exchange, false);
        self.refuse_cause(exchange, found).is_ok()
    }

    fn refuse_cause(
        &self,
        exchange: &GatewayExchange,
        found: Option<(CrashCause, Duration)>,
    ) -> Result<(), Refused> {
        let Some((cause, remaining)) = found else {
            return Ok(());
        };
        if let Some(meters) = &self.meters {
            meters.record_quarantine_refusal();
        }
        log::info!(
            target: "gateway", request = exchange.meta.id.as_str(),
            crash_cause = cause.to_string(),
            remaining_ms = age_millis(Time::ZERO + remaining, Time::ZERO);
            "Request has a quarantined cause of crashes."
        );
        let problem = format!("{cause} crashes upstreams");
        Err(Refused::new(Code::NoUpstream, problem).with_retry_after(remaining))
    }

    /// Records that an answer was complete.
    pub(crate) fn record_complete_answer(&self, exchange: &GatewayExchange) {
        let causes = exchange.crash_causes();
        let mut successes = self.quarantine.successes.lock();
        successes.record(self.now(), &causes);
    }

    /// Records that an answer broke off, or that an upstream closed the connection
    /// before it answered. The upstream is checked unless a check is under way.
    pub(crate) fn record_broken_answer(self: &Arc<Self>, exchange: &GatewayExchange, slot: &Slot) {
        let assignment = &slot.assignment;
        let incarnation = (assignment.name.clone(), assignment.epoch);
        let parts: Vec<CrashCause> = shared_causes(&exchange.meta.parts).collect();
        let mut crashes = self.quarantine.crashes.lock();
        let answer = BrokenAnswer {
            sent: slot.assigned,
            attempt: exchange.attempt,
            begun: slot.begun,
            request: exchange.own_cause(),
            parts: &parts,
        };
        let is_first = crashes.add(self.now(), &incarnation, answer);
        drop(crashes);
        if is_first {
            let state = self.clone();
            let address = assignment.address;
            spawn(async move { state.check_upstream(incarnation, address).await }).detach();
        }
    }

    /// Records a crash if an upstream whose answers broke off accepts no
    /// connections.
    async fn check_upstream(&self, incarnation: Incarnation, address: SocketAddr) {
        sleep(CHECK_DELAY).await;
        let connected = self.client.check_connection(address).await;
        let mut crashes = self.quarantine.crashes.lock();
        let Some(answers) = crashes.take(&incarnation) else {
            return;
        };
        let (upstream, start) = (incarnation.0.clone(), incarnation.1);
        let count = answers.count;
        let causes: Vec<String> = answers.causes.keys().map(CrashCause::to_string).collect();
        let cause = match connected {
            Ok(()) => None,
            Err(error) => {
                crashes.record(incarnation, answers);
                Some(error.to_string())
            }
        };
        drop(crashes);
        let Some(cause) = cause else {
            log::info!(
                target: "gateway", upstream = upstream.as_str(), start = start, answers = count;
                "Answers of an upstream broke off, but it accepts connections."
            );
            return;
        };
        log::warn!(
            target: "gateway", upstream = upstream.as_str(), start = start, answers = count,
            causes = causes.join(", "), cause = cause;
            "Upstream crashed while it ran requests."
        );
        self.urgent_report.notify(usize::MAX);
    }

    /// Applies what a hub told of causes of crashes.
    pub(crate) fn apply_quarantine(&self, hub: SocketAddr, update: &QuarantineUpdate) {
        if self.quarantine.apply(self.now(), hub, update) {
            self.urgent_report.notify(usize::MAX);
        }
        if let Some(meters) = &self.meters {
            meters.set_quarantined_causes(self.quarantine.live.lock().len());
        }
    }
}

fn to_entry(now: Time, entry: &QuarantinedCause) -> QuarantineEntry {
    QuarantineEntry {
        id: entry.cause.id,
        kind: entry.cause.kind,
        term: entry.term,
        remaining: age_millis(entry.until, now),
        ended: age_millis(now, entry.until),
        released: entry.released,
    }
}

fn from_entry(now: Time, entry: &QuarantineEntry) -> QuarantinedCause {
    let until = now + Duration::from_millis(entry.remaining);
    let ended = Duration::from_millis(entry.ended);
    QuarantinedCause {
        cause: entry.cause(),
        term: entry.term,
        until: Time::ZERO + until.since(Time::ZERO + ended),
        released: entry.released,
    }
}
