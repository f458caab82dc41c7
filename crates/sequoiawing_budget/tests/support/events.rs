use super::{
    InjectedFault, Node, World,
    world::{Event, name},
};
use sequoiawing_budget::{BorrowRequest, Reply, Share, Watermark};

/// Handlers for messages and other events.
impl World {
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::ToOwner(c, term, request) => self.handle_centre_request(c, term, &request),
            Event::ToCentre(c, term, reply) => self.handle_centre_reply(c, term, &reply),
            Event::RecallCentre(c) => self.request_from_owner(c),
            Event::ToLeader(c, r, incarnation, request) => {
                self.handle_router_request(c, r, incarnation, &request);
            }
            Event::ToRouter(c, r, incarnation, reply) => {
                let router = &mut self.cells[c].routers[r];
                if router.incarnation == incarnation {
                    let now = router.clock.now(self.now);
                    router.admission.handle_reply(now, &reply);
                    self.poll_router(c, r);
                }
            }
            Event::RecallRouter(c, r) => self.request_from_leader(c, r),
            Event::Committed(term, watermark) => self.handle_commit(term, &watermark),
            Event::End(c, r, incarnation, charge, used, index) => {
                let router = &mut self.cells[c].routers[r];
                let is_active = router.active.remove(&index).is_some();
                if is_active && router.incarnation == incarnation {
                    let now = router.clock.now(self.now);
                    router.admission.settle(now, charge, used);
                    self.settle(index, used);
                }
            }
        }
    }

    fn handle_centre_request(&mut self, c: usize, term: u64, request: &BorrowRequest) {
        let centres = self.settings.centres;
        let Some(owner) = &mut self.owner else {
            return;
        };
        let now = owner.clock.now(self.now);
        let equal = Share::equal(centres);
        owner.lender.set_shares(now, [(name(c), equal)]);
        let mut reply = owner.lender.handle(now, &name(c), request);
        reply.lease = reply.lease.min(self.settings.timing.lease);
        self.network.count(Node::Owner, &reply);
        if self.settings.injected_fault == InjectedFault::ShareBeforeRelease {
            reply.share = Share::WHOLE;
        }
        self.post(Node::Owner, Node::Centre(c), || {
            Event::ToCentre(c, term, reply.clone())
        });
        self.poll_owner();
    }

    fn handle_centre_reply(&mut self, c: usize, term: u64, reply: &Reply) {
        let cell = &mut self.cells[c];
        if cell.term != term {
            return;
        }
        let clock = cell.routers[cell.leader].clock;
        if let Some(centre) = &mut cell.centre {
            centre.handle_reply(clock.now(self.now), reply);
        }
        self.poll_centre(c);
    }

    fn handle_router_request(
        &mut self,
        c: usize,
        r: usize,
        incarnation: u64,
        request: &BorrowRequest,
    ) {
        let cell = &mut self.cells[c];
        let clock = cell.routers[cell.leader].clock;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let mut reply = centre.handle(clock.now(self.now), &name(r), request);
        if self.settings.injected_fault == InjectedFault::LeaseNotWaited && reply.joined {
            reply.lease = self.settings.timing.lease;
        }
        self.post(Node::Centre(c), Node::Router(c, r), || {
            Event::ToRouter(c, r, incarnation, reply.clone())
        });
        self.poll_centre(c);
    }

    fn handle_commit(&mut self, term: u64, watermark: &Watermark) {
        let is_newer = self.log.as_ref().is_none_or(|l| l.term <= term);
        // A successor has already read the log, so the pending commit is lost.
        if term != self.term || !is_newer {
            return;
        }
        self.log = Some(watermark.clone());
        if let Some(owner) = &mut self.owner {
            owner.lender.commit(owner.clock.now(self.now), watermark);
        }
    }
}
