use super::HeldPlace;
use sequoiawing_types::Name;
use std::collections::{BTreeMap, BTreeSet};

/// A place that a host gives back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedPlace {
    /// The host's number for the place.
    pub id: u64,
    /// Whether the upstream rejected the request for want of room.
    pub is_rejected: bool,
}

/// The places of one host at brittle upstreams.
#[derive(Clone, Debug, Default)]
pub struct PlaceHolder {
    next: u64,
    /// The places that the keeper has been asked for and that it may have given.
    asked: BTreeSet<u64>,
    held: BTreeMap<u64, HeldPlace>,
    ended: Vec<EndedPlace>,
    /// Whether the keeper may have given a place that is not used.
    may_have_unused: bool,
    /// The term of the keeper that knows of all places.
    term: u64,
}

impl PlaceHolder {
    /// Returns a number for a place that the keeper is asked for.
    pub fn ask(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        self.asked.insert(id);
        id
    }

    /// Returns whether the keeper's reply is still waited for.
    pub fn is_asked(&self, id: u64) -> bool {
        self.asked.contains(&id)
    }

    /// Ends the wait for a place. One that the keeper gives nevertheless is taken back when
    /// it hears which places the host holds.
    pub fn give_up(&mut self, id: u64) {
        self.may_have_unused |= self.asked.remove(&id);
    }

    /// Records that a request uses a place.
    pub fn hold(&mut self, id: u64, upstream: Name, epoch: u64) {
        self.asked.remove(&id);
        let place = HeldPlace {
            id,
            upstream,
            epoch,
        };
        self.held.insert(id, place);
    }

    /// Records that the request of a place has ended.
    pub fn end(&mut self, id: u64, is_rejected: bool) {
        if self.held.remove(&id).is_some() {
            self.ended.push(EndedPlace { id, is_rejected });
        }
    }

    /// Returns whether the keeper has anything to be told.
    pub fn has_places(&self) -> bool {
        !self.held.is_empty() || !self.ended.is_empty() || self.may_have_unused
    }

    /// Returns the ended places that the keeper has not been told of.
    pub fn take_ended(&mut self) -> Vec<EndedPlace> {
        std::mem::take(&mut self.ended)
    }

    /// Keeps ended places of which the keeper could not be told.
    pub fn restore_ended(&mut self, ended: Vec<EndedPlace>) {
        self.ended.extend(ended);
    }

    /// Returns the places that are held, and the first number of which the keeper may know
    /// more.
    pub fn held(&mut self) -> (u64, Vec<HeldPlace>) {
        self.may_have_unused = false;
        let first_new = self.asked.first().copied().unwrap_or(self.next);
        let held = self.held.range(..first_new);
        (first_new, held.map(|(_, place)| place.clone()).collect())
    }

    /// Records the term of the keeper that answered; returns whether it is a new one, which
    /// has to be told of the places.
    pub fn observe_term(&mut self, term: u64) -> bool {
        let is_new = term > self.term;
        self.term = self.term.max(term);
        is_new
    }
}
