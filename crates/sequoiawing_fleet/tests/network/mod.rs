//! A simulation of two data centres whose routers relay upstreams to each other.

mod router;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use router::{Batch, Message, Router};
use sequoiawing_fleet::{Rank, Renewal, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const NORTH: usize = 3;
const SOUTH: usize = 3;
const UPSTREAMS: u64 = 4;

/// The lifetime of an announcement, in milliseconds.
const LIFETIME_MS: u64 = 5_000;

/// An announced state without the load: name, epoch, loaded models and adapters.
type AnnouncedState = (Name, u64, Vec<Name>, Vec<Name>);

fn announced_state(state: &UpstreamState) -> AnnouncedState {
    let mut loaded = state.loaded.clone();
    let mut adapters = state.adapters.clone();
    loaded.sort();
    adapters.sort();
    (state.name.clone(), state.epoch, loaded, adapters)
}

/// The upstreams of the data centre `north`, the routers of both data centres and
/// the messages in flight between them.
pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    upstreams: BTreeMap<Name, UpstreamState>,
    history: BTreeSet<AnnouncedState>,
    /// The sequence number and state of each upstream's last full announcement.
    last_full: BTreeMap<Name, (u64, AnnouncedState)>,
    routers: Vec<Router>,
    leader: usize,
    term: u64,
    start: u64,
    in_flight: Vec<(Time, Message)>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let routers = (0..NORTH + SOUTH).map(|i| Router::new(i, i < NORTH, 1));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            upstreams: BTreeMap::new(),
            history: BTreeSet::new(),
            last_full: BTreeMap::new(),
            routers: routers.collect(),
            leader: 0,
            term: 1,
            start: 1,
            in_flight: Vec::new(),
        }
    }

    /// Advances the time by one second.
    ///
    /// While `failing`, the network loses, duplicates and reorders messages, and
    /// upstreams and routers change and restart. While `moving`, upstreams
    /// occasionally announce themselves to another router.
    pub(crate) fn step(&mut self, failing: bool, moving: bool) {
        self.now = self.now + Duration::from_secs(1);
        if failing {
            self.change_upstream();
            self.inject_router_faults();
        }
        self.announce(moving);
        for i in 0..self.routers.len() {
            self.flush(i, failing);
        }
        self.deliver(failing);
        for router in &mut self.routers {
            router.registry.expire(self.now);
        }
    }

    fn change_upstream(&mut self) {
        let name = Name::from(format!("runner-{}", self.rng.random_range(0..UPSTREAMS)));
        let item = self.rng.random_range(0..5_u8);
        let model = Name::from(format!("model-{item}"));
        let adapter = Name::from(format!("model-{item}:adapter-{item}"));
        let epoch = self.now.as_micros();
        match self.rng.random_range(0..20) {
            0 => {
                self.upstreams.remove(&name);
            }
            1..=5 => {
                let state = self
                    .upstreams
                    .entry(name)
                    .or_insert_with_key(|name| UpstreamState {
                        name: name.clone(),
                        centre: Name::from("north"),
                        epoch,
                        lifetime: LIFETIME_MS,
                        ..UpstreamState::default()
                    });
                toggle(&mut state.loaded, model);
                toggle(&mut state.adapters, adapter);
            }
            _ => {}
        }
    }

    fn inject_router_faults(&mut self) {
        if self.rng.random_bool(0.05) {
            self.leader = self.rng.random_range(0..NORTH);
            self.term += 1;
        }
        if self.rng.random_bool(0.03) {
            self.start += 1;
            let i = self.rng.random_range(0..self.routers.len());
            self.routers[i] = Router::new(i, i < NORTH, self.start);
            if i == self.leader {
                self.term += 1;
            }
        }
    }

    fn announce(&mut self, moving: bool) {
        for state in self.upstreams.values_mut() {
            state.sequence += 1;
            state.running = self.rng.random_range(0..64);
            state.active = state.loaded.iter().take(1).cloned().collect();
            self.history.insert(announced_state(state));
            let home = usize::try_from(state.epoch % 3).unwrap_or(0);
            let is_moved = moving && self.rng.random_bool(0.1);
            let router = if is_moved {
                self.rng.random_range(0..NORTH)
            } else {
                home
            };
            let known = self.last_full.get(&state.name);
            let known = known.filter(|(_, full)| *full == announced_state(state));
            if let Some((base, _)) = known.filter(|_| self.rng.random_bool(0.7)) {
                let renewal = Renewal::of(state, *base);
                if self.routers[router].renew(self.now, &renewal) {
                    continue;
                }
            }
            let full = (state.sequence, announced_state(state));
            self.last_full.insert(state.name.clone(), full);
            self.routers[router].announce(self.now, state.clone());
        }
    }

    fn flush(&mut self, i: usize, failing: bool) {
        let term = (i == self.leader).then_some(self.term);
        let peers: Vec<usize> = (0..self.routers.len()).filter(|p| *p != i).collect();
        let is_north = i < NORTH;
        let start = self.routers[i].source.start;
        let rank = term.map(|term| Rank { term, start });
        let (batch, summary) = self.routers[i].collect(self.now, rank);
        for to in peers.into_iter().filter(|p| (*p < NORTH) == is_north) {
            self.send(i, to, batch.clone(), failing);
        }
        if let Some(summary) = summary {
            let to = self.rng.random_range(NORTH..NORTH + SOUTH);
            let batch = Batch {
                summaries: vec![summary],
                spread: true,
                ..Batch::default()
            };
            self.send(i, to, batch, failing);
        }
    }

    fn send(&mut self, from: usize, to: usize, batch: Batch, failing: bool) {
        let message = Message { from, to, batch };
        if !failing {
            self.in_flight.push((self.now, message));
            return;
        }
        let copies = [0, 0, 1, 1, 1, 1, 2][self.rng.random_range(0..7)];
        for _ in 0..copies {
            let delay = Duration::from_secs(self.rng.random_range(0..6));
            self.in_flight.push((self.now + delay, message.clone()));
        }
    }

    fn deliver(&mut self, failing: bool) {
        loop {
            let due = |(at, _): &(Time, Message)| *at <= self.now;
            let Some(next) = self.in_flight.iter().position(due) else {
                return;
            };
            let (_, Message { from, to, batch }) = self.in_flight.swap_remove(next);
            let spread = batch.spread;
            let missing = self.routers[to].handle_batch(self.now, batch);
            if let Some(reply) = self.routers[from].missing_states(&missing, spread) {
                self.send(from, to, reply, failing);
            }
        }
    }

    /// Checks that routers know only states that upstreams have announced.
    pub(crate) fn check_known_states(&self, seed: u64) {
        for router in &self.routers {
            for state in router.registry.iter() {
                let known = announced_state(state);
                assert!(
                    self.history.contains(&known),
                    "seed {seed}: {} knows {known:?}, which was never announced",
                    router.source.host
                );
                let is_loaded = |name: &Name| state.loaded.contains(name);
                assert!(state.active.iter().all(is_loaded), "seed {seed}");
            }
        }
    }

    /// Checks that every router knows the current state of all upstreams.
    pub(crate) fn check_converged(&self, seed: u64) {
        let expected: Vec<AnnouncedState> = self.upstreams.values().map(announced_state).collect();
        for router in &self.routers {
            let known: Vec<AnnouncedState> =
                router.registry.iter().map(|s| announced_state(s)).collect();
            assert_eq!(known, expected, "seed {seed}: {}", router.source.host);
            for state in router.registry.local() {
                let sequence = self.upstreams[&state.name].sequence;
                assert_eq!(state.sequence, sequence, "seed {seed}: {}", state.name);
            }
        }
    }
}

fn toggle(list: &mut Vec<Name>, item: Name) {
    if list.contains(&item) {
        list.retain(|known| *known != item);
    } else {
        list.push(item);
    }
}
