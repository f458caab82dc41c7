use sequoiawing_types::{Name, Time};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// The largest number of gateways at which each gateway follows every hub, so
/// that updates reach it without an extra hop.
const ALL_HUBS_GATEWAYS: u32 = 16;

/// The number of hubs that a gateway follows in larger deployments. With two,
/// one can fail without an effect on callers.
const FOLLOWED_HUBS: usize = 2;

/// The target rate of reports per hub, in reports per second. A report takes
/// about 0.5 ms of processor time, and a hub has a third of a core.
const TARGET_REPORT_RATE: f64 = 160.0;

/// The shortest interval between two reports to one hub.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// The longest interval between two reports to one hub. Longer ones would let
/// customers exceed the tolerance of their limits before their use is known.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The time without contact to a quorum of the log after which a hub ranks
/// behind the others.
const MAX_QUORUM_AGE: Duration = Duration::from_millis(1_500);

/// How long after its last answer the primary hub is relied on for news of upstreams; a
/// longest report interval and a held report.
const MAX_PRIMARY_SILENCE: Duration = Duration::from_millis(700);

/// The time without contact to a quorum of the log after which the primary hub is not
/// relied on for news of upstreams.
const MAX_PRIMARY_AGE: Duration = Duration::from_millis(500);

/// How long the last answer of a hub stays valid. Spans several probes.
const ANSWER_TTL: Duration = Duration::from_secs(8);

/// The interval between probes of a hub that is not followed.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// The interval between probes of a hub that did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The interval between probes of a hub while none has answered yet. After a loss of power
/// everywhere, hosts serve no caller until then.
const FIRST_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of a call to a hub.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call to a hub while none has answered yet. A connect to a host without
/// power hangs, and one a moment later may succeed.
const FIRST_TIMEOUT: Duration = Duration::from_millis(300);

/// The silence after which a hub that is not a seed is removed.
const REMOVE_AFTER: Duration = Duration::from_mins(1);

/// The status that a hub last reported to a gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HubStatus {
    /// The data centre of the hub.
    pub centre: Name,
    /// Whether the hub's controller is the leader of the log.
    pub leads: bool,
    /// The time since the hub's controller was last in contact with a quorum of
    /// the log.
    pub age: Duration,
}

/// The role that a gateway gives to a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HubRole {
    /// Receives all reports, including demand.
    Primary,
    /// Receives the use of customers; its updates are applied as well.
    Followed,
    /// Is only probed for its status.
    Probed,
}

#[derive(Clone, Debug)]
struct HubState {
    is_seed: bool,
    added_at: Time,
    status: Option<HubStatus>,
    answered: Option<Time>,
    failed: Option<Time>,
}

impl HubState {
    fn is_usable(&self, now: Time) -> bool {
        let has_answered = self.answered.is_some_and(|at| now.since(at) <= ANSWER_TTL);
        has_answered && self.failed.is_none_or(|at| Some(at) < self.answered)
    }
}

/// Selects the hubs that a gateway follows.
///
/// Reports cost processor time on hubs and bandwidth. If all gateways followed
/// all hubs, both would grow with the product of their numbers. In a large
/// deployment each gateway therefore follows two hubs: the nearest one, and a
/// standby that takes over immediately.
#[derive(Clone, Debug)]
pub struct HubSelector {
    centre: Name,
    /// Distributes gateways over hubs.
    seed: u64,
    gateways: u32,
    hubs: BTreeMap<SocketAddr, HubState>,
    /// The hubs selected after the last event.
    selected: Vec<SocketAddr>,
}

impl HubSelector {
    /// Creates a selector for a gateway in the data centre `centre`.
    pub fn new(centre: Name, seed: u64) -> Self {
        Self {
            centre,
            seed,
            gateways: 0,
            hubs: BTreeMap::new(),
            selected: Vec::new(),
        }
    }

    /// Returns whether the selected hubs have changed since the previous call.
    /// Newly selected hubs were only probed so far and need a report
    /// immediately.
    pub fn has_changed(&mut self, now: Time) -> bool {
        let selected = self.selected_hubs(now);
        let has_changed = selected != self.selected;
        self.selected = selected;
        has_changed
    }

    /// Adds a hub. Seeds are never removed.
    pub fn add(&mut self, now: Time, hub: SocketAddr, is_seed: bool) {
        let state = self.hubs.entry(hub).or_insert_with(|| HubState {
            is_seed,
            added_at: now,
            status: None,
            answered: None,
            failed: None,
        });
        state.is_seed |= is_seed;
    }

    /// Returns all known hubs.
    pub fn hubs(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.hubs.keys().copied()
    }

    /// Sets the number of gateways in the deployment.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Records the answer of a hub.
    pub fn record_answer(&mut self, now: Time, hub: SocketAddr, status: HubStatus) {
        if let Some(state) = self.hubs.get_mut(&hub) {
            state.status = Some(status);
            state.answered = Some(now);
        }
    }

    /// Records that a hub did not answer.
    pub fn record_failure(&mut self, now: Time, hub: SocketAddr) {
        if let Some(state) = self.hubs.get_mut(&hub) {
            state.failed = Some(now);
        }
    }

    /// Removes a hub that has been silent too long. Returns whether it was
    /// removed.
    pub fn remove_silent(&mut self, now: Time, hub: SocketAddr) -> bool {
        let is_old = |state: &HubState| {
            let last = state.answered.unwrap_or(state.added_at);
            !state.is_seed && now.since(last) > REMOVE_AFTER
        };
        let is_old = self.hubs.get(&hub).is_some_and(is_old);
        if is_old {
            self.hubs.remove(&hub);
        }
        is_old
    }

    /// Returns whether the primary hub answered just now and is in touch with the log.
    /// The gateway then gets the changes of upstreams from it alone.
    pub fn has_fresh_primary(&self, now: Time) -> bool {
        let primary = self.selected_hubs(now).first().copied();
        let state = primary.and_then(|hub| self.hubs.get(&hub));
        state.is_some_and(|state| {
            let answered = state.answered.unwrap_or(Time::ZERO);
            let status = state.status.as_ref();
            now.since(answered) <= MAX_PRIMARY_SILENCE
                && status.is_some_and(|s| s.age <= MAX_PRIMARY_AGE)
        })
    }

    /// Returns the time since the last sign of the log's majority that any hub passed on.
    pub fn log_age(&self, now: Time) -> Option<Duration> {
        let ages = self.hubs.values().filter_map(|state| {
            let status = state.status.as_ref()?;
            Some(status.age + now.since(state.answered?))
        });
        ages.min()
    }

    /// Returns the hub beside the leader of the log, or the nearest one if none is known
    /// to lead.
    pub fn leader(&self, now: Time) -> Option<SocketAddr> {
        let leads = |state: &HubState| state.status.as_ref().is_some_and(|s| s.leads);
        let usable = self.hubs.iter().filter(|(_, state)| state.is_usable(now));
        let leading = usable.filter(|(_, state)| leads(state));
        let newest = leading.max_by_key(|(_, state)| state.answered);
        let newest = newest.map(|(hub, _)| *hub);
        newest.or_else(|| self.selected_hubs(now).first().copied())
    }

    /// Returns the role of a hub.
    pub fn role(&self, now: Time, hub: SocketAddr) -> HubRole {
        let followed = self.selected_hubs(now);
        match followed.iter().position(|h| *h == hub) {
            Some(0) => HubRole::Primary,
            Some(_) => HubRole::Followed,
            None => HubRole::Probed,
        }
    }

    /// Returns the hubs to follow, the primary first.
    fn selected_hubs(&self, now: Time) -> Vec<SocketAddr> {
        let usable = self.hubs.iter().filter(|(_, state)| state.is_usable(now));
        let mut usable: Vec<(&SocketAddr, &HubStatus)> = usable
            .filter_map(|(hub, state)| Some((hub, state.status.as_ref()?)))
            .collect();
        let follows_all = self.gateways <= ALL_HUBS_GATEWAYS;
        usable.sort_by_cached_key(|(hub, status)| {
            let is_stale = status.age > MAX_QUORUM_AGE;
            let is_remote = status.centre != self.centre;
            let is_less_preferred = if follows_all {
                !status.leads
            } else {
                is_remote
            };
            (is_stale, is_less_preferred, is_remote, self.rank(**hub))
        });
        if follows_all {
            return usable.into_iter().map(|(hub, _)| *hub).collect();
        }
        let Some((first, status)) = usable.first() else {
            return Vec::new();
        };
        // Prefer a standby in another data centre.
        let is_same_centre =
            |(_, other): &&(&SocketAddr, &HubStatus)| other.centre == status.centre;
        let rest = &usable[1..];
        let elsewhere = rest.iter().filter(|h| !is_same_centre(h));
        let nearby = rest.iter().filter(is_same_centre);
        let others = elsewhere.chain(nearby).map(|(hub, _)| **hub);
        let others = others.take(FOLLOWED_HUBS - 1);
        std::iter::once(**first).chain(others).collect()
    }

    /// Returns the rank of a hub for this gateway, from a hash of the seed and
    /// the address.
    fn rank(&self, hub: SocketAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, hub).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the interval between two reports to one hub.
    pub fn report_interval(&self) -> Duration {
        let hubs = self.hubs.len().max(1);
        let followed = if self.gateways <= ALL_HUBS_GATEWAYS {
            hubs
        } else {
            hubs.min(FOLLOWED_HUBS)
        };
        let count = |n| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let reporting = f64::from(self.gateways) * count(followed) / count(hubs);
        let interval = Duration::from_secs_f64(reporting / TARGET_REPORT_RATE);
        interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Returns the interval until the next probe of a hub.
    pub fn probe_interval(&self, now: Time, hub: SocketAddr) -> Duration {
        let is_usable = self.hubs.get(&hub).is_some_and(|k| k.is_usable(now));
        if is_usable {
            PROBE_INTERVAL
        } else if self.has_answer() {
            RETRY_INTERVAL
        } else {
            FIRST_INTERVAL
        }
    }

    /// Returns the timeout of a call to a hub.
    pub fn call_timeout(&self) -> Duration {
        if self.has_answer() {
            CALL_TIMEOUT
        } else {
            FIRST_TIMEOUT
        }
    }

    /// Returns whether any hub has ever answered.
    fn has_answer(&self) -> bool {
        self.hubs.values().any(|state| state.answered.is_some())
    }
}
