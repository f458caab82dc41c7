use crate::{
    Candidate, CheckpointLocation, ChooseUpstream, DispatchRequest,
    dispatch::upstream::{Upstream, average},
};
use sequoiawing_fleet::{UpstreamKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

new_key_type! {
    /// Identifies an upstream within one dispatcher.
    pub(crate) struct UpstreamKey;
}

/// The rank of a data centre for loading a model; the least is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CentreRank {
    /// Whether the model is already loaded somewhere and the data centre is not
    /// the local one.
    is_far: bool,
    /// Whether the base model of an adapter is not loaded there.
    lacks_base: bool,
    /// Whether the model is not being loaded there.
    is_not_loading: bool,
    checkpoint: CheckpointLocation,
    spread: u64,
}

/// Returns a hash that spreads models over data centres and is the same on all
/// routers.
fn spread(model: &Name, centre: &Name) -> u64 {
    let bytes = model.as_str().bytes().chain(centre.as_str().bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A request that an upstream runs for this router.
#[derive(Clone, Copy, Debug)]
struct Running {
    upstream: UpstreamKey,
    since: Time,
    tokens: u64,
}

/// The upstreams of one pool, indexed by the targets that they serve.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstreams {
    centre: Name,
    entries: SlotMap<UpstreamKey, Upstream>,
    names: BTreeMap<Name, UpstreamKey>,
    index: HashMap<Name, Vec<UpstreamKey>>,
    running: HashMap<u64, Running>,
    /// The mean time per token over all upstreams, in microseconds.
    token_time: f64,
    /// The mean duration of a request, in microseconds.
    request_time: f64,
}

impl Upstreams {
    pub(crate) fn new(centre: Name) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// Applies an announcement and returns the key of the upstream.
    pub(crate) fn announce(&mut self, state: Arc<UpstreamState>) -> UpstreamKey {
        let Some(key) = self.names.get(&state.name).copied() else {
            let name = state.name.clone();
            let upstream = Upstream::new(state);
            let targets: Vec<Name> = upstream.targets.iter().cloned().collect();
            let key = self.entries.insert(upstream);
            self.names.insert(name, key);
            self.index_targets(key, targets);
            return key;
        };
        let upstream = &mut self.entries[key];
        let before = std::mem::take(&mut upstream.targets);
        upstream.announce(state);
        let lost: Vec<Name> = before.difference(&upstream.targets).cloned().collect();
        let gained: Vec<Name> = upstream.targets.difference(&before).cloned().collect();
        self.drop_targets(key, &lost);
        self.index_targets(key, gained);
        key
    }

    /// Removes an upstream.
    pub(crate) fn remove(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        if let Some(upstream) = self.entries.remove(key) {
            let lost: Vec<Name> = upstream.targets.into_iter().collect();
            self.drop_targets(key, &lost);
        }
    }

    fn index_targets(&mut self, key: UpstreamKey, targets: Vec<Name>) {
        for target in targets {
            self.index.entry(target).or_default().push(key);
        }
    }

    fn drop_targets(&mut self, key: UpstreamKey, targets: &[Name]) {
        for target in targets {
            let Some(keys) = self.index.get_mut(target) else {
                continue;
            };
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.index.remove(target);
            }
        }
    }

    fn serving(&self, target: &Name) -> &[UpstreamKey] {
        self.index.get(target).map_or(&[], Vec::as_slice)
    }

    /// Returns whether an upstream that accepts new requests serves the target.
    pub(crate) fn has_target(&self, target: &Name) -> bool {
        let open = |k: &UpstreamKey| self.entries[*k].is_open();
        self.serving(target).iter().any(open)
    }

    pub(crate) fn has_kind(&self, kind: UpstreamKind) -> bool {
        self.entries
            .values()
            .any(|upstream| upstream.state.kind == kind)
    }

    /// Returns whether the upstream can take one more request.
    pub(crate) fn is_free(&self, key: UpstreamKey, now: Time) -> bool {
        self.entries
            .get(key)
            .is_some_and(|upstream| upstream.is_free(now))
    }

    /// Returns the keys of all upstreams.
    pub(crate) fn keys(&self) -> Vec<UpstreamKey> {
        self.entries.keys().collect()
    }

    /// Returns the targets that the upstream serves.
    pub(crate) fn targets(&self, key: UpstreamKey) -> &HashSet<Name> {
        &self.entries[key].targets
    }

    /// Returns whether the request may go to the upstream: either it has not
    /// failed there, or it has failed on every upstream that serves the target.
    pub(crate) fn suits(&self, key: UpstreamKey, request: &DispatchRequest) -> bool {
        let failed = |k: &UpstreamKey| request.avoid.contains(&self.entries[*k].state.name);
        if !failed(&key) {
            return true;
        }
        let others = self.serving(&request.target()).iter();
        !others
            .filter(|k| self.entries[**k].is_open())
            .any(|k| !failed(k))
    }

    /// Chooses an upstream that can take the request now.
    pub(crate) fn choose(
        &self,
        now: Time,
        request: &DispatchRequest,
        choice: &mut dyn ChooseUpstream,
    ) -> Option<UpstreamKey> {
        let serving = self.serving(&request.target()).iter().copied();
        let free = serving.filter(|k| self.entries[*k].is_free(now) && self.suits(*k, request));
        let free: Vec<UpstreamKey> = free.collect();
        if free.is_empty() {
            return None;
        }
        let candidate =
            |k: &UpstreamKey| self.entries[*k].candidate(request, &self.centre, self.token_time);
        let candidates: Vec<Candidate<'_>> = free.iter().map(candidate).collect();
        Some(free[choice.choose(request, &candidates)])
    }

    /// Records a request as running and returns the name of its upstream.
    pub(crate) fn assign(
        &mut self,
        now: Time,
        key: UpstreamKey,
        request: &DispatchRequest,
    ) -> Name {
        let upstream = &mut self.entries[key];
        upstream.assign(request);
        let running = Running {
            upstream: key,
            since: now,
            tokens: request.tokens,
        };
        self.running.insert(request.id, running);
        upstream.state.name.clone()
    }

    /// Records that a request ended. Returns its upstream if it is known.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: u64,
        healthy: bool,
        backoff: Duration,
    ) -> Option<UpstreamKey> {
        let running = self.running.remove(&id)?;
        let upstream = self.entries.get_mut(running.upstream)?;
        upstream.finish(now, healthy, backoff);
        if healthy {
            let duration = now.since(running.since);
            upstream.record_duration(duration, running.tokens);
            self.token_time = average(self.token_time, upstream.token_time);
            self.request_time = average(self.request_time, duration.as_secs_f64() * 1e6);
        }
        Some(running.upstream)
    }

    /// Returns the data centres whose leaders are asked to load a model, in
    /// order.
    ///
    /// All routers use the same order, so that the first requests in several
    /// data centres lead to a single load: where the model is or is being
    /// loaded, or else where its checkpoint is nearest. Adapters go where their
    /// model is loaded. A loaded model is requested only when its replicas are
    /// too busy, and then from the local data centre first.
    pub(crate) fn best_centres(&self, model: &Name, is_adapter: bool) -> Vec<Name> {
        let is_loaded = !self.serving(model).is_empty();
        let mut best: BTreeMap<&Name, CentreRank> = BTreeMap::new();
        let open = self.entries.values().filter(|u| u.is_open());
        for upstream in open.filter(|u| u.state.kind == UpstreamKind::Runner) {
            let state = &upstream.state;
            let is_home = state.centre == self.centre;
            let rank = CentreRank {
                is_far: is_loaded && !is_home && (!is_adapter || !state.has_model(model)),
                lacks_base: is_adapter && !state.has_model(model),
                is_not_loading: !state.is_loading(model),
                checkpoint: CheckpointLocation::of(state, model),
                spread: spread(model, &state.centre),
            };
            let known = best.entry(&state.centre).or_insert(rank);
            *known = (*known).min(rank);
        }
        let mut ranked: Vec<(CentreRank, &Name)> = best
            .into_iter()
            .map(|(centre, rank)| (rank, centre))
            .collect();
        ranked.sort();
        ranked
            .into_iter()
            .map(|(_, centre)| centre.clone())
            .collect()
    }

    /// Returns the number of data centres that have open upstreams.
    pub(crate) fn centres(&self) -> usize {
        let open = self.entries.values().filter(|u| u.is_open());
        let centres: BTreeSet<&Name> = open.map(|u| &u.state.centre).collect();
        centres.len()
    }

    /// Returns the tokens per second of one running request, or 0 if unknown.
    pub(crate) fn token_rate(&self) -> u32 {
        if self.token_time <= 0.0 {
            return 0;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped"
        )]
        let rate = (1e6 / self.token_time).clamp(1.0, 1e6) as u32;
        rate
    }

    /// Estimates the time until `ahead` requests for the target have finished,
    /// from the durations of this router's own requests.
    pub(crate) fn estimate_wait(&self, target: &Name, ahead: usize) -> Duration {
        let serving = self.serving(target).iter();
        let own: u32 = serving.map(|k| self.entries[*k].assigned).sum();
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let rounds = ahead as f64 / f64::from(own.max(1));
        Duration::from_secs_f64(rounds * self.request_time / 1e6)
    }
}
