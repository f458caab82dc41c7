use crate::{
    CheapestReload, CheckpointLocation, ChoosePlacement, CountReplicas, FairDeadline, KeepAlive,
    Leadership, LearnedKeepAlive, NearestCheckpoint, PlaceAction, PlaceEvent, PlaceSettings,
    RankVictims, SequenceLoads, TokenDemand,
    place::{
        adapter_demands::AdapterDemands,
        allotments::{Allotments, Target},
        credits::Credits,
        demand_table::DemandTable,
        load_times::LoadTimes,
        pending_orders::PendingOrders,
        runner::{Runners, holders},
        shares::Shares,
    },
};
use sequoiawing_fleet::{Demand, DemandStatus, UpstreamState};
use sequoiawing_tables::{Model, Pool};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// The replaceable policies of a placer.
pub struct PlacePolicies {
    /// Chooses the number of replicas for a demand.
    pub replicas: Box<dyn CountReplicas>,
    /// Chooses the order in which replicas are loaded.
    pub sequence: Box<dyn SequenceLoads>,
    /// Chooses where replicas are loaded.
    pub placement: Box<dyn ChoosePlacement>,
    /// Ranks the models to evict.
    pub victims: Box<dyn RankVictims>,
    /// Decides how long unused models stay loaded.
    pub keep_alive: Box<dyn KeepAlive>,
}

impl Default for PlacePolicies {
    fn default() -> Self {
        Self {
            replicas: Box::new(TokenDemand),
            sequence: Box::new(FairDeadline::default()),
            placement: Box::new(NearestCheckpoint),
            victims: Box::new(CheapestReload),
            keep_alive: Box::new(LearnedKeepAlive::default()),
        }
    }
}

/// How long a new leader waits for upstreams to announce themselves before it
/// reports that none can hold a model.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The maximum time that a refused demand is kept, so that its model is loaded
/// when the refused callers retry.
const MAX_HOLD: Duration = Duration::from_mins(1);

/// The time that a refused demand is kept, as a multiple of the estimated load
/// time.
const HOLD_FACTOR: u32 = 2;

/// Decides which models are loaded on which upstreams of one data centre.
///
/// Memory is reserved before an order is sent and freed only by an announcement
/// of the upstream, so that lost replies never overcommit it. A replica counts
/// from before its order is sent until its upstream announces that it is
/// unloaded, so that the number of replicas never exceeds the allotment. See
/// [docs/design/cold-start.md](../../../docs/design/cold-start.md).
pub struct Placer {
    pub(crate) settings: PlaceSettings,
    pub(crate) policies: PlacePolicies,
    pub(crate) leadership: Option<Leadership>,
    /// When this host became leader.
    pub(crate) led_since: Time,
    pub(crate) last_order: u64,
    pub(crate) pools: BTreeMap<Name, Pool>,
    pub(crate) runners: Runners,
    /// The latest announcements of upstreams in other data centres.
    pub(crate) remote: BTreeMap<Name, Arc<UpstreamState>>,
    /// The epochs of upstreams that were presumed dead.
    pub(crate) dead_epochs: BTreeMap<Name, u64>,
    pub(crate) orders: PendingOrders,
    pub(crate) demands: DemandTable,
    pub(crate) adapters: AdapterDemands,
    pub(crate) allotments: Allotments,
    pub(crate) shares: Shares,
    pub(crate) load_times: LoadTimes,
    pub(crate) credits: Credits,
    /// The upstream that evicts models to make room for each target, and the
    /// time limit.
    pub(crate) evictions: BTreeMap<Target, (Name, Time)>,
    /// The models that are kept loaded until a given time regardless of use.
    pub(crate) pinned: BTreeMap<Target, Time>,
    pub(crate) reported_demand: (u32, u32),
    pub(crate) adapter_cursor: usize,
}

impl Placer {
    /// Returns a placer that does not lead and knows no upstream.
    pub fn new(settings: PlaceSettings) -> Self {
        let load_times = LoadTimes::new(&settings);
        let credits = Credits::new(&settings);
        Self {
            settings,
            policies: PlacePolicies::default(),
            leadership: None,
            led_since: Time::ZERO,
            last_order: 0,
            pools: BTreeMap::new(),
            runners: BTreeMap::new(),
            remote: BTreeMap::new(),
            dead_epochs: BTreeMap::new(),
            orders: PendingOrders::default(),
            demands: DemandTable::default(),
            adapters: AdapterDemands::default(),
            allotments: Allotments::default(),
            shares: Shares::default(),
            load_times,
            credits,
            evictions: BTreeMap::new(),
            pinned: BTreeMap::new(),
            reported_demand: (0, 0),
            adapter_cursor: 0,
        }
    }

    /// Replaces the policy that decides how long unused models stay loaded.
    #[must_use]
    pub fn with_keep_alive(mut self, keep_alive: Box<dyn KeepAlive>) -> Self {
        self.policies.keep_alive = keep_alive;
        self
    }

    /// Replaces all policies.
    #[must_use]
    pub fn with_policies(mut self, policies: PlacePolicies) -> Self {
        self.policies = policies;
        self
    }

    /// Returns whether this host leads the cell.
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the confirmed replica allotments of the data centre, by pool and
    /// model.
    pub fn allotments(&self) -> BTreeMap<(Name, Name), u32> {
        self.allotments.counts()
    }

    /// Applies a router's demand and returns its status.
    pub fn demand(
        &mut self,
        now: Time,
        demand: &Demand,
        out: &mut Vec<PlaceAction>,
    ) -> DemandStatus {
        if self.leadership.is_none() {
            return DemandStatus::default();
        }
        let target = (demand.pool.clone(), demand.model.clone());
        let Some(model) = self.model(&target) else {
            return problem("the pool does not have the model");
        };
        let memory = model.memory;
        if !self.fits_any_upstream(&target.0, memory) {
            return self.unplaceable(now);
        }
        let lifetime = self.settings.demand_lifetime;
        self.demands.update(now, demand, lifetime);
        self.policies.keep_alive.record_use(now, &demand.model);
        if let Some(adapter) = &demand.adapter {
            self.policies.keep_alive.record_use(now, adapter);
            self.adapters.update(now, demand, lifetime);
        }
        self.plan(now, out);
        self.report_demand(now, out);
        self.record(out);
        let status = self.demand_status(now, &target, memory);
        let hold = Duration::from_millis(status.estimate) * HOLD_FACTOR;
        let until = now + hold.clamp(lifetime, MAX_HOLD);
        self.demands.keep_until(now, &target, until);
        status
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: PlaceEvent, out: &mut Vec<PlaceAction>) {
        match event {
            PlaceEvent::LeadershipChanged { leadership } => self.lead(now, leadership),
            PlaceEvent::Configured { pools } => {
                self.pools = pools.into_iter().map(|p| (p.name.clone(), p)).collect();
                self.shares.divide(&self.settings.centre, &self.pools);
            }
            PlaceEvent::Centres { centres } => self.set_centres(centres),
            PlaceEvent::Inherited { counts } => self.inherit(&counts),
            PlaceEvent::Recorded { number } => self.recorded(number, out),
            PlaceEvent::Recalled { pool, model } => self.recall(now, &(pool, model)),
            PlaceEvent::Announced(state) => self.announce(now, &state),
            PlaceEvent::Gone { upstream } => {
                self.remote.remove(&upstream);
                if let Some(runner) = self.runners.get_mut(&upstream) {
                    runner.expired_at.get_or_insert(now);
                }
            }
            PlaceEvent::Allotted { pool, model, count } => {
                self.handle_allotment(now, &(pool, model), count, out);
                self.plan(now, out);
            }
            PlaceEvent::Replied { id, reply } => self.reply(now, id, reply.as_ref()),
            PlaceEvent::LoadCredits { slots, starts } => {
                self.credits.grant_loads(slots, starts);
                self.plan(now, out);
            }
            PlaceEvent::CreditsLost => self.credits.revert_to_static(now, &self.settings),
            PlaceEvent::AdapterCredits { slots } => self.credits.grant_adapters(slots),
            PlaceEvent::Tick => self.tick(now, out),
        }
        self.record(out);
    }

    fn lead(&mut self, now: Time, leadership: Option<Leadership>) {
        let term = |l: &Option<Leadership>| l.as_ref().map(|l| l.term);
        if term(&self.leadership) == term(&leadership) {
            return;
        }
        self.orders.clear();
        self.allotments.clear();
        self.shares.clear();
        self.evictions.clear();
        for runner in self.runners.values_mut() {
            runner.begin_term();
        }
        self.led_since = now;
        self.last_order = leadership.map_or(0, |l| l.order_base);
        self.leadership = leadership;
    }

    fn tick(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        self.demands.expire(now);
        self.adapters.expire(now);
        self.pinned.retain(|_, until| *until > now);
        self.presume_dead(now);
        if self.leadership.is_none() {
            return;
        }
        self.send_fences(now, out);
        self.resend(now, out);
        self.time_out_loads(now, out);
        self.preload(now);
        self.plan(now, out);
        self.unload_surplus(now, out);
        self.unload_idle(now, out);
        self.unload_idle_adapters(now, out);
        self.release_unused(now, out);
        self.report_demand(now, out);
    }

    /// Registers the models that are predicted to be used soon.
    fn preload(&mut self, now: Time) {
        for preload in self.policies.keep_alive.preloads(now) {
            let pools = self.pools.values();
            let pools = pools.filter(|p| p.model(preload.name.as_str()).is_some());
            let targets: Vec<Target> = pools
                .map(|p| (p.name.clone(), preload.name.clone()))
                .collect();
            for target in targets {
                let until = now + preload.hold;
                self.demands.keep_until(now, &target, until);
                self.pinned.insert(target, until);
            }
        }
    }

    fn report_demand(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        let waiting = self.demands.targets();
        let waiting = waiting
            .filter(|(t, w)| self.missing_replica(now, t, w).is_some())
            .count();
        let loads = u32::try_from(waiting).unwrap_or(u32::MAX) + self.store_loads();
        let adapters = self.orders.iter().filter(|o| o.is_adapter_load()).count();
        let adapters = u32::try_from(adapters + self.adapters.len()).unwrap_or(u32::MAX);
        if self.reported_demand != (loads, adapters) {
            self.reported_demand = (loads, adapters);
            out.push(PlaceAction::ReportDemand { loads, adapters });
        }
    }

    pub(crate) fn model(&self, target: &Target) -> Option<&Model> {
        let pool = self.pools.get(&target.0)?;
        pool.model(target.1.as_str())
    }

    fn fits_any_upstream(&self, pool: &Name, memory: u64) -> bool {
        let mut runners = self.runners.values();
        runners.any(|r| r.is_usable() && r.state.pool == *pool && r.state.memory >= memory)
    }

    /// Returns the problem that no upstream can hold a model, once enough time
    /// has passed to be certain.
    fn unplaceable(&self, now: Time) -> DemandStatus {
        if now.since(self.led_since) < DISCOVERY_TIME {
            return DemandStatus::default();
        }
        problem("no upstream of the pool can hold the model")
    }

    /// Counts the replicas that are loaded, loading or ordered on upstreams
    /// that are not presumed dead.
    pub(crate) fn replicas(&self, target: &Target) -> u32 {
        let count = holders(&self.runners, &self.orders, target).len();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the numbers of serving and of loading replicas in other data
    /// centres.
    pub(crate) fn remote_replicas(&self, target: &Target) -> (u32, u32) {
        let remote = self.remote.values();
        let usable = remote.filter(|s| s.pool == target.0 && !s.leaving);
        let usable: Vec<&UpstreamState> = usable.map(Arc::as_ref).collect();
        let serving = usable.iter().filter(|s| s.has_model(&target.1)).count();
        let loading = usable.iter().filter(|s| s.is_loading(&target.1)).count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        (count(serving), count(loading))
    }

    /// Counts the running loads from the weight store.
    pub(crate) fn store_loads(&self) -> u32 {
        let is_alive = |name: &Name| {
            self.runners
                .get(name)
                .is_some_and(|r| r.expired_at.is_none())
        };
        let loads = self.orders.iter().filter(|o| o.is_load());
        let loads = loads.filter(|o| o.checkpoint == CheckpointLocation::Remote);
        let count = loads.filter(|o| is_alive(&o.upstream)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

fn problem(text: &str) -> DemandStatus {
    DemandStatus {
        problem: Some(text.to_owned()),
        ..DemandStatus::default()
    }
}
