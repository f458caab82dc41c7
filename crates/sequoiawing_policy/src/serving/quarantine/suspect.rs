use super::{QuarantineSettings, evidence::CrashKey};
use sequoiawing_types::{CauseKind, CrashCause};
use std::collections::BTreeSet;

/// The attempts of callers by which a request counts as one that comes again.
const MIN_ATTEMPTS: usize = 2;

/// The number of crashes after which requests that no crash tells apart are held back
/// together.
const MAX_TIED_CRASHES: usize = 4;

/// A possible cause, with its crashes since the last completed answer to a request
/// with it.
pub(super) struct Suspect {
    pub(super) cause: CrashCause,
    pub(super) crashes: Vec<CrashKey>,
    /// Those of the crashes that count: all for a request; for a prompt part those that
    /// follow each other, each request having been sent after the previous one.
    pub(super) chain: Vec<CrashKey>,
    /// The attempts of callers that broke off in these crashes.
    pub(super) attempts: BTreeSet<u64>,
    /// The number of crashes that suffice to hold a request back.
    sufficient: Option<usize>,
    pub(super) has_succeeded: bool,
    /// Whether it is quarantined or on probation.
    pub(super) is_known: bool,
    /// How long the chain of a prompt part must be for a quarantine.
    pub(super) needed: usize,
}

impl Suspect {
    pub(super) fn new(
        settings: &QuarantineSettings,
        cause: CrashCause,
        has_succeeded: bool,
    ) -> Self {
        Self {
            cause,
            crashes: Vec::new(),
            chain: Vec::new(),
            attempts: BTreeSet::new(),
            sufficient: None,
            has_succeeded,
            is_known: false,
            needed: settings.crashes,
        }
    }

    pub(super) fn is_request(&self) -> bool {
        self.cause.kind == CauseKind::Request
    }

    /// Returns how well the cause explains its crashes.
    pub(super) fn rank(&self) -> (usize, usize, bool) {
        let (crashes, attempts) = (self.crashes.len(), self.attempts.len());
        (crashes, attempts, !self.has_succeeded)
    }

    /// Notes whether the crashes so far suffice to hold a request back.
    ///
    /// The retries of one attempt may take a sound request from one crash to the next,
    /// but its caller does not send it time and again. One that was answered before
    /// needs a further crash.
    pub(super) fn note_evidence(&mut self, settings: &QuarantineSettings) {
        let doubts = usize::from(self.has_succeeded);
        let attempts = self.attempts.len();
        let is_sufficient = attempts >= settings.request_attempts + doubts
            || attempts >= MIN_ATTEMPTS && self.crashes.len() >= settings.request_crashes + doubts;
        if is_sufficient && self.sufficient.is_none() {
            self.sufficient = Some(self.crashes.len());
        }
    }

    /// Returns the crash that completes the evidence.
    pub(super) fn last_needed(&self) -> Option<CrashKey> {
        let count = if self.is_request() {
            self.sufficient?
        } else {
            self.needed
        };
        self.chain.get(count.checked_sub(1)?).copied()
    }

    /// Returns whether the next crash should tell this cause from another one of its
    /// kind before that is quarantined: always if this one explains its crashes and
    /// more, and for a while if this one explains as many.
    pub(super) fn defers(&self, other: &Self, is_patient: bool) -> bool {
        let is_other = self.cause != other.cause && self.cause.kind == other.cause.kind;
        if !is_other || self.rank() < other.rank() {
            return false;
        }
        let takes_part = |key: &CrashKey| self.crashes.contains(key);
        if self.is_request() {
            let is_undecided = self.rank() > other.rank() || other.crashes.len() < MAX_TIED_CRASHES;
            return is_undecided && other.crashes.iter().all(takes_part);
        }
        let explains = self.rank() > other.rank() && other.chain.iter().all(takes_part);
        explains || is_patient && other.crashes.iter().any(takes_part)
    }

    /// Returns whether the crashes of a part may be those of requests that come again,
    /// which should be quarantined rather than the part that others share.
    pub(super) fn may_be_requests(&self, suspects: &[Self]) -> bool {
        let is_repeated = |s: &&Self| s.attempts.len() >= MIN_ATTEMPTS;
        let repeated: Vec<&Self> = suspects.iter().filter(is_repeated).collect();
        let takes_part = |key| repeated.iter().any(|s| s.crashes.contains(key));
        !self.is_request() && self.chain.iter().all(takes_part)
    }

    /// Returns whether no crash tells this cause from another one, which is to be
    /// quarantined. A request is judged by itself.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let are_parts = !self.is_request() && !other.is_request();
        self.cause == other.cause
            || are_parts
                && self.crashes == other.crashes
                && self.has_succeeded == other.has_succeeded
    }
}
