use crate::{Candidate, Work, dispatch::prefixes::Prefixes};
use sequoiawing_fleet::{UpstreamKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{collections::HashSet, sync::Arc, time::Duration};

/// The longest pause after repeated failures of an upstream, as a power of two
/// of the first.
const MAX_BACKOFF_POWER: u32 = 6;

/// The weight of the newest observation in moving averages.
const NEWEST: f64 = 0.2;

/// One upstream as a dispatcher sees it.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    pub(crate) state: Arc<UpstreamState>,
    /// What it can serve: models, adapters, and the empty name for any work
    /// without a model.
    pub(crate) targets: HashSet<Name>,
    pub(crate) assigned: u32,
    reported: u32,
    failures: u32,
    resting: Time,
    is_probed: bool,
    prefixes: Prefixes,
    /// The mean time for a token, in microseconds; zero when unknown.
    pub(crate) pace: f64,
}

impl Seat {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        let mut seat = Self {
            state: Arc::default(),
            targets: HashSet::new(),
            assigned: 0,
            reported: 0,
            failures: 0,
            resting: Time::ZERO,
            is_probed: false,
            prefixes: Prefixes::default(),
            pace: 0.0,
        };
        seat.announce(state);
        seat
    }

    /// Takes in a newer announcement.
    pub(crate) fn announce(&mut self, state: Arc<UpstreamState>) {
        if self.state.epoch != state.epoch {
            self.failures = 0;
            self.is_probed = false;
            self.resting = Time::ZERO;
            self.prefixes = Prefixes::default();
            self.pace = 0.0;
        }
        for prefix in &state.stored {
            self.prefixes.add(*prefix);
        }
        self.reported = self.assigned;
        self.targets = targets(&state);
        self.state = state;
    }

    /// Estimates the running requests: what the upstream reported, and what
    /// this router has sent or seen end since.
    pub(crate) fn load(&self) -> u32 {
        let started = self.assigned.saturating_sub(self.reported);
        let ended = self.reported.saturating_sub(self.assigned);
        let running = self.state.running + started;
        running.saturating_sub(ended).max(self.assigned)
    }

    /// Reports whether another request may be sent.
    ///
    /// After a failure the upstream rests, and then gets one request at a time
    /// until one succeeded.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        let probing = self.failures > 0 && self.is_probed;
        let fits = self.load() < self.state.slots;
        fits && !self.state.leaving && self.resting <= now && !probing
    }

    /// Reports whether it takes new work at all.
    pub(crate) fn is_open(&self) -> bool {
        !self.state.leaving && self.state.slots > 0
    }

    pub(crate) fn assign(&mut self, work: &Work) {
        self.assigned += 1;
        self.is_probed = self.failures > 0;
        self.prefixes.add(work.prefix);
    }

    pub(crate) fn finish(&mut self, now: Time, healthy: bool, backoff: Duration) {
        self.assigned = self.assigned.saturating_sub(1);
        self.is_probed = false;
        if healthy {
            self.failures = 0;
            return;
        }
        let power = self.failures.min(MAX_BACKOFF_POWER);
        self.failures += 1;
        self.resting = now + backoff * 2_u32.pow(power);
    }

    /// Learns how long a request with so many tokens took.
    pub(crate) fn learn(&mut self, took: Duration, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a mean needs no exact count")]
        let pace = took.as_secs_f64() * 1e6 / tokens.max(1) as f64;
        self.pace = average(self.pace, pace);
    }

    pub(crate) fn candidate(&self, work: &Work, centre: &Name, mean: f64) -> Candidate<'_> {
        let known = self.pace > 0.0 && mean > 0.0;
        let ratio = if known { self.pace / mean } else { 1.0 };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped"
        )]
        let slowness = (ratio * 100.0).clamp(50.0, 1_000.0) as u32;
        Candidate {
            state: &self.state,
            load: self.load(),
            failures: self.failures,
            remote: self.state.centre != *centre,
            cached: self.prefixes.contains(work.prefix),
            slowness,
        }
    }
}

/// Returns the moving average after one more observation.
pub(crate) fn average(mean: f64, newest: f64) -> f64 {
    if mean > 0.0 {
        mean + NEWEST * (newest - mean)
    } else {
        newest
    }
}

fn targets(state: &UpstreamState) -> HashSet<Name> {
    let is_based = |adapter: &&Name| {
        let base = adapter.as_str().split(':').next().unwrap_or_default();
        state.loaded.iter().any(|m| m.as_str() == base)
    };
    let adapters = state.adapters.iter().filter(is_based);
    let loaded = state.loaded.iter().chain(adapters).cloned();
    let mut targets: HashSet<Name> = loaded.collect();
    if state.kind == UpstreamKind::Service {
        targets.insert(Name::default());
    }
    targets
}
