use super::{
    Place, Plant, World,
    world::{Event, name},
};
use sequoiawing_budget::{BorrowRequest, Reply, Share, Watermark};

/// What happens when messages and other events arrive.
impl World {
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::ToOwner(c, term, request) => self.ask_arrived(c, term, &request),
            Event::ToCentre(c, term, reply) => self.reply_arrived(c, term, &reply),
            Event::WakeCentre(c) => self.ask_owner(c),
            Event::ToLeader(c, r, incarnation, request) => {
                self.router_asked(c, r, incarnation, &request)
            }
            Event::ToRouter(c, r, incarnation, reply) => {
                let router = &mut self.cells[c].routers[r];
                if router.incarnation == incarnation {
                    let now = router.clock.now(self.now);
                    router.admission.handle_reply(now, &reply);
                    self.pump_router(c, r);
                }
            }
            Event::WakeRouter(c, r) => self.ask_leader(c, r),
            Event::Committed(term, watermark) => self.committed(term, &watermark),
            Event::End(c, r, incarnation, charge, used, index) => {
                let router = &mut self.cells[c].routers[r];
                let is_open = router.open.remove(&index).is_some();
                if is_open && router.incarnation == incarnation {
                    let now = router.clock.now(self.now);
                    router.admission.settle(now, charge, used);
                    self.settle(index, used);
                }
            }
        }
    }

    fn ask_arrived(&mut self, c: usize, term: u64, request: &BorrowRequest) {
        let centres = self.settings.centres;
        let Some(owner) = &mut self.owner else {
            return;
        };
        let now = owner.clock.now(self.now);
        let equal = Share::equal(centres);
        owner.lender.set_shares(now, [(name(c), equal)]);
        let mut reply = owner.lender.handle(now, &name(c), request);
        reply.lease = reply.lease.min(self.settings.timing.lease);
        self.network.count(Place::Owner, &reply);
        if self.settings.plant == Plant::ShareBeforeRelease {
            reply.share = Share::WHOLE;
        }
        self.post(Place::Owner, Place::Centre(c), || {
            Event::ToCentre(c, term, reply.clone())
        });
        self.pump_owner();
    }

    fn reply_arrived(&mut self, c: usize, term: u64, reply: &Reply) {
        let cell = &mut self.cells[c];
        if cell.term != term {
            return;
        }
        let clock = cell.routers[cell.leader].clock;
        if let Some(centre) = &mut cell.centre {
            centre.handle_reply(clock.now(self.now), reply);
        }
        self.pump_centre(c);
    }

    fn router_asked(&mut self, c: usize, r: usize, incarnation: u64, request: &BorrowRequest) {
        let cell = &mut self.cells[c];
        let clock = cell.routers[cell.leader].clock;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let mut reply = centre.handle(clock.now(self.now), &name(r), request);
        if self.settings.plant == Plant::LeaseNotWaited && reply.joined {
            reply.lease = self.settings.timing.lease;
        }
        self.post(Place::Centre(c), Place::Router(c, r), || {
            Event::ToRouter(c, r, incarnation, reply.clone())
        });
        self.pump_centre(c);
    }

    fn committed(&mut self, term: u64, watermark: &Watermark) {
        let is_newer = self.log.as_ref().is_none_or(|l| l.term <= term);
        // A successor has read the log; what was under way is lost.
        if term != self.term || !is_newer {
            return;
        }
        self.log = Some(watermark.clone());
        if let Some(owner) = &mut self.owner {
            owner.lender.commit(owner.clock.now(self.now), watermark);
        }
    }
}
