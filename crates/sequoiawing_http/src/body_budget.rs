//! Decides which bodies a host holds in memory, and which uploads are ended for others.

use sequoiawing_types::Time;
use std::{collections::BTreeMap, time::Duration};

/// How long an upload may make no progress before it is the first to be ended when room is
/// short. Sound callers pause for less.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// The bounds of a [`BodyBudget`](crate::BodyBudget), in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// All bodies together.
    pub total: usize,
    /// The part of `total` that only small bodies take.
    pub reserve: usize,
    /// The size up to which a body is small.
    pub small: usize,
}

/// Identifies a body for which room is reserved.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct BodyId(u64);

/// The decision on a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Grant {
    /// The bytes are reserved.
    Granted,
    /// Room is being made: the given uploads are to end now, and the reservation is to be
    /// tried again when bytes are released.
    Wait(Vec<BodyId>),
    /// There is no room, or the upload was ended for another one.
    Refused,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It is being read, and may be ended.
    Arriving,
    /// It is to end, and its bytes will be released.
    Ending,
    /// It may have been used, and is kept.
    Kept,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    held: usize,
    /// The size that it is expected to reach.
    expected: usize,
    progressed: Time,
    phase: Phase,
}

/// Counts the bytes of all bodies that a host holds.
///
/// An upload that gets no room ends others that have made no progress for some time or that
/// are farther from their end than itself, in this order. A body that was read completely is
/// never ended, as its request may have been sent.
#[derive(Debug)]
pub(crate) struct Accounts {
    limits: BudgetLimits,
    bodies: BTreeMap<BodyId, Account>,
    last_id: u64,
    held: usize,
}

impl Accounts {
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            bodies: BTreeMap::new(),
            last_id: 0,
            held: 0,
        }
    }

    /// Begins an upload, which is expected to reach `expected` bytes.
    pub(crate) fn begin(&mut self, now: Time, expected: usize) -> BodyId {
        self.insert(now, expected, Phase::Arriving)
    }

    /// Begins a body that is never ended for others, such as a response.
    pub(crate) fn begin_kept(&mut self, now: Time) -> BodyId {
        self.insert(now, 0, Phase::Kept)
    }

    fn insert(&mut self, now: Time, expected: usize, phase: Phase) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let account = Account {
            held: 0,
            expected,
            progressed: now,
            phase,
        };
        self.bodies.insert(id, account);
        id
    }

    /// Returns the bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Returns whether an upload is to end.
    pub(crate) fn is_ending(&self, id: BodyId) -> bool {
        let account = self.bodies.get(&id);
        account.is_none_or(|account| account.phase == Phase::Ending)
    }

    /// Records that bytes of an upload have arrived.
    pub(crate) fn record_progress(&mut self, now: Time, id: BodyId) {
        if let Some(account) = self.bodies.get_mut(&id) {
            account.progressed = now;
        }
    }

    /// Records that an upload has arrived completely.
    pub(crate) fn keep(&mut self, id: BodyId) -> bool {
        let account = self.bodies.get_mut(&id);
        let account = account.filter(|account| account.phase != Phase::Ending);
        account.map(|account| account.phase = Phase::Kept).is_some()
    }

    /// Reserves further bytes of a body.
    pub(crate) fn reserve(&mut self, now: Time, id: BodyId, bytes: usize) -> Grant {
        let Some(account) = self.bodies.get(&id).copied() else {
            return Grant::Refused;
        };
        if account.phase == Phase::Ending {
            return Grant::Refused;
        }
        let size = account.held + bytes;
        let is_small = size <= self.limits.small;
        let missing = self.missing(id, size, is_small, bytes);
        if missing == 0 {
            self.held += bytes;
            if let Some(account) = self.bodies.get_mut(&id) {
                account.held = size;
            }
            return Grant::Granted;
        }
        self.make_room(now, id, is_small, missing)
    }

    /// Counts further bytes of a body that are held whether there is room or not.
    pub(crate) fn force(&mut self, id: BodyId, bytes: usize) {
        if let Some(account) = self.bodies.get_mut(&id) {
            account.held += bytes;
            self.held += bytes;
        }
    }

    /// Returns how many bytes have to be released before `bytes` more fit for a body that
    /// then has `size`.
    fn missing(&self, id: BodyId, size: usize, is_small: bool, bytes: usize) -> usize {
        let over_total = (self.held + bytes).saturating_sub(self.limits.total);
        if is_small {
            return over_total;
        }
        let others = self.bodies.iter().filter(|(other, _)| **other != id);
        let large = others.map(|(_, account)| account.held);
        let large: usize = large.filter(|held| *held > self.limits.small).sum();
        let allowed = self.limits.total - self.limits.reserve;
        over_total.max((large + size).saturating_sub(allowed))
    }

    /// Chooses the uploads that end so that `missing` bytes are released.
    fn make_room(&mut self, now: Time, id: BodyId, is_small: bool, missing: usize) -> Grant {
        let small = self.limits.small;
        let counts = |account: &Account| is_small || account.held > small;
        let all = self.bodies.iter();
        let mut freed: usize = all
            .clone()
            .filter(|(_, account)| account.phase == Phase::Ending && counts(account))
            .map(|(_, account)| account.held)
            .sum();
        let own = self.bodies.get(&id).copied();
        let mut worse: Vec<(BodyId, Account)> = all
            .filter(|(other, account)| {
                let can_end = account.phase == Phase::Arriving && account.held > 0;
                let is_worse = own.is_none_or(|own| {
                    own.phase == Phase::Kept || account.order(now) > own.order(now)
                });
                **other != id && can_end && counts(account) && is_worse
            })
            .map(|(other, account)| (*other, *account))
            .collect();
        worse.sort_by_key(|(_, account)| std::cmp::Reverse(account.order(now)));
        let mut ended = Vec::new();
        for (other, account) in worse {
            if freed >= missing {
                break;
            }
            freed += account.held;
            ended.push(other);
        }
        if freed < missing {
            return Grant::Refused;
        }
        for other in &ended {
            if let Some(account) = self.bodies.get_mut(other) {
                account.phase = Phase::Ending;
            }
        }
        Grant::Wait(ended)
    }

    /// Releases bytes of a body.
    pub(crate) fn release(&mut self, id: BodyId, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(account) = self.bodies.get_mut(&id) {
            account.held = account.held.saturating_sub(bytes);
        }
    }

    /// Ends a body, all of whose bytes have been released.
    pub(crate) fn end(&mut self, id: BodyId) {
        if let Some(account) = self.bodies.remove(&id) {
            self.held = self.held.saturating_sub(account.held);
        }
    }
}

impl Account {
    /// Returns the order in which uploads are ended, the first one with the largest value.
    fn order(&self, now: Time) -> (bool, usize) {
        let is_stalled = now.since(self.progressed) >= STALLED_AFTER;
        (is_stalled, self.expected.saturating_sub(self.held))
    }
}

#[cfg(test)]
mod tests;
