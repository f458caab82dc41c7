use crate::{Candidate, DispatchRequest, dispatch::prefixes::Prefixes};
use sequoiawing_fleet::{UpstreamKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{collections::HashSet, sync::Arc, time::Duration};

/// The longest backoff after repeated failures of an upstream, as a power of
/// two times the first.
const MAX_BACKOFF_POWER: u32 = 6;

/// The weight of the latest observation in moving averages.
const LATEST_WEIGHT: f64 = 0.2;

/// The state that a dispatcher keeps for one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) state: Arc<UpstreamState>,
    /// The targets that the upstream can serve: models, adapters, and the empty
    /// name for requests without a model.
    pub(crate) targets: HashSet<Name>,
    pub(crate) assigned: u32,
    reported: u32,
    failures: u32,
    backoff_until: Time,
    is_probing: bool,
    prefixes: Prefixes,
    /// The mean time per token in microseconds, or 0 if unknown.
    pub(crate) token_time: f64,
}

impl Upstream {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        let mut upstream = Self {
            state: Arc::default(),
            targets: HashSet::new(),
            assigned: 0,
            reported: 0,
            failures: 0,
            backoff_until: Time::ZERO,
            is_probing: false,
            prefixes: Prefixes::default(),
            token_time: 0.0,
        };
        upstream.announce(state);
        upstream
    }

    /// Applies a newer announcement.
    pub(crate) fn announce(&mut self, state: Arc<UpstreamState>) {
        if self.state.epoch != state.epoch {
            self.failures = 0;
            self.is_probing = false;
            self.backoff_until = Time::ZERO;
            self.prefixes = Prefixes::default();
            self.token_time = 0.0;
        }
        for prefix in &state.stored {
            self.prefixes.add(*prefix);
        }
        self.reported = self.assigned;
        self.targets = targets(&state);
        self.state = state;
    }

    /// Estimates the number of running requests from the last announcement and
    /// the requests that this router has started or finished since.
    pub(crate) fn load(&self) -> u32 {
        let started = self.assigned.saturating_sub(self.reported);
        let ended = self.reported.saturating_sub(self.assigned);
        let running = self.state.running + started;
        running.saturating_sub(ended).max(self.assigned)
    }

    /// Returns whether another request may be sent.
    ///
    /// After a failure the upstream gets no requests during the backoff, and
    /// then one at a time until one succeeds.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        let awaits_probe = self.failures > 0 && self.is_probing;
        let has_slot = self.load() < self.state.slots;
        has_slot && !self.state.leaving && self.backoff_until <= now && !awaits_probe
    }

    /// Returns whether the upstream accepts new requests at all.
    pub(crate) fn is_open(&self) -> bool {
        !self.state.leaving && self.state.slots > 0
    }

    pub(crate) fn assign(&mut self, request: &DispatchRequest) {
        self.assigned += 1;
        self.is_probing = self.failures > 0;
        self.prefixes.add(request.prefix);
    }

    pub(crate) fn finish(&mut self, now: Time, healthy: bool, backoff: Duration) {
        self.assigned = self.assigned.saturating_sub(1);
        self.is_probing = false;
        if healthy {
            self.failures = 0;
            return;
        }
        let power = self.failures.min(MAX_BACKOFF_POWER);
        self.failures += 1;
        self.backoff_until = now + backoff * 2_u32.pow(power);
    }

    /// Records the duration of a request with this number of tokens.
    pub(crate) fn record_duration(&mut self, duration: Duration, tokens: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a mean needs no exact count")]
        let token_time = duration.as_secs_f64() * 1e6 / tokens.max(1) as f64;
        self.token_time = average(self.token_time, token_time);
    }

    pub(crate) fn candidate(
        &self,
        request: &DispatchRequest,
        centre: &Name,
        mean: f64,
    ) -> Candidate<'_> {
        let is_known = self.token_time > 0.0 && mean > 0.0;
        let ratio = if is_known {
            self.token_time / mean
        } else {
            1.0
        };
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
            is_remote: self.state.centre != *centre,
            is_cached: self.prefixes.contains(request.prefix),
            slowness,
        }
    }
}

/// Returns the moving average after one more observation.
pub(crate) fn average(mean: f64, latest: f64) -> f64 {
    if mean > 0.0 {
        mean + LATEST_WEIGHT * (latest - mean)
    } else {
        latest
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
