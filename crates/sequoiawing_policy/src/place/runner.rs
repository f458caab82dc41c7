use crate::{
    Leadership,
    place::{allotments::Target, pending_orders::PendingOrders},
};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_tables::Pool;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The back-off before a model that failed to load is loaded again on the same
/// upstream. It doubles with each further failure.
const BASE_BACKOFF: Duration = Duration::from_secs(10);

/// The maximum number of doublings of the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The load failures of one model on an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Failure {
    count: u32,
    until: Time,
}

/// A loaded replica on an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica {
    /// When the replica was first announced as loaded.
    pub(crate) loaded_at: Time,
    /// When the replica was last announced as in use, initially as loaded.
    pub(crate) last_used: Time,
    /// Whether the replica has ever been in use.
    pub(crate) was_used: bool,
}

/// The placer's view of one upstream that loads models.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    pub(crate) state: Arc<UpstreamState>,
    /// When the latest announcement arrived.
    pub(crate) last_announced: Time,
    /// When its announcements expired.
    pub(crate) expired_at: Option<Time>,
    /// The version of its announcement at the start of this leadership.
    initial_version: Option<(u64, u64)>,
    pub(crate) replicas: BTreeMap<Name, Replica>,
    /// The memory allocated to each model, in MiB.
    sizes: BTreeMap<Name, u64>,
    /// The memory reserved for incoming models while others are evicted, in
    /// MiB.
    pub(crate) reservations: BTreeMap<Name, u64>,
    failures: BTreeMap<Name, Failure>,
    /// When it first announced itself, or last resumed after a gap in its
    /// announcements.
    pub(crate) stable_since: Time,
    /// The time until which orders sent before a gap in its announcements may
    /// still arrive.
    blocked_until: Time,
    /// When the leader's fencing token was last sent to it.
    pub(crate) fenced: Option<Time>,
}

impl Runner {
    pub(crate) fn new(now: Time, state: Arc<UpstreamState>) -> Self {
        let mut runner = Self {
            state: Arc::default(),
            last_announced: now,
            expired_at: None,
            initial_version: None,
            replicas: BTreeMap::new(),
            sizes: BTreeMap::new(),
            reservations: BTreeMap::new(),
            failures: BTreeMap::new(),
            stable_since: now,
            blocked_until: Time::ZERO,
            fenced: None,
        };
        runner.announce(now, state);
        runner
    }

    /// Applies a newer announcement.
    pub(crate) fn announce(&mut self, now: Time, state: Arc<UpstreamState>) {
        if state.epoch != self.state.epoch {
            self.replicas.clear();
            self.sizes.clear();
            self.reservations.clear();
            self.failures.clear();
        }
        self.replicas.retain(|model, _| state.has_model(model));
        for model in &state.loaded {
            let replica = self.replicas.entry(model.clone()).or_insert(Replica {
                loaded_at: now,
                last_used: now,
                was_used: false,
            });
            if state.active.contains(model) {
                replica.last_used = now;
                replica.was_used = true;
            }
        }
        if self.expired_at.take().is_some() {
            self.stable_since = now;
        }
        self.last_announced = now;
        self.state = state;
    }

    /// Discards the state that an earlier leader's orders may have changed.
    pub(crate) fn begin_term(&mut self) {
        self.initial_version = Some(self.state.version());
        self.reservations.clear();
        self.fenced = None;
    }

    /// Returns whether the announcement reflects all past and future effects of
    /// an earlier leader's orders.
    pub(crate) fn is_synced(&self, now: Time, leadership: &Leadership, since: Time) -> bool {
        let is_fresh = self
            .initial_version
            .is_none_or(|initial| self.state.version() > initial);
        if self.state.fenced && is_fresh && self.state.fence >= leadership.term {
            return true;
        }
        let grace_end = since + leadership.order_grace;
        let has_waited = now >= grace_end;
        let has_announced = self.last_announced >= grace_end || self.expired_at.is_some();
        has_waited && has_announced && (is_fresh || self.expired_at.is_some())
    }

    /// Blocks new loads until orders sent before a gap in its announcements
    /// have expired.
    pub(crate) fn block_until(&mut self, at: Time) {
        self.blocked_until = at;
    }

    /// Returns whether no order sent before a gap in its announcements can
    /// still arrive.
    pub(crate) fn accepts_loads(&self, now: Time) -> bool {
        self.blocked_until <= now
    }

    /// Returns whether the upstream may be given new work.
    pub(crate) fn is_usable(&self) -> bool {
        self.expired_at.is_none() && !self.state.leaving
    }

    /// Returns whether the upstream announced the model as loaded or loading.
    pub(crate) fn holds(&self, model: &Name) -> bool {
        self.state.has_model(model) || self.state.is_loading(model)
    }

    /// Allocates memory to a model and removes its reservation.
    pub(crate) fn allocate(&mut self, model: &Name, memory: u64) {
        self.reservations.remove(model);
        self.sizes.insert(model.clone(), memory);
    }

    /// Returns the memory of a model, in MiB: the allocated amount, otherwise
    /// the amount in the tables, otherwise the whole memory of the upstream.
    fn size(&self, pool: Option<&Pool>, model: &Name) -> u64 {
        let known = self.sizes.get(model).copied();
        let table = pool.and_then(|p| p.model(model.as_str()));
        known
            .or(table.map(|m| m.memory))
            .unwrap_or(self.state.memory)
    }

    /// Returns the memory that is neither allocated nor reserved, not counting
    /// a reservation for `model`, in MiB. The result is negative while
    /// reservations exceed the free memory.
    pub(crate) fn free(&self, pool: Option<&Pool>, orders: &PendingOrders, model: &Name) -> i64 {
        let is_model = |name: &&Name| !name.as_str().contains(':');
        let loading = self.state.loading.iter().filter(is_model);
        let reported = self.state.loaded.iter().chain(loading);
        let ordered = orders.loads_on(&self.state.name);
        let held: BTreeSet<&Name> = reported.chain(ordered).collect();
        let held: u64 = held.into_iter().map(|m| self.size(pool, m)).sum();
        let reservations = self.reservations.iter().filter(|(name, _)| *name != model);
        let reservations: u64 = reservations.map(|(_, memory)| memory).sum();
        let size = |mib: u64| i64::try_from(mib).unwrap_or(i64::MAX);
        size(self.state.memory) - size(held.saturating_add(reservations))
    }

    /// Records a failed load of the model and extends its back-off.
    pub(crate) fn record_failure(&mut self, now: Time, model: &Name) {
        let failure = self.failures.entry(model.clone()).or_default();
        let doublings = failure.count.min(MAX_BACKOFF_DOUBLINGS);
        failure.count += 1;
        failure.until = now + BASE_BACKOFF * 2_u32.pow(doublings);
    }

    pub(crate) fn clear_failures(&mut self, model: &Name) {
        self.failures.remove(model);
    }

    /// Returns whether the model is in back-off after a failed load.
    pub(crate) fn is_backing_off(&self, now: Time, model: &Name) -> bool {
        self.failures.get(model).is_some_and(|f| f.until > now)
    }

    pub(crate) fn memory_of(&self, pool: Option<&Pool>, model: &Name) -> u64 {
        self.size(pool, model)
    }
}

/// The upstreams of one data centre that load models, by name.
pub(crate) type Runners = BTreeMap<Name, Runner>;

/// Returns the upstreams that hold the model, are loading it or were ordered to
/// load it.
pub(crate) fn holders<'a>(
    runners: &'a Runners,
    orders: &'a PendingOrders,
    target: &'a Target,
) -> BTreeSet<&'a Name> {
    let reported = runners.values();
    let reported = reported.filter(|r| r.state.pool == target.0 && r.holds(&target.1));
    let reported = reported.map(|r| &r.state.name);
    reported.chain(orders.loaders(target)).collect()
}
