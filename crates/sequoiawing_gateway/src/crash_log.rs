#[cfg(test)]
mod tests;

use sequoiawing_link::{CrashReport, CrashedCause};
use sequoiawing_policy::serving::QuarantineSettings;
use sequoiawing_types::{CauseKind, CrashCause, Name, Time};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// How long a crash is reported, so that hubs that start meanwhile learn of it.
const RETENTION: Duration = Duration::from_secs(30);

/// The number of crashes in a report, which bounds its size.
const MAX_CRASHES: usize = 8;

/// The number of possible causes of one crash in a report.
const MAX_CAUSES: usize = 48;

/// The number of attempts of callers for one request and crash in a report; hubs need
/// no more to hold the request back.
const MAX_ATTEMPTS: usize = 4;

/// One incarnation of an upstream: its name and epoch.
pub(crate) type Incarnation = (Name, u64);

/// An answer that broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAnswer<'a> {
    /// When the request was sent.
    pub(crate) sent: Time,
    /// Identifies the attempt of the caller.
    pub(crate) attempt: u64,
    /// When the answer began, if it did.
    pub(crate) begun: Option<Time>,
    /// The request itself, which may come again.
    pub(crate) request: CrashCause,
    /// The parts of the prompt that other requests share.
    pub(crate) parts: &'a [CrashCause],
}

/// Answers that broke off at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAnswers {
    /// When the first of them broke off.
    pub(crate) broken: Time,
    pub(crate) count: usize,
    /// The last requests with each possible cause, by attempt of their callers.
    pub(crate) causes: BTreeMap<CrashCause, BTreeMap<u64, Time>>,
}

#[derive(Debug)]
struct Crash {
    number: u64,
    incarnation: Incarnation,
    answers: BrokenAnswers,
}

/// The recent crashes of upstreams, as evidence for hubs.
#[derive(Debug)]
pub(crate) struct CrashLog {
    /// The longest time between the beginning of an answer and its break that
    /// makes it evidence.
    onset: Duration,
    /// The answers of upstreams that are being checked.
    pending: HashMap<Incarnation, BrokenAnswers>,
    crashes: VecDeque<Crash>,
    last_number: u64,
}

impl CrashLog {
    pub(crate) fn new(settings: &QuarantineSettings) -> Self {
        Self {
            onset: settings.onset,
            pending: HashMap::new(),
            crashes: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Adds an answer that broke off; returns whether it is the first at that
    /// upstream since its last check. One that began long before, or had not begun, is
    /// no evidence against the parts of its prompt.
    pub(crate) fn add(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        answer: BrokenAnswer<'_>,
    ) -> bool {
        let is_first = !self.pending.contains_key(incarnation);
        let answers = self.pending.entry(incarnation.clone());
        let answers = answers.or_insert_with(|| BrokenAnswers {
            broken: now,
            count: 0,
            causes: BTreeMap::new(),
        });
        answers.count += 1;
        let has_just_begun = |begun| now.since(begun) <= self.onset;
        let parts = if answer.begun.is_some_and(has_just_begun) {
            answer.parts
        } else {
            &[]
        };
        for cause in [answer.request].iter().chain(parts) {
            let attempts = answers.causes.entry(*cause).or_default();
            let last = attempts.entry(answer.attempt).or_insert(answer.sent);
            *last = answer.sent.max(*last);
            let limit = match cause.kind {
                CauseKind::PromptPart => 1,
                CauseKind::Request => MAX_ATTEMPTS,
            };
            while attempts.len() > limit {
                let first = attempts.iter().map(|(attempt, sent)| (*sent, *attempt));
                let (_, attempt) = first.min().unwrap_or_default();
                attempts.remove(&attempt);
            }
        }
        is_first
    }

    /// Removes and returns the answers of an upstream that has been checked.
    pub(crate) fn take(&mut self, incarnation: &Incarnation) -> Option<BrokenAnswers> {
        self.pending.remove(incarnation)
    }

    /// Adds the crash of an upstream.
    pub(crate) fn record(&mut self, incarnation: Incarnation, answers: BrokenAnswers) {
        let mut answers = answers;
        if answers.causes.len() > MAX_CAUSES {
            let mut causes: Vec<_> = answers.causes.into_iter().collect();
            causes.sort_by_key(|(_, attempts)| Reverse(attempts.values().copied().max()));
            answers.causes = causes.into_iter().take(MAX_CAUSES).collect();
        }
        if answers.causes.is_empty() {
            return;
        }
        self.last_number += 1;
        self.crashes.push_back(Crash {
            number: self.last_number,
            incarnation,
            answers,
        });
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Returns the recent crashes for a report.
    pub(crate) fn reports(&mut self, now: Time) -> Vec<CrashReport> {
        self.crashes
            .retain(|c| now.since(c.answers.broken) <= RETENTION);
        let crashes = self.crashes.iter().map(|c| CrashReport {
            number: c.number,
            upstream: c.incarnation.0.clone(),
            epoch: c.incarnation.1,
            age: age_millis(now, c.answers.broken),
            causes: c
                .answers
                .causes
                .iter()
                .flat_map(|(cause, attempts)| attempts.iter().map(move |sent| (cause, sent)))
                .map(|(cause, (attempt, sent))| CrashedCause {
                    id: cause.id,
                    kind: cause.kind,
                    attempt: *attempt,
                    sent_age: age_millis(now, *sent),
                })
                .collect(),
        });
        crashes.collect()
    }
}

pub(crate) fn age_millis(now: Time, at: Time) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
