use crate::{
    Candidate, Checkpoint, ChooseUpstream, Work,
    dispatch::upstream::{Seat, average},
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
    /// Names an upstream within one dispatcher.
    pub(crate) struct SeatKey;
}

/// How well a data centre is placed to load a model; the least is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Standing {
    /// Whether a model that is loaded, but busy, is wanted far from home.
    is_far: bool,
    /// Whether an adapter's model is not loaded there.
    is_away: bool,
    /// Whether the model is not being loaded there.
    is_still: bool,
    checkpoint: Checkpoint,
    spread: u64,
}

/// Returns a number by which models spread over data centres, the same on all
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
    seat: SeatKey,
    since: Time,
    tokens: u64,
}

/// The upstreams of one pool, indexed by what they have loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seats {
    centre: Name,
    slots: SlotMap<SeatKey, Seat>,
    names: BTreeMap<Name, SeatKey>,
    index: HashMap<Name, Vec<SeatKey>>,
    running: HashMap<u64, Running>,
    /// The mean time for a token over all upstreams, in microseconds.
    pace: f64,
    /// The mean time for a request, in microseconds.
    span: f64,
}

impl Seats {
    pub(crate) fn new(centre: Name) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// Takes in an announcement and returns the upstream's key.
    pub(crate) fn announce(&mut self, state: Arc<UpstreamState>) -> SeatKey {
        let Some(key) = self.names.get(&state.name).copied() else {
            let name = state.name.clone();
            let seat = Seat::new(state);
            let targets: Vec<Name> = seat.targets.iter().cloned().collect();
            let key = self.slots.insert(seat);
            self.names.insert(name, key);
            self.index_targets(key, targets);
            return key;
        };
        let seat = &mut self.slots[key];
        let before = std::mem::take(&mut seat.targets);
        seat.announce(state);
        let lost: Vec<Name> = before.difference(&seat.targets).cloned().collect();
        let gained: Vec<Name> = seat.targets.difference(&before).cloned().collect();
        self.drop_targets(key, &lost);
        self.index_targets(key, gained);
        key
    }

    /// Forgets an upstream.
    pub(crate) fn remove(&mut self, upstream: &Name) {
        let Some(key) = self.names.remove(upstream) else {
            return;
        };
        if let Some(seat) = self.slots.remove(key) {
            let lost: Vec<Name> = seat.targets.into_iter().collect();
            self.drop_targets(key, &lost);
        }
    }

    fn index_targets(&mut self, key: SeatKey, targets: Vec<Name>) {
        for target in targets {
            self.index.entry(target).or_default().push(key);
        }
    }

    fn drop_targets(&mut self, key: SeatKey, targets: &[Name]) {
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

    fn having(&self, target: &Name) -> &[SeatKey] {
        self.index.get(target).map_or(&[], Vec::as_slice)
    }

    /// Reports whether an upstream that takes new work has the target.
    pub(crate) fn has_target(&self, target: &Name) -> bool {
        let open = |k: &SeatKey| self.slots[*k].is_open();
        self.having(target).iter().any(open)
    }

    pub(crate) fn has_kind(&self, kind: UpstreamKind) -> bool {
        self.slots.values().any(|seat| seat.state.kind == kind)
    }

    /// Reports whether the upstream may take one more request.
    pub(crate) fn is_free(&self, key: SeatKey, now: Time) -> bool {
        self.slots.get(key).is_some_and(|seat| seat.is_free(now))
    }

    /// Returns the keys of all upstreams.
    pub(crate) fn keys(&self) -> Vec<SeatKey> {
        self.slots.keys().collect()
    }

    /// Returns what the upstream can serve.
    pub(crate) fn targets(&self, key: SeatKey) -> &HashSet<Name> {
        &self.slots[key].targets
    }

    /// Reports whether the work may go to the upstream: it has not failed the
    /// work, or every other one has failed it too.
    pub(crate) fn suits(&self, key: SeatKey, work: &Work) -> bool {
        let failed = |k: &SeatKey| work.avoid.contains(&self.slots[*k].state.name);
        if !failed(&key) {
            return true;
        }
        let others = self.having(&work.target()).iter();
        !others
            .filter(|k| self.slots[**k].is_open())
            .any(|k| !failed(k))
    }

    /// Chooses an upstream that can take the work now.
    pub(crate) fn choose(
        &self,
        now: Time,
        work: &Work,
        choice: &mut dyn ChooseUpstream,
    ) -> Option<SeatKey> {
        let having = self.having(&work.target()).iter().copied();
        let free = having.filter(|k| self.slots[*k].is_free(now) && self.suits(*k, work));
        let free: Vec<SeatKey> = free.collect();
        if free.is_empty() {
            return None;
        }
        let candidate = |k: &SeatKey| self.slots[*k].candidate(work, &self.centre, self.pace);
        let candidates: Vec<Candidate<'_>> = free.iter().map(candidate).collect();
        Some(free[choice.choose(work, &candidates)])
    }

    /// Counts a request as running, and returns its upstream's name.
    pub(crate) fn assign(&mut self, now: Time, key: SeatKey, work: &Work) -> Name {
        let seat = &mut self.slots[key];
        seat.assign(work);
        let running = Running {
            seat: key,
            since: now,
            tokens: work.tokens,
        };
        self.running.insert(work.id, running);
        seat.state.name.clone()
    }

    /// Notes that a request ended, and returns its upstream if it is known.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: u64,
        healthy: bool,
        backoff: Duration,
    ) -> Option<SeatKey> {
        let running = self.running.remove(&id)?;
        let seat = self.slots.get_mut(running.seat)?;
        seat.finish(now, healthy, backoff);
        if healthy {
            let took = now.since(running.since);
            seat.learn(took, running.tokens);
            self.pace = average(self.pace, seat.pace);
            self.span = average(self.span, took.as_secs_f64() * 1e6);
        }
        Some(running.seat)
    }

    /// Returns the data centres whose leaders are to be asked for a model, one
    /// after the other until one helps.
    ///
    /// All routers begin alike, so that first requests in several data centres
    /// lead to one load: where the model is or is being loaded, or else where
    /// its checkpoint is nearest. Adapters go where their model is. A loaded
    /// model is asked for only since it is too busy, and then at home first.
    pub(crate) fn best_centres(&self, model: &Name, is_adapter: bool) -> Vec<Name> {
        let is_loaded = !self.having(model).is_empty();
        let mut best: BTreeMap<&Name, Standing> = BTreeMap::new();
        let open = self.slots.values().filter(|s| s.is_open());
        for seat in open.filter(|s| s.state.kind == UpstreamKind::Runner) {
            let state = &seat.state;
            let is_home = state.centre == self.centre;
            let standing = Standing {
                is_far: is_loaded && !is_home && (!is_adapter || !state.has_model(model)),
                is_away: is_adapter && !state.has_model(model),
                is_still: !state.is_loading(model),
                checkpoint: Checkpoint::of(state, model),
                spread: spread(model, &state.centre),
            };
            let known = best.entry(&state.centre).or_insert(standing);
            *known = (*known).min(standing);
        }
        let mut ranked: Vec<(Standing, &Name)> = best.into_iter().map(|(c, s)| (s, c)).collect();
        ranked.sort();
        ranked
            .into_iter()
            .map(|(_, centre)| centre.clone())
            .collect()
    }

    /// Counts the data centres that have open upstreams.
    pub(crate) fn centres(&self) -> usize {
        let open = self.slots.values().filter(|s| s.is_open());
        let centres: BTreeSet<&Name> = open.map(|s| &s.state.centre).collect();
        centres.len()
    }

    /// Returns the tokens a second that one running request gets.
    pub(crate) fn pace(&self) -> u32 {
        if self.pace <= 0.0 {
            return 0;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped"
        )]
        let pace = (1e6 / self.pace).clamp(1.0, 1e6) as u32;
        pace
    }

    /// Estimates how long it takes until `ahead` requests for the target have
    /// ended, from how fast this router's own end.
    pub(crate) fn wait(&self, target: &Name, ahead: usize) -> Duration {
        let having = self.having(target).iter();
        let own: u32 = having.map(|k| self.slots[*k].assigned).sum();
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let turns = ahead as f64 / f64::from(own.max(1));
        Duration::from_secs_f64(turns * self.span / 1e6)
    }
}
