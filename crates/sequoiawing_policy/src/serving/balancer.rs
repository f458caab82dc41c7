use super::{PromptPart, ReportedLoad, upstream::Upstream};
use sequoiawing_fleet::{Listed, UpstreamState};
use sequoiawing_types::{Name, Time};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

new_key_type! {
    /// Names an upstream within one balancer.
    pub struct UpstreamKey;
}

/// The prompt tokens whose reading delays a request as much as one more
/// request at the engine does.
const LOAD_TOKENS: f64 = 60.0;

/// The prompt tokens that a host would rather have read than send a request to
/// an upstream that fails all of them.
const FAILURE_TOKENS: f64 = 20_000.0;

/// The requests that may wait at an upstream, for each that it runs at once.
const QUEUE_PART: f64 = 0.5;

/// When to look again if all upstreams are full.
const FULL_RETRY: Duration = Duration::from_millis(100);

/// A request that needs an upstream.
#[derive(Clone, Debug, Default)]
pub struct ServingWork {
    /// The pool.
    pub pool: Name,
    /// The model; none for plain services.
    pub model: Option<Name>,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The parts of its prompt.
    pub parts: Arc<[PromptPart]>,
    /// Upstreams that it was sent to already.
    pub tried: Vec<Name>,
}

/// An upstream that a request was given to.
#[derive(Clone, Debug)]
pub struct Assigned {
    /// Names it in [`Balancer::end`].
    pub key: UpstreamKey,
    /// Its name.
    pub name: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The load that was estimated.
    pub load: u32,
    /// The prompt tokens that it is expected to read.
    pub missing: u64,
}

/// What became of the search for an upstream.
#[derive(Clone, Debug)]
pub enum Pick {
    /// This one takes it.
    Send(Assigned),
    /// All that could take it are full or resting; when to look again.
    Full(Duration),
    /// None that can be reached has the model or adapter.
    Absent,
    /// None is known in the pool.
    Empty,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Its answer was whole.
    Well,
    /// The upstream answered that it failed.
    Failed,
    /// It could not be reached, or sent nothing.
    Missed,
    /// It broke off, or sent what is no answer to the request.
    Broken,
    /// It did not run the request since it is full.
    Full,
    /// It did not run the request since the model is not there.
    Lacking,
    /// The caller left, or the time was up.
    Left,
}

/// Chooses upstreams for the requests of one host.
#[derive(Debug, Default)]
pub struct Balancer {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    names: HashMap<Name, UpstreamKey>,
    pools: HashMap<Name, Vec<UpstreamKey>>,
    /// The tokens that engines of a pool keep.
    kept: HashMap<Name, u64>,
    /// Models and adapters by the upstream that loads them, and when they
    /// should be there.
    expected: HashMap<Name, Vec<(Name, Time)>>,
    /// Models that upstreams were told to give up.
    evicted: HashSet<(Name, Name)>,
}

impl Balancer {
    /// Sets how many tokens the engines of a pool keep.
    pub fn set_kept(&mut self, pool: &Name, tokens: u64) {
        self.kept.insert(pool.clone(), tokens);
        for key in self.pools.get(pool).into_iter().flatten() {
            self.upstreams[*key].parts.set_limit(tokens);
        }
    }

    /// Takes in what a roster lists.
    pub fn update(&mut self, listed: &Listed) {
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
            let is_same_start = upstream.state.epoch == state.epoch;
            if is_same_start && upstream.state.pool == state.pool {
                upstream.state = state.clone();
                return;
            }
            self.remove(key);
        }
        let kept = self.kept.get(&state.pool).copied().unwrap_or_default();
        let key = self.upstreams.insert(Upstream::new(state.clone(), kept));
        self.names.insert(state.name.clone(), key);
        self.pools.entry(state.pool.clone()).or_default().push(key);
    }

    fn remove(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        self.names.remove(&upstream.state.name);
        if let Some(keys) = self.pools.get_mut(&upstream.state.pool) {
            keys.retain(|k| *k != key);
        }
    }

    /// Sets which upstreams have announced nothing for long.
    pub fn set_silent(&mut self, silent: &HashSet<Name>) {
        for upstream in self.upstreams.values_mut() {
            upstream.is_silent = silent.contains(&upstream.state.name);
        }
    }

    /// Sets which models and adapters are being loaded by which upstreams, and
    /// when they should be there; upstreams announce them later.
    pub fn set_expected<I>(&mut self, loads: I)
    where
        I: IntoIterator<Item = (Name, Name, Time)>,
    {
        self.expected.clear();
        for (upstream, model, ready) in loads {
            let expected = self.expected.entry(upstream).or_default();
            expected.push((model, ready));
        }
    }

    /// Sets which upstreams were told to give up which models.
    pub fn set_evicted<I>(&mut self, evicted: I)
    where
        I: IntoIterator<Item = (Name, Name)>,
    {
        self.evicted = evicted.into_iter().collect();
    }

    /// Reports whether an upstream has what a request needs.
    fn can_serve(&self, now: Time, state: &UpstreamState, work: &ServingWork) -> bool {
        let expected = self.expected.get(&state.name);
        let is_expected = |name: &Name| {
            let mut loads = expected.into_iter().flatten();
            loads.any(|(loaded, ready)| loaded == name && now >= *ready)
        };
        let has_model = |model: &Name| {
            let is_held = state.has_model(model) || is_expected(model);
            let place = (state.name.clone(), model.clone());
            is_held && (self.evicted.is_empty() || !self.evicted.contains(&place))
        };
        let has_adapter = |adapter: &Name| state.has_adapter(adapter) || is_expected(adapter);
        work.model.as_ref().is_none_or(has_model) && work.adapter.as_ref().is_none_or(has_adapter)
    }

    /// Returns the upstreams that could not be reached lately.
    pub fn unreachable(&self, now: Time) -> Vec<Name> {
        let missed = self.upstreams.values().filter(|u| u.is_missed(now));
        missed.map(|u| u.state.name.clone()).collect()
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

    /// Chooses an upstream and counts the request there until
    /// [`Balancer::end`].
    pub fn pick(&mut self, now: Time, work: &ServingWork) -> Pick {
        let keys = self.pools.get(&work.pool).map_or(&[][..], Vec::as_slice);
        let mut is_known = false;
        let mut is_able = false;
        let mut best: Option<(f64, UpstreamKey)> = None;
        let silent_only = self.is_all_silent(keys);
        for key in keys {
            let upstream = &self.upstreams[*key];
            let state = &upstream.state;
            if state.leaving || (upstream.is_silent && !silent_only) {
                continue;
            }
            is_known = true;
            if !self.can_serve(now, state, work) || work.tried.contains(&state.name) {
                continue;
            }
            if upstream.is_unreachable(now) {
                continue;
            }
            is_able = true;
            if now < upstream.resting || is_full(now, upstream) {
                continue;
            }
            let cost = cost(now, upstream, work);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        match best {
            Some((_, key)) => self.assign(now, key, work),
            None if is_able => Pick::Full(FULL_RETRY),
            None if is_known => Pick::Absent,
            None => Pick::Empty,
        }
    }

    /// Reports whether nobody knows of an upstream that is not silent, as in a
    /// partition: silence then says nothing.
    fn is_all_silent(&self, keys: &[UpstreamKey]) -> bool {
        keys.iter().all(|key| self.upstreams[*key].is_silent)
    }

    fn assign(&mut self, now: Time, key: UpstreamKey, work: &ServingWork) -> Pick {
        let upstream = &mut self.upstreams[key];
        let Some(address) = upstream.state.address else {
            return Pick::Empty;
        };
        let assigned = Assigned {
            key,
            name: upstream.state.name.clone(),
            address,
            load: upstream.load(now),
            missing: upstream.parts.missing(&work.parts),
        };
        upstream.open += 1;
        upstream.parts.note(&work.parts);
        Pick::Send(assigned)
    }

    /// Takes in the load that an answer reported.
    pub fn report(&mut self, now: Time, key: UpstreamKey, load: ReportedLoad) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.report(now, load);
        }
    }

    /// Notes how a request ended at an upstream.
    pub fn end(&mut self, now: Time, key: UpstreamKey, ended: Ended) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.open = upstream.open.saturating_sub(1);
        if !matches!(ended, Ended::Missed | Ended::Left) {
            upstream.reach(now);
        }
        match ended {
            Ended::Well => upstream.succeed(),
            Ended::Failed | Ended::Broken => upstream.fail(),
            Ended::Missed => upstream.miss(now),
            Ended::Full => upstream.fill(now),
            Ended::Lacking | Ended::Left => {}
        }
    }
}

fn is_full(now: Time, upstream: &Upstream) -> bool {
    let slots = f64::from(upstream.state.slots);
    let bound = slots + (slots * QUEUE_PART).max(1.0);
    slots > 0.0 && f64::from(upstream.load(now)) >= bound
}

/// Estimates how long a request would wait for its first token, in prompt
/// tokens that are read meanwhile.
fn cost(now: Time, upstream: &Upstream, work: &ServingWork) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "prompts are far below 2^52 tokens"
    )]
    let missing = upstream.parts.missing(&work.parts) as f64;
    let load = f64::from(upstream.load(now)) * LOAD_TOKENS;
    missing + load + upstream.failures() * FAILURE_TOKENS
}
