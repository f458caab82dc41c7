use super::{
    CrashedAnswer, QuarantineDecision, QuarantineSettings, QuarantinedCause,
    evidence::{CrashKey, Evidence},
    suspect::Suspect,
    table::QuarantineTable,
};
use lru::LruCache;
use sequoiawing_types::{CauseKind, CrashCause, Time};
use std::{cmp::Reverse, collections::BTreeSet, num::NonZeroUsize};

/// The number of causes whose successes gateways are asked for. Those with the
/// fewest crashes are left out.
const MAX_SUSPECTS: usize = 512;

/// The number of causes whose last success a hub knows. Those used least
/// recently are dropped first.
const MAX_SUCCESSES: NonZeroUsize = NonZeroUsize::new(8_192).expect("the capacity is not zero");

/// Decides on a hub which causes crash the upstreams that requests with them are
/// sent to.
///
/// A prompt part is quarantined after several crashes in a row that it took part in. A
/// crash counts only if the request was sent after the previous one that counts, so
/// that upstreams that are lost together count once, and a completed answer starts the
/// count anew. A request that is repeated is held back for a moment once two attempts
/// of its caller crashed upstreams, and quarantined if a trial after that crashes
/// another one. Crashes in which a quarantined cause took part do not count against
/// others. See
/// [docs/design/quarantine.md](../../../../../docs/design/quarantine.md).
#[derive(Debug)]
pub struct PoisonDetector {
    settings: QuarantineSettings,
    evidence: Evidence,
    successes: LruCache<CrashCause, Time>,
    table: QuarantineTable,
    suspects: Vec<CrashCause>,
    has_changed: bool,
    /// When the next decision is due if nothing changes before.
    due: Option<Time>,
}

impl PoisonDetector {
    /// Creates a detector without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            evidence: Evidence::default(),
            successes: LruCache::new(MAX_SUCCESSES),
            table: QuarantineTable::default(),
            suspects: Vec::new(),
            has_changed: false,
            due: None,
        }
    }

    /// Records an answer that had begun when its upstream crashed. Repeated
    /// reports of the same answer change nothing.
    pub fn record_crash(&mut self, now: Time, answer: &CrashedAnswer) {
        if answer.broken + self.settings.retention > now {
            self.has_changed |= self.evidence.record(now, answer);
        }
    }

    /// Records that an answer to a request with a cause was completed at `at`.
    pub fn record_success(&mut self, now: Time, cause: CrashCause, at: Time) {
        let at = at.min(now);
        let last = self.successes.get_or_insert_mut(cause, || Time::ZERO);
        if *last < at {
            *last = at;
            self.has_changed = true;
        }
    }

    /// Learns a quarantined cause from a gateway or another hub.
    pub fn learn(&mut self, now: Time, entry: &QuarantinedCause) {
        self.has_changed |= self.table.merge(now, *entry);
    }

    /// Decides which causes are quarantined or released, and returns those newly
    /// quarantined.
    pub fn advance(&mut self, now: Time) -> Vec<QuarantineDecision> {
        self.has_changed |= self.evidence.expire(now, self.settings.retention);
        self.has_changed |= self.table.expire(now, self.settings.probation);
        let mut decisions = Vec::new();
        if !self.has_changed && self.due.is_none_or(|due| now < due) {
            return decisions;
        }
        self.has_changed = false;
        self.due = None;
        self.release_requests(now);
        self.review_probation(now, &mut decisions);
        self.explain_crashes(|entry| !entry.released);
        let mut suspects = self.find_suspects(now);
        while let Some(first) = self.find_due(now, &suspects) {
            // Causes with the same crashes cannot be told apart.
            let same: Vec<_> = suspects.iter().filter(|s| s.is_same(first)).collect();
            let before = decisions.len();
            for suspect in same {
                decisions.extend(self.quarantine(now, suspect.cause, &suspect.chain));
            }
            if decisions.len() == before {
                break;
            }
            self.explain_crashes(|entry| !entry.released);
            suspects = self.find_suspects(now);
        }
        self.schedule(now, &suspects);
        self.list_suspects(now, &suspects);
        decisions
    }

    /// Returns the causes whose successes gateways should report, as of the last
    /// call of [`advance`](Self::advance).
    pub fn suspects(&self) -> &[CrashCause] {
        &self.suspects
    }

    /// Returns the causes that are or were quarantined, for gateways and other
    /// hubs.
    pub fn quarantined(&self) -> Vec<QuarantinedCause> {
        self.table.iter().copied().collect()
    }

    /// Returns when [`advance`](Self::advance) has to be called next.
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        if self.has_changed {
            Some(now)
        } else {
            self.due
        }
    }

    /// Releases requests of which a completed answer became known late: fewer attempts
    /// have crashed upstreams since than lead to a quarantine.
    fn release_requests(&mut self, now: Time) {
        let is_live = |e: &&QuarantinedCause| e.is_live(now) && e.cause.kind == CauseKind::Request;
        let live: Vec<_> = self.table.iter().filter(is_live).map(|e| e.cause).collect();
        for cause in live {
            let Some(success) = self.successes.peek(&cause).copied() else {
                continue;
            };
            let (before, after): (Vec<_>, Vec<_>) = self
                .evidence
                .attempts(cause)
                .partition(|(broken, _)| *broken <= success);
            let after: BTreeSet<u64> = after.into_iter().flat_map(|(_, a)| a.ids()).collect();
            if !before.is_empty() && after.len() < self.settings.request_attempts {
                self.table.release(cause);
            }
        }
    }

    /// Releases causes on probation if an answer to a request with them was completed, and
    /// quarantines those again whose requests crashed an upstream.
    fn review_probation(&mut self, now: Time, decisions: &mut Vec<QuarantineDecision>) {
        self.explain_crashes(|entry| entry.is_live(now));
        let entries = self.table.iter().copied();
        let entries: Vec<_> = entries.filter(|e| e.is_on_probation(now)).collect();
        for entry in entries {
            let success = self.successes.peek(&entry.cause).copied();
            if success.is_some_and(|at| at > entry.until) {
                self.table.release(entry.cause);
                continue;
            }
            let crashes = self.evidence.crashes(entry.cause, now);
            let first = crashes
                .into_iter()
                .find(|(.., attempts)| attempts.last() > entry.until);
            let Some((key, crash, _)) = first else {
                continue;
            };
            let due = crash.broken + self.settings.settling(entry.cause.kind);
            if due <= now {
                decisions.extend(self.quarantine(now, entry.cause, &[key]));
            } else {
                self.add_due(due);
            }
        }
    }

    fn explain_crashes<F>(&mut self, explains: F)
    where
        F: Fn(&QuarantinedCause) -> bool,
    {
        self.evidence.clear_explanations();
        for entry in self.table.iter().filter(|e| explains(e)) {
            self.evidence.explain(entry.cause, entry.term > 1);
        }
    }

    /// Returns the causes with crashes that nothing explains yet.
    fn find_suspects(&self, now: Time) -> Vec<Suspect> {
        let settled = Time::ZERO + now.since(Time::ZERO + self.settings.settling);
        let causes = self.evidence.causes();
        let suspects = causes.map(|cause| self.suspect(cause, settled));
        suspects.filter(|s| !s.crashes.is_empty()).collect()
    }

    fn suspect(&self, cause: CrashCause, settled: Time) -> Suspect {
        let success = self.successes.peek(&cause).copied();
        let mut suspect = Suspect::new(&self.settings, cause, success.is_some());
        suspect.is_known = self.table.get(cause).is_some_and(|e| !e.released);
        let mut previous = None;
        for (key, crash, attempts) in self.evidence.crashes(cause, settled) {
            if success.is_some_and(|at| crash.broken <= at) {
                continue;
            }
            suspect.crashes.push(key);
            match cause.kind {
                CauseKind::PromptPart => {
                    if previous.is_none_or(|broken| attempts.last() > broken) {
                        previous = Some(crash.broken);
                        suspect.chain.push(key);
                    }
                }
                CauseKind::Request => {
                    suspect.attempts.extend(attempts.ids());
                    suspect.chain.push(key);
                    suspect.note_evidence(&self.settings);
                }
            }
        }
        if cause.kind == CauseKind::PromptPart && suspect.chain.len() >= suspect.needed {
            suspect.needed += self.count_doubts(&suspect).min(self.settings.max_doubts);
        }
        suspect
    }

    /// Returns the number of reasons why a part might be sound: an answer that
    /// was completed before, and each crash meanwhile in which it took no part.
    fn count_doubts(&self, suspect: &Suspect) -> usize {
        let ends = [suspect.chain.first(), suspect.chain.last()];
        let [Some(first), Some(last)] = ends.map(|key| key.map(|k| self.evidence.crash(*k).broken))
        else {
            return 0;
        };
        let meanwhile = self.evidence.unexplained(first, last);
        let others = meanwhile.filter(|key| !suspect.crashes.contains(key));
        others.count() + usize::from(suspect.has_succeeded)
    }

    /// Returns when a suspect may be quarantined if nothing changes before.
    fn due(&self, suspect: &Suspect) -> Option<Time> {
        let last = self.evidence.crash(suspect.last_needed()?);
        let first = self.evidence.crash(suspect.chain[0]);
        let kind = suspect.cause.kind;
        let settled = last.broken + self.settings.settling(kind);
        Some(settled.max(first.learned + self.settings.hearing(kind)))
    }

    /// Returns the suspect to be quarantined next.
    fn find_due<'a>(&self, now: Time, suspects: &'a [Suspect]) -> Option<&'a Suspect> {
        let is_decided = |s: &Suspect, due: Time| {
            let is_patient = now < due + self.settings.patience;
            let waits = suspects.iter().any(|o| o.defers(s, is_patient));
            let may_be_requests = is_patient && s.may_be_requests(suspects);
            !waits && !may_be_requests
        };
        let is_due = |s: &&Suspect| {
            let due = self.due(s).filter(|due| *due <= now && !s.is_known);
            due.is_some_and(|due| is_decided(s, due))
        };
        let due = suspects.iter().filter(is_due);
        due.min_by_key(|s| (!s.is_request(), Reverse(s.rank()), s.cause))
    }

    /// Quarantines a cause unless the table is full of quarantined causes.
    fn quarantine(
        &mut self,
        now: Time,
        cause: CrashCause,
        crashes: &[CrashKey],
    ) -> Option<QuarantineDecision> {
        let term = self
            .table
            .get(cause)
            .map_or(1, |e| e.term.saturating_add(1));
        let until = now + self.settings.duration(cause.kind, term);
        let entry = QuarantinedCause {
            cause,
            term,
            until,
            released: false,
        };
        let upstream = |key: &CrashKey| self.evidence.crash(*key).upstream.clone();
        self.table.insert(now, entry).then(|| QuarantineDecision {
            cause,
            term,
            until,
            crashes: crashes.len(),
            upstreams: crashes.iter().map(upstream).collect(),
        })
    }

    fn schedule(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects.iter().filter(|s| !s.is_known) {
            let Some(due) = self.due(suspect) else {
                continue;
            };
            let last = due + self.settings.patience;
            // Whoever is left after the patience found the table full.
            let retry = now + self.settings.settling;
            let next = [due, last, retry].into_iter().find(|at| *at > now);
            self.add_due(next.unwrap_or(retry));
        }
        let ends = self.table.iter().map(|e| e.until).filter(|end| now < *end);
        if let Some(end) = ends.min() {
            self.add_due(end);
        }
    }

    fn add_due(&mut self, due: Time) {
        self.due = Some(self.due.map_or(due, |d| d.min(due)));
    }

    fn list_suspects(&mut self, now: Time, suspects: &[Suspect]) {
        // A late success may still release a request.
        let may_be_released = |e: &&QuarantinedCause| {
            e.is_on_probation(now) || e.is_live(now) && e.cause.kind == CauseKind::Request
        };
        let listed = self.table.iter().filter(may_be_released);
        self.suspects = listed.map(|e| e.cause).collect();
        let mut ranked: Vec<_> = suspects.iter().filter(|s| !s.is_known).collect();
        ranked.sort_by_key(|s| (Reverse(s.rank()), s.cause));
        let room = MAX_SUSPECTS.saturating_sub(self.suspects.len());
        let chosen = ranked.into_iter().take(room).map(|s| s.cause);
        self.suspects.extend(chosen);
    }
}
