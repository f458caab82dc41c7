use super::room::Room;
use crate::serving::PlaceCandidate;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

/// Settings of a [`PlaceKeeper`].
#[derive(Clone, Copy, Debug)]
pub struct PlaceSettings {
    /// How long after the start of a term hosts may still hold places that the keeper
    /// does not know of.
    pub settle_time: Duration,
    /// The part of the room that is given out until then.
    pub settle_part: f64,
    /// How long the places of a host that is not heard count as taken. A crashed host is
    /// restarted or replaced within this time.
    pub host_timeout: Duration,
    /// How long an upstream without places is remembered.
    pub room_timeout: Duration,
}

impl Default for PlaceSettings {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(1_500),
            settle_part: 0.5,
            host_timeout: Duration::from_secs(20),
            room_timeout: Duration::from_mins(1),
        }
    }
}

/// A place that a host holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldPlace {
    /// The host's number for the place.
    pub id: u64,
    /// The upstream.
    pub upstream: Name,
    /// The start of the upstream.
    pub epoch: u64,
}

#[derive(Clone, Debug)]
struct Holder {
    incarnation: u64,
    heard: Time,
    /// The places by number: upstream and its start.
    places: BTreeMap<u64, (Name, u64)>,
}

/// Gives out the places at brittle upstreams to the hosts that have requests for them.
///
/// Places of all hosts together are at most what an upstream takes: its slots, or the
/// number at which it last rejected a request. Calls are idempotent, and hosts name from
/// time to time what they hold, so that lost and repeated messages do no lasting harm.
#[derive(Clone, Debug, Default)]
pub struct PlaceKeeper {
    settings: PlaceSettings,
    term: u64,
    since: Time,
    rooms: BTreeMap<Name, (Room, Time)>,
    holders: BTreeMap<Name, Holder>,
}

impl PlaceKeeper {
    /// Creates a keeper that knows of no places.
    pub fn new(settings: PlaceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the term of the keeper.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Starts to give out places in a new term. Hosts hold places of the former keeper.
    pub fn set_term(&mut self, now: Time, term: u64) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.since = now;
        self.rooms.clear();
        self.holders.clear();
    }

    /// Returns the number of places that are taken at a start of an upstream.
    pub fn taken(&self, upstream: &Name, epoch: u64) -> u32 {
        let room = self.rooms.get(upstream);
        let room = room.filter(|(room, _)| room.epoch == epoch);
        room.map_or(0, |(room, _)| room.taken)
    }

    /// Takes a place for a host at the first upstream that has one; returns its index.
    ///
    /// # Errors
    ///
    /// Returns when the request may come back if no upstream has a place. `draw`, from 0
    /// to 1, spreads the requests that are refused at the same time.
    pub fn take(
        &mut self,
        now: Time,
        host: (&Name, u64),
        id: u64,
        candidates: &[PlaceCandidate],
        draw: f64,
    ) -> Result<usize, Duration> {
        let Some(known) = self.holder(now, host).map(|holder| holder.places.get(&id)) else {
            return Err(self.settings.settle_time);
        };
        if let Some(index) = known.and_then(|(name, epoch)| {
            let is_same = |c: &PlaceCandidate| c.name == *name && c.epoch == *epoch;
            candidates.iter().position(is_same)
        }) {
            return Ok(index);
        }
        self.end(now, host, id, false);
        let is_settled = now.since(self.since) >= self.settings.settle_time;
        let part = if is_settled {
            1.0
        } else {
            self.settings.settle_part
        };
        let mut retry = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(room) = self.room(now, candidate) else {
                continue;
            };
            if !room.take(now, candidate.tolerance, part) {
                let next = room.retry(now, draw);
                retry = Some(retry.map_or(next, |known: Duration| known.min(next)));
                continue;
            }
            let place = (candidate.name.clone(), candidate.epoch);
            if let Some(holder) = self.holders.get_mut(host.0) {
                holder.places.insert(id, place);
            }
            return Ok(index);
        }
        Err(retry.unwrap_or(self.settings.settle_time))
    }

    /// Gives back a place of a host; `is_rejected` if the upstream rejected the request
    /// for want of room.
    pub fn end(&mut self, now: Time, host: (&Name, u64), id: u64, is_rejected: bool) {
        let Some(holder) = self.holder(now, host) else {
            return;
        };
        let Some(place) = holder.places.remove(&id) else {
            return;
        };
        self.free(&place);
        if is_rejected
            && let Some((room, _)) = self.rooms.get_mut(&place.0)
            && room.epoch == place.1
        {
            room.record_rejection(now);
        }
    }

    /// Replaces the places of a host by those that it says it holds, but for those taken
    /// since `first_new`, the number of the first one that it may not know of.
    pub fn set_held(&mut self, now: Time, host: (&Name, u64), first_new: u64, held: &[HeldPlace]) {
        let Some(holder) = self.holder(now, host) else {
            return;
        };
        let later = holder.places.split_off(&first_new);
        let former = std::mem::replace(&mut holder.places, later);
        for place in former.values() {
            self.free(place);
        }
        for place in held {
            let entry = self.rooms.entry(place.upstream.clone());
            // How much it takes is told with the next candidate.
            let (room, used) = entry.or_insert_with(|| (Room::new(now, place.epoch, 0), now));
            if room.epoch != place.epoch {
                continue;
            }
            room.taken += 1;
            *used = now;
            if let Some(holder) = self.holders.get_mut(host.0) {
                let start = (place.upstream.clone(), place.epoch);
                holder.places.insert(place.id, start);
            }
        }
    }

    /// Drops the places of hosts that have not been heard for long.
    pub fn expire(&mut self, now: Time) {
        let timeout = self.settings.host_timeout;
        let is_lost = |holder: &Holder| now.since(holder.heard) > timeout;
        let lost: Vec<Name> = self
            .holders
            .iter()
            .filter(|(_, holder)| is_lost(holder))
            .map(|(host, _)| host.clone())
            .collect();
        for host in lost {
            self.drop_holder(&host);
        }
        let timeout = self.settings.room_timeout;
        self.rooms
            .retain(|_, (room, used)| room.taken > 0 || now.since(*used) <= timeout);
    }

    /// Returns a host's places; `None` if a later process of the host is known.
    fn holder(&mut self, now: Time, (host, incarnation): (&Name, u64)) -> Option<&mut Holder> {
        let known = self.holders.get(host).map(|holder| holder.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return None;
        }
        if known.is_some_and(|known| known < incarnation) {
            // The requests of the former process ended with it.
            self.drop_holder(host);
        }
        let holder = match self.holders.entry(host.clone()) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(Holder {
                incarnation,
                heard: now,
                places: BTreeMap::new(),
            }),
        };
        holder.heard = now;
        Some(holder)
    }

    fn drop_holder(&mut self, host: &Name) {
        let holder = self.holders.remove(host);
        for place in holder.iter().flat_map(|holder| holder.places.values()) {
            self.free(place);
        }
    }

    fn free(&mut self, (upstream, epoch): &(Name, u64)) {
        if let Some((room, _)) = self.rooms.get_mut(upstream)
            && room.epoch == *epoch
        {
            room.leave();
        }
    }

    /// Returns the room at an upstream; `None` if a later start of it is known.
    fn room(&mut self, now: Time, candidate: &PlaceCandidate) -> Option<&mut Room> {
        let entry = self.rooms.entry(candidate.name.clone());
        let (room, used) =
            entry.or_insert_with(|| (Room::new(now, candidate.epoch, candidate.slots), now));
        if room.epoch > candidate.epoch {
            return None;
        }
        if room.epoch < candidate.epoch {
            *room = Room::new(now, candidate.epoch, candidate.slots);
        }
        room.set_slots(candidate.slots);
        *used = now;
        Some(room)
    }
}
