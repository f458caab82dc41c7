//! Gives out places at brittle upstreams, at the leader's hub.

use crate::hub::{HubState, millis};
use sequoiawing_link::{PlaceCall, PlaceReply};
use sequoiawing_policy::serving::{HeldPlace, PlaceCandidate};

impl HubState {
    /// Processes a gateway's call about places if this host leads.
    pub(crate) fn handle_places(&self, call: PlaceCall) -> PlaceReply {
        let Some(leadership) = self.handle.leadership() else {
            let leader = self.handle.status().leader;
            return PlaceReply {
                leader: leader.map(|address| address.ip()),
                ..PlaceReply::default()
            };
        };
        let now = self.now();
        let host = (&call.host, call.incarnation);
        let mut keeper = self.places.lock();
        let term = leadership.term;
        if keeper.term() != term {
            log::info!(target: "hub", term = term; "Giving out places at brittle upstreams.");
            keeper.set_term(now, term);
        }
        for (id, is_rejected) in call.ended {
            keeper.end(now, host, id, is_rejected);
        }
        if let Some(held) = call.held {
            let places = held.places.into_iter().map(|place| HeldPlace {
                id: place.id,
                upstream: place.upstream,
                epoch: place.epoch,
            });
            let places: Vec<HeldPlace> = places.collect();
            keeper.set_held(now, host, held.first_new, &places);
        }
        let mut reply = PlaceReply {
            term,
            ..PlaceReply::default()
        };
        let Some(wanted) = call.wanted else {
            return reply;
        };
        let candidates = wanted.targets.into_iter().map(|target| PlaceCandidate {
            name: target.upstream,
            epoch: target.epoch,
            slots: target.slots,
            tolerance: target.tolerance,
        });
        let candidates: Vec<PlaceCandidate> = candidates.collect();
        let draw = rand::random();
        match keeper.take(now, host, wanted.id, &candidates, draw) {
            Ok(index) => reply.given = Some(index),
            Err(retry) => reply.retry = millis(retry),
        }
        reply
    }
}
