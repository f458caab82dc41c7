use sequoiawing_types::{Name, Time};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// The gateways up to which each follows every hub; news then reaches them
/// without a hop in between.
const ALL_HUBS_GATEWAYS: u32 = 16;

/// The hubs that a gateway follows when there are more gateways: one can fail
/// unnoticed by callers.
const FOLLOWED_HUBS: usize = 2;

/// The reports that a hub should take in a second; one costs it about half a
/// millisecond of a core of which it has a third.
const HUB_REPORTS: f64 = 160.0;

/// The shortest time between two reports to one hub.
const LEAST_PAUSE: Duration = Duration::from_millis(25);

/// The longest time between two reports to one hub: what customers use must be
/// known within the slack of their limits.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// How long a hub may have been out of touch with the log's majority and still
/// be as good as another.
const LINKED_AGE: Duration = Duration::from_millis(1_500);

/// How long a hub's last answer speaks for it; several probes.
const HEARD_LIFE: Duration = Duration::from_secs(8);

/// How often a hub that is not followed is asked what it is.
const PROBE_PAUSE: Duration = Duration::from_secs(3);

/// How often a hub that did not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a hub that is no seed may be silent before it is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// What a gateway knows of a hub that answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HubFact {
    /// Its data centre.
    pub centre: Name,
    /// Whether its controller leads the log.
    pub leads: bool,
    /// How long ago its controller was in touch with the log's majority.
    pub age: Duration,
}

/// What a gateway wants of a hub.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HubRole {
    /// It is told everything, demand included.
    Primary,
    /// It is told what customers use, and its news counts as well.
    Followed,
    /// It is only asked what it is, now and then.
    Probed,
}

#[derive(Clone, Debug)]
struct Known {
    is_seed: bool,
    since: Time,
    fact: Option<HubFact>,
    heard: Option<Time>,
    failed: Option<Time>,
}

impl Known {
    fn is_usable(&self, now: Time) -> bool {
        let is_heard = self.heard.is_some_and(|at| now.since(at) <= HEARD_LIFE);
        is_heard && self.failed.is_none_or(|at| Some(at) < self.heard)
    }
}

/// Chooses which hubs a gateway follows.
///
/// Reports cost hubs processor time and links bytes, and with all gateways at
/// all hubs both grow with the product of the two. In a large deployment each
/// gateway follows two: the nearest, and another that takes over at once.
#[derive(Clone, Debug)]
pub struct HubChoice {
    centre: Name,
    /// Spreads gateways over hubs.
    seed: u64,
    gateways: u32,
    hubs: BTreeMap<SocketAddr, Known>,
    /// The hubs that were to be followed after the last event.
    chosen: Vec<SocketAddr>,
}

impl HubChoice {
    /// Returns the choice of a gateway in a data centre.
    pub fn new(centre: Name, seed: u64) -> Self {
        Self {
            centre,
            seed,
            gateways: 0,
            hubs: BTreeMap::new(),
            chosen: Vec::new(),
        }
    }

    /// Reports whether other hubs are to be followed than after the event
    /// before; those that were only probed must then be spoken to at once.
    pub fn has_changed(&mut self, now: Time) -> bool {
        let chosen = self.followed(now);
        let has_changed = chosen != self.chosen;
        self.chosen = chosen;
        has_changed
    }

    /// Adds a hub; seeds are never forgotten.
    pub fn add(&mut self, now: Time, hub: SocketAddr, is_seed: bool) {
        let known = self.hubs.entry(hub).or_insert_with(|| Known {
            is_seed,
            since: now,
            fact: None,
            heard: None,
            failed: None,
        });
        known.is_seed |= is_seed;
    }

    /// Returns the hubs that are known.
    pub fn hubs(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.hubs.keys().copied()
    }

    /// Sets how many gateways there are.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Notes that a hub answered.
    pub fn hear(&mut self, now: Time, hub: SocketAddr, fact: HubFact) {
        if let Some(known) = self.hubs.get_mut(&hub) {
            known.fact = Some(fact);
            known.heard = Some(now);
        }
    }

    /// Notes that a hub did not answer.
    pub fn fail(&mut self, now: Time, hub: SocketAddr) {
        if let Some(known) = self.hubs.get_mut(&hub) {
            known.failed = Some(now);
        }
    }

    /// Forgets a hub that was silent for long; reports whether it did.
    pub fn forget(&mut self, now: Time, hub: SocketAddr) -> bool {
        let is_old = |known: &Known| {
            let last = known.heard.unwrap_or(known.since);
            !known.is_seed && now.since(last) > FORGET_AFTER
        };
        let is_old = self.hubs.get(&hub).is_some_and(is_old);
        if is_old {
            self.hubs.remove(&hub);
        }
        is_old
    }

    /// Returns what is wanted of a hub.
    pub fn role(&self, now: Time, hub: SocketAddr) -> HubRole {
        let followed = self.followed(now);
        match followed.iter().position(|h| *h == hub) {
            Some(0) => HubRole::Primary,
            Some(_) => HubRole::Followed,
            None => HubRole::Probed,
        }
    }

    /// Returns the hubs to follow, the primary first.
    fn followed(&self, now: Time) -> Vec<SocketAddr> {
        let usable = self.hubs.iter().filter(|(_, known)| known.is_usable(now));
        let mut usable: Vec<(&SocketAddr, &HubFact)> = usable
            .filter_map(|(hub, known)| Some((hub, known.fact.as_ref()?)))
            .collect();
        let follows_all = self.gateways <= ALL_HUBS_GATEWAYS;
        usable.sort_by_cached_key(|(hub, fact)| {
            let is_late = fact.age > LINKED_AGE;
            let is_far = fact.centre != self.centre;
            let is_second = if follows_all { !fact.leads } else { is_far };
            (is_late, is_second, is_far, self.rank(**hub))
        });
        if follows_all {
            return usable.into_iter().map(|(hub, _)| *hub).collect();
        }
        let Some((first, fact)) = usable.first() else {
            return Vec::new();
        };
        // The others stand in another data centre where there is one.
        let is_beside = |(_, other): &&(&SocketAddr, &HubFact)| other.centre == fact.centre;
        let rest = &usable[1..];
        let apart = rest.iter().filter(|h| !is_beside(h));
        let beside = rest.iter().filter(is_beside);
        let others = apart.chain(beside).map(|(hub, _)| **hub);
        let others = others.take(FOLLOWED_HUBS - 1);
        std::iter::once(**first).chain(others).collect()
    }

    /// Returns a hub's place in this gateway's own order of hubs.
    fn rank(&self, hub: SocketAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, hub).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns how long to wait between two reports to one hub.
    pub fn pause(&self) -> Duration {
        let hubs = self.hubs.len().max(1);
        let followed = if self.gateways <= ALL_HUBS_GATEWAYS {
            hubs
        } else {
            hubs.min(FOLLOWED_HUBS)
        };
        let count = |n| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let reporting = f64::from(self.gateways) * count(followed) / count(hubs);
        let pause = Duration::from_secs_f64(reporting / HUB_REPORTS);
        pause.clamp(LEAST_PAUSE, MOST_PAUSE)
    }

    /// Returns how long to wait before a hub is asked again what it is.
    pub fn probe_pause(&self, now: Time, hub: SocketAddr) -> Duration {
        let is_usable = self.hubs.get(&hub).is_some_and(|k| k.is_usable(now));
        if is_usable { PROBE_PAUSE } else { RETRY_PAUSE }
    }
}
