use super::{
    CentreState, ColdCounts, EvacuationWatch, HostLimitReport, PrefixAffinity, PromptPart,
    ReportedLoad, SoftwareVersion, ToldLimit, requested_backoffs::RequestedBackoffs,
    upstream::Upstream,
};
use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_types::{Name, RequestRate, Time};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

new_key_type! {
    /// Identifies an upstream within one [`Balancer`].
    pub struct UpstreamKey;
}

/// The cost of one more open request at an upstream, in prompt tokens: it
/// delays a request as much as prefilling this many tokens does.
const LOAD_TOKENS: f64 = 60.0;

/// The cost of a cold upstream, in prompt tokens: a warm one with four more open requests
/// answers no later.
const COLD_TOKENS: f64 = 240.0;

/// The cost of an upstream in another data centre, in prompt tokens: connecting,
/// sending and answering there takes some milliseconds more.
const REMOTE_TOKENS: f64 = 150.0;

/// The cost of an upstream that fails all requests, in prompt tokens: sending a
/// request to it is as bad as prefilling this many tokens elsewhere.
const FAILURE_TOKENS: f64 = 20_000.0;

/// The number of requests that may queue at an upstream, per slot.
const QUEUE_PER_SLOT: f64 = 0.5;

/// The most brittle upstreams that are asked for a place at a time.
const MAX_PLACE_CANDIDATES: usize = 8;

/// The delay before the next attempt when all upstreams are full.
const FULL_RETRY: Duration = Duration::from_millis(100);

/// A request to be assigned to an upstream.
#[derive(Clone, Debug, Default)]
pub struct BalancerRequest {
    /// The pool.
    pub pool: Name,
    /// The model, or `None` for plain services.
    pub model: Option<Name>,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The parts of the prompt.
    pub parts: Arc<[PromptPart]>,
    /// A random number, which spreads requests without shared parts.
    pub seed: u64,
    /// The upstreams that the request was already sent to.
    pub tried: Vec<Name>,
    /// The software version that may serve it; `None` if any may.
    pub software: Option<SoftwareVersion>,
    /// The brittle upstreams that had no place for it just now.
    pub crowded: Vec<Name>,
    /// Whether it was refused before and waits. It then counts as no new demand.
    pub is_waiting: bool,
}

impl BalancerRequest {
    /// Returns a number from 0 to 1 that is always the same for an upstream.
    pub(super) fn draw(&self, upstream: &Name) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, upstream).hash(&mut hasher);
        let bits = u32::try_from(hasher.finish() >> 32).unwrap_or_default();
        f64::from(bits) / f64::from(u32::MAX)
    }
}

/// A brittle upstream that could serve a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceCandidate {
    /// The name of the upstream.
    pub name: Name,
    /// Its epoch.
    pub epoch: u64,
    /// The number of requests that it can run concurrently, or 0 if it is unknown.
    pub slots: u32,
    /// The rejections per second above which it falls over.
    pub tolerance: RequestRate,
}

/// The upstream that a request was assigned to.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The key for [`Balancer::end`].
    pub key: UpstreamKey,
    /// The name of the upstream.
    pub name: Name,
    /// The address to which the request is sent.
    pub address: SocketAddr,
    /// The epoch of the upstream.
    pub epoch: u64,
    /// The data centre of the upstream.
    pub centre: Name,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// The estimated number of requests at the upstream before this one.
    pub load: u32,
    /// The time since the upstream reported its load to this host; `None` if the estimate
    /// consists of this host's own requests.
    pub load_age: Option<Duration>,
    /// The estimated number of prompt tokens that are not cached at the
    /// upstream.
    pub uncached: u64,
}

/// The result of [`Balancer::pick`].
#[derive(Clone, Debug)]
pub enum PickResult {
    /// The request was assigned to this upstream.
    Assigned(Assignment),
    /// The best upstreams are brittle and accept requests only with a place; holds them
    /// with the best first. See [`Balancer::assign_place`].
    NeedsPlace(Vec<PlaceCandidate>),
    /// All suitable upstreams are full or refused a request just now because
    /// they were full; holds the delay before the next attempt.
    Full(Duration),
    /// All suitable upstreams that are not full have named limits that are used up;
    /// holds the time until one can be expected to accept the request.
    Limited(Duration),
    /// All upstreams that could serve the request want no requests from this host; holds
    /// the time until it may be sent to the first of them.
    BackingOff(Duration),
    /// No reachable upstream has loaded the model or adapter.
    NotLoaded,
    /// All upstreams that could serve the request, or load what it needs, are evacuated.
    Evacuated,
    /// The pool has no known upstream, or none of the software version that the request
    /// needs.
    NoUpstream,
}

/// The outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The response was complete.
    Succeeded,
    /// The upstream answered with an error.
    Failed,
    /// The upstream could not be reached or sent no response.
    Unreachable,
    /// The upstream closed the connection early or sent an invalid response.
    Aborted,
    /// The upstream rejected the request because it is full.
    Full,
    /// The upstream rejected the request because the model is not loaded.
    ModelMissing,
    /// The caller disconnected, or the request timed out.
    Cancelled,
}

/// Assigns the requests of one host to upstreams.
#[derive(Debug, Default)]
pub struct Balancer {
    /// The data centre of this host.
    centre: Name,
    pub(super) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(super) names: HashMap<Name, UpstreamKey>,
    pub(super) pools: HashMap<Name, Vec<UpstreamKey>>,
    /// The prefix cache capacity of the engines of each pool, in tokens.
    cache_tokens: HashMap<Name, u64>,
    /// The models and adapters that each upstream is loading, with their
    /// expected completion times.
    expected: HashMap<Name, Vec<(Name, Time)>>,
    /// Pairs of an upstream and a model that it was ordered to unload.
    evicted: HashSet<(Name, Name)>,
    /// The number of hosts that send requests.
    pub(super) hosts: u32,
    backoffs: RequestedBackoffs,
    /// The upstreams that said in an answer that they leave, with their epochs. They are
    /// kept beyond their entries, which may flap.
    departures: HashMap<Name, u64>,
    pub(super) evacuations: EvacuationWatch,
    /// The data centres that were taken back, with the time at which this host learned of
    /// it. Their upstreams may be cold.
    pub(super) recently_reopened: HashMap<Name, Time>,
    /// The requests per second that a cold upstream of each pool takes.
    pub(super) cold_rates: HashMap<Name, RequestRate>,
    pub(super) cold_counts: ColdCounts,
    /// The least tolerance that removed upstreams of a pool named.
    pub(super) former_tolerances: HashMap<Name, RequestRate>,
}

impl Balancer {
    /// Creates a balancer without upstreams for a host in the data centre `centre`.
    pub fn new(centre: Name) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// Sets the prefix cache capacity of the engines of a pool, in tokens.
    pub fn set_cache_tokens(&mut self, pool: &Name, tokens: u64) {
        self.cache_tokens.insert(pool.clone(), tokens);
        for key in self.pools.get(pool).into_iter().flatten() {
            self.upstreams[*key].prefixes.set_limit(tokens);
        }
    }

    /// Applies an entry of a roster.
    pub fn update(&mut self, listed: &RosterEntry) {
        let state = &listed.state;
        let known = self.names.get(&state.name).copied();
        if listed.gone {
            if let Some(key) = known {
                self.remove(key);
            }
            return;
        }
        if let Some(key) = known {
            let upstream = &mut self.upstreams[key];
            let is_same_epoch = upstream.state.epoch == state.epoch;
            if is_same_epoch && upstream.state.pool == state.pool {
                upstream.state = state.clone();
                return;
            }
            self.remove(key);
        }
        let cache_tokens = self
            .cache_tokens
            .get(&state.pool)
            .copied()
            .unwrap_or_default();
        let key = self
            .upstreams
            .insert(Upstream::new(state.clone(), cache_tokens));
        self.names.insert(state.name.clone(), key);
        self.pools.entry(state.pool.clone()).or_default().push(key);
    }

    fn remove(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        self.names.remove(&upstream.state.name);
        self.remember_tolerance(&upstream);
        if let Some(keys) = self.pools.get_mut(&upstream.state.pool) {
            keys.retain(|k| *k != key);
        }
    }

    /// Sets the number of hosts that send requests, as a hub counts them.
    ///
    /// A hub that is out of touch with the issuer of tokens may not see the other
    /// hosts, so that its number replaces only a lower one.
    pub fn set_hosts(&mut self, hosts: u32, has_issuer: bool) {
        self.hosts = if has_issuer {
            hosts
        } else {
            hosts.max(self.hosts)
        };
    }

    /// Sets the upstreams whose announcements have stopped.
    pub fn set_silent(&mut self, silent: &HashSet<Name>) {
        for upstream in self.upstreams.values_mut() {
            upstream.is_silent = silent.contains(&upstream.state.name);
        }
    }

    /// Sets which upstreams are loading which models and adapters, and when
    /// each load is expected to finish. Upstreams announce loaded models only
    /// later.
    pub fn set_expected<I>(&mut self, loads: I)
    where
        I: IntoIterator<Item = (Name, Name, Time)>,
    {
        self.expected.clear();
        self.add_expected(loads);
    }

    /// Adds to the loads that upstreams are expected to finish.
    pub fn add_expected<I>(&mut self, loads: I)
    where
        I: IntoIterator<Item = (Name, Name, Time)>,
    {
        for (upstream, model, ready) in loads {
            let expected = self.expected.entry(upstream).or_default();
            expected.push((model, ready));
        }
    }

    /// Sets which upstreams were ordered to unload which models and adapters.
    pub fn set_evicted<I>(&mut self, evicted: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.evicted = evicted.into_iter().collect();
    }

    /// Returns whether an upstream has loaded what a request needs.
    fn can_serve(&self, now: Time, state: &UpstreamState, request: &BalancerRequest) -> bool {
        let expected = self.expected.get(&state.name);
        let is_expected = |name: &Name| {
            let mut loads = expected.into_iter().flatten();
            loads.any(|(loaded, ready)| loaded == name && now >= *ready)
        };
        let is_evicted = |name: &Name| {
            let key = || (state.name.clone(), name.clone());
            !self.evicted.is_empty() && self.evicted.contains(&key())
        };
        let has_model =
            |model: &Name| (state.has_model(model) || is_expected(model)) && !is_evicted(model);
        let has_adapter = |adapter: &Name| {
            (state.has_adapter(adapter) || is_expected(adapter)) && !is_evicted(adapter)
        };
        request.model.as_ref().is_none_or(has_model)
            && request.adapter.as_ref().is_none_or(has_adapter)
    }

    /// Returns when the next load is expected to finish that a request waits for, or
    /// `None` if no load of its model or adapter is in progress.
    pub fn next_expected(&self, now: Time, request: &BalancerRequest) -> Option<Time> {
        let needed = [request.model.as_ref(), request.adapter.as_ref()];
        let pool = self.pools.get(&request.pool)?.iter();
        let pool = pool.filter(|key| {
            let needed = request.software.as_ref();
            needed.is_none_or(|software| software.is_of(&self.upstreams[**key].state))
        });
        let states = pool.map(|key| &self.upstreams[*key].state);
        let states = states.filter(|state| !self.is_closed(now, &state.centre));
        let loads = states.filter_map(|state| self.expected.get(&state.name));
        let due = loads.flatten().filter(|(name, ready)| {
            *ready > now && needed.iter().flatten().any(|needed| *needed == name)
        });
        due.map(|(_, ready)| *ready).min()
    }

    /// Returns whether a pool has an upstream that is not certain to have a software
    /// version.
    pub fn has_other_software(&self, pool: &Name, software: &SoftwareVersion) -> bool {
        let keys = self.pools.get(pool).into_iter().flatten();
        let mut states = keys.map(|key| &self.upstreams[*key].state);
        states.any(|state| !software.is_of(state))
    }

    /// Returns the upstreams of other data centres, with their addresses.
    pub fn remote_upstreams(&self, centre: &Name) -> Vec<(Name, SocketAddr)> {
        let states = self.upstreams.values().map(|upstream| &upstream.state);
        let remote = states.filter(|state| state.centre != *centre && !state.leaving);
        let addresses = remote.filter_map(|state| Some((state.name.clone(), state.address?)));
        addresses.collect()
    }

    /// Returns the upstreams that could not be reached lately.
    pub fn unreachable(&self, now: Time) -> Vec<Name> {
        let failed = self.upstreams.values().filter(|u| u.was_unreachable(now));
        failed.map(|u| u.state.name.clone()).collect()
    }

    /// Returns the upstreams that answered lately.
    pub fn reached(&self, now: Time) -> Vec<Name> {
        let reached = self.upstreams.values().filter(|u| u.is_reached(now));
        reached.map(|u| u.state.name.clone()).collect()
    }

    /// Returns the upstream of that name.
    pub fn state(&self, name: &Name) -> Option<&Arc<UpstreamState>> {
        let key = self.names.get(name)?;
        Some(&self.upstreams[*key].state)
    }

    /// Assigns a request to the upstream with the least cost and counts it
    /// there until [`Balancer::end`].
    pub fn pick(&mut self, now: Time, request: &BalancerRequest) -> PickResult {
        let keys = self.pools.get(&request.pool).map_or(&[][..], Vec::as_slice);
        let mut has_upstream = false;
        let mut has_candidate = false;
        let mut candidates = Vec::new();
        let mut first_due: Option<Time> = None;
        let all_silent = self.are_all_silent(now, keys);
        let mut is_evacuated = false;
        let is_usable = |u: &Upstream| !self.is_leaving(&u.state) && (!u.is_silent || all_silent);
        let upstreams = keys.iter().map(|key| &self.upstreams[*key]);
        let uses_avoided = self.may_use_avoided(now, upstreams, |upstream| {
            let state = &upstream.state;
            let needed = request.software.as_ref();
            let is_of_version = needed.is_none_or(|software| software.is_of(state));
            is_usable(upstream) && is_of_version && self.can_serve(now, state, request)
        });
        for key in keys {
            let upstream = &self.upstreams[*key];
            let state = &upstream.state;
            if !is_usable(upstream) {
                continue;
            }
            let needed = request.software.as_ref();
            if needed.is_some_and(|software| !software.is_of(state)) {
                continue;
            }
            match self.centre_state(now, &state.centre) {
                CentreState::Open => has_upstream = true,
                CentreState::Avoided if uses_avoided => is_evacuated = true,
                CentreState::Avoided | CentreState::Closed => {
                    is_evacuated = true;
                    continue;
                }
            }
            if !self.can_serve(now, state, request) {
                continue;
            }
            if let Some(due) = self.due(now, request, &state.name) {
                first_due = Some(first_due.map_or(due, |first| first.min(due)));
                continue;
            }
            if request.tried.contains(&state.name) {
                continue;
            }
            if upstream.is_backing_off(now) {
                continue;
            }
            has_candidate = true;
            // Of a brittle upstream, the keeper of places knows whether it is full.
            let is_brittle = upstream.tolerance.rate().is_some();
            let is_crowded =
                request.crowded.contains(&state.name) || (!is_brittle && is_full(now, upstream));
            if now >= upstream.retry_at && !is_crowded {
                candidates.push(*key);
            }
        }
        let mut ranked = self.rank(now, request, &candidates);
        ranked.sort_by(|(cost, _), (other, _)| cost.total_cmp(other));
        let pool_tolerance = self.pool_tolerance(&request.pool);
        let mut limited = None;
        let mut brittle = Vec::new();
        let mut best = None;
        for (_, key) in ranked {
            let upstream = &mut self.upstreams[key];
            let draw = request.draw(&upstream.state.name);
            if !upstream.limit.permits(now, self.hosts, draw) {
                limited = limited.or(Some(key));
                continue;
            }
            let Some(tolerance) = upstream.tolerance(pool_tolerance) else {
                best = Some(key);
                break;
            };
            brittle.push(PlaceCandidate {
                name: upstream.state.name.clone(),
                epoch: upstream.state.epoch,
                slots: upstream.state.slots,
                tolerance,
            });
        }
        // A request that goes elsewhere for want of a token is demand for one.
        let retry = limited.map(|key| self.upstreams[key].limit.refuse(now, !request.is_waiting));
        if limited.is_some_and(|key| self.is_cold_key(now, key)) && !request.is_waiting {
            self.cold_counts.avoided += 1;
        }
        if !brittle.is_empty() {
            brittle.truncate(MAX_PLACE_CANDIDATES);
            return PickResult::NeedsPlace(brittle);
        }
        match best {
            Some(key) => self.assign(now, key, request),
            None if let Some(retry) = retry => PickResult::Limited(retry),
            None if has_candidate => PickResult::Full(FULL_RETRY),
            None if let Some(due) = first_due => PickResult::BackingOff(due.since(now)),
            None if has_upstream => PickResult::NotLoaded,
            None if is_evacuated => PickResult::Evacuated,
            None => PickResult::NoUpstream,
        }
    }

    /// Returns when a request may be sent to an upstream that asked for a backoff; `None`
    /// if it may now.
    pub(super) fn due(
        &self,
        now: Time,
        request: &BalancerRequest,
        upstream: &Name,
    ) -> Option<Time> {
        self.backoffs.due(now, upstream, request.draw(upstream))
    }

    /// Returns the candidates with their costs.
    fn rank(
        &self,
        now: Time,
        request: &BalancerRequest,
        candidates: &[UpstreamKey],
    ) -> Vec<(f64, UpstreamKey)> {
        let affinity = PrefixAffinity::new(request);
        let names = candidates
            .iter()
            .map(|key| &self.upstreams[*key].state.name);
        let order = affinity.order(names).into_iter().enumerate();
        let ranked = order.map(|(position, index)| {
            let key = candidates[index];
            let expected = if position == 0 {
                affinity.tokens()
            } else {
                0.0
            };
            let cost = self.cost(now, &self.upstreams[key], request, expected);
            (cost, key)
        });
        ranked.collect()
    }

    /// Estimates the time to first token, as the number of prompt tokens that could be
    /// prefilled meanwhile. `expected` is the number of prompt tokens that the upstream
    /// can be expected to have cached for requests of other hosts.
    fn cost(
        &self,
        now: Time,
        upstream: &Upstream,
        request: &BalancerRequest,
        expected: f64,
    ) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "prompts are far below 2^52 tokens"
        )]
        let (uncached, total) = (
            upstream.prefixes.uncached(&request.parts) as f64,
            request.parts.iter().map(|p| p.tokens).sum::<u64>() as f64,
        );
        let uncached = uncached.min(total - expected);
        let load = f64::from(upstream.load(now)) * LOAD_TOKENS;
        let is_remote = upstream.state.centre != self.centre;
        let distance = if is_remote { REMOTE_TOKENS } else { 0.0 };
        let cold = upstream.limit.cold().remainder(now) * COLD_TOKENS;
        uncached + load + distance + cold + upstream.failure_rate() * FAILURE_TOKENS
    }

    /// Returns whether all upstreams are silent. This happens in a network
    /// partition, where silence does not mean that an upstream has failed.
    fn are_all_silent(&self, now: Time, keys: &[UpstreamKey]) -> bool {
        let upstreams = keys.iter().map(|key| &self.upstreams[*key]);
        let mut used = upstreams.filter(|u| !self.is_closed(now, &u.state.centre));
        used.all(|upstream| upstream.is_silent)
    }

    pub(super) fn assign(
        &mut self,
        now: Time,
        key: UpstreamKey,
        request: &BalancerRequest,
    ) -> PickResult {
        let upstream = &mut self.upstreams[key];
        let Some(address) = upstream.state.address else {
            return PickResult::NoUpstream;
        };
        let assignment = Assignment {
            key,
            name: upstream.state.name.clone(),
            address,
            epoch: upstream.state.epoch,
            centre: upstream.state.centre.clone(),
            software: SoftwareVersion::of(&upstream.state),
            load: upstream.load(now),
            load_age: upstream.load_age(now),
            uncached: upstream.prefixes.uncached(&request.parts),
        };
        upstream.open += 1;
        let draw = request.draw(&upstream.state.name);
        upstream.limit.take(now, !request.is_waiting, draw);
        if upstream.limit.cold().is_cold(now) {
            self.cold_counts.sent += 1;
        }
        upstream.prefixes.record(&request.parts);
        PickResult::Assigned(assignment)
    }

    /// Applies the load reported with an answer, which has begun.
    pub fn report(&mut self, now: Time, key: UpstreamKey, load: ReportedLoad) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.report(now, load);
            upstream.record_answer(now);
        }
    }

    /// Applies the limit named in an answer to a request that was sent at `sent`;
    /// returns whether the limit changed.
    pub fn observe_limit(
        &mut self,
        now: Time,
        key: UpstreamKey,
        sent: Time,
        rate: Option<RequestRate>,
    ) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_some_and(|upstream| upstream.limit.observe(now, sent, rate))
    }

    /// Applies what the issuer of tokens tells of an upstream; returns whether the
    /// limit changed.
    pub fn apply_limit(&mut self, now: Time, name: &Name, epoch: u64, told: ToldLimit) -> bool {
        let key = self.names.get(name).copied();
        let upstream = key.and_then(|key| self.upstreams.get_mut(key));
        let upstream = upstream.filter(|upstream| upstream.state.epoch == epoch);
        upstream.is_some_and(|upstream| upstream.limit.apply(now, told))
    }

    /// Returns what the issuer should know of each limited upstream, with its name and
    /// epoch. Tokens that are not needed are returned.
    pub fn report_limits(&mut self, now: Time) -> Vec<(Name, u64, HostLimitReport)> {
        let upstreams = self.upstreams.values_mut();
        let reports = upstreams.filter_map(|upstream| {
            let report = upstream.limit.report(now)?;
            Some((upstream.state.name.clone(), upstream.state.epoch, report))
        });
        reports.collect()
    }

    /// Records that a start of an upstream said that it leaves; returns whether that is
    /// news.
    pub fn record_departure(&mut self, upstream: &Name, epoch: u64) -> bool {
        let is_older = |known: u64| known >= epoch;
        if self.departures.get(upstream).copied().is_some_and(is_older) {
            return false;
        }
        self.departures.insert(upstream.clone(), epoch);
        true
    }

    /// Returns whether a start of an upstream said that it leaves.
    pub fn has_departed(&self, upstream: &Name, epoch: u64) -> bool {
        self.departures.get(upstream) == Some(&epoch)
    }

    pub(super) fn is_leaving(&self, state: &UpstreamState) -> bool {
        state.leaving || self.has_departed(&state.name, state.epoch)
    }

    /// Records that an upstream wants no requests from this host for a time; returns
    /// whether that ends later than what it asked for before.
    pub fn request_backoff(&mut self, now: Time, upstream: &Name, span: Duration) -> bool {
        self.backoffs.extend(now, upstream, span)
    }

    /// Returns how long an upstream still wants no requests from this host.
    pub fn backoff(&self, now: Time, upstream: &Name) -> Option<Duration> {
        let end = self.backoffs.end(now, upstream)?;
        Some(end.since(now))
    }

    /// Returns after which time a refused request may come back, if all upstreams that could
    /// serve it want no requests from this host.
    pub fn common_backoff(&self, now: Time, request: &BalancerRequest) -> Option<Duration> {
        let keys = self.pools.get(&request.pool)?;
        let all_silent = self.are_all_silent(now, keys);
        let needed = request.software.as_ref();
        let serving = keys.iter().map(|key| &self.upstreams[*key]).filter(|u| {
            let state = &u.state;
            !self.is_leaving(state)
                && !self.is_closed(now, &state.centre)
                && (!u.is_silent || all_silent)
                && needed.is_none_or(|software| software.is_of(state))
                && self.can_serve(now, state, request)
                && !u.is_backing_off(now)
        });
        let retries = serving.map(|upstream| {
            let name = &upstream.state.name;
            self.backoffs.retry(now, name, request.draw(name))
        });
        let retries: Option<Vec<Time>> = retries.collect();
        let first = retries?.into_iter().min()?;
        Some(first.since(now))
    }

    /// Records that an upstream is silent while a request waits for it, or that
    /// it has gone on.
    pub fn set_responsive(&mut self, now: Time, key: UpstreamKey, is_responsive: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if is_responsive {
            upstream.record_recovery(now);
        } else if !upstream.is_backing_off(now) {
            upstream.record_unreachable(now);
        }
    }

    /// Lets an upstream be tried at once for which another way was found.
    pub fn end_backoff(&mut self, now: Time, name: &Name) {
        let key = self.names.get(name).copied();
        if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(key)) {
            upstream.end_backoff(now);
        }
    }

    /// Records the outcome of a request at an upstream.
    pub fn end(&mut self, now: Time, key: UpstreamKey, outcome: AttemptOutcome) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.open = upstream.open.saturating_sub(1);
        if !matches!(
            outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::Cancelled
        ) {
            upstream.record_answer(now);
        }
        match outcome {
            AttemptOutcome::Succeeded => upstream.record_success(),
            AttemptOutcome::Failed | AttemptOutcome::Aborted => upstream.record_failure(),
            AttemptOutcome::Unreachable => upstream.record_unreachable(now),
            AttemptOutcome::Full => upstream.record_full(now),
            AttemptOutcome::ModelMissing | AttemptOutcome::Cancelled => {}
        }
    }
}

fn is_full(now: Time, upstream: &Upstream) -> bool {
    let slots = f64::from(upstream.state.slots);
    let bound = slots + (slots * QUEUE_PER_SLOT).max(1.0);
    slots > 0.0 && f64::from(upstream.load(now)) >= bound
}
