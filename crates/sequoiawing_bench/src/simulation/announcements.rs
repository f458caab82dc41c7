//! Announcements of runners to placers and routers.

use crate::{
    Simulation,
    simulation::{event::Event, state::LIFETIME_INTERVALS},
};
use sequoiawing_policy::{DispatchEvent, PlaceEvent};
use std::time::Duration;

impl Simulation {
    pub(crate) fn announce_periodically(&mut self, runner: usize, epoch: u64) {
        if self.runners[runner].epoch != epoch || !self.runners[runner].is_alive {
            return;
        }
        self.announce(runner);
        let interval = self.settings.announce_interval;
        self.schedule(self.now + interval, Event::Announce { runner, epoch });
    }

    /// Announces a runner to all data centres and routers that can reach it.
    pub(crate) fn announce(&mut self, runner: usize) {
        if !self.runners[runner].is_serving() {
            return;
        }
        let lifetime = self.lifetime();
        let state = self.runners[runner].announce(lifetime);
        let sequence = state.sequence;
        self.runner_states[runner].last_announced = self.now;
        self.announcements[runner] = Some(state.clone());
        for centre in 0..self.centres.len() {
            if self.can_reach(centre, &self.runners[runner]) {
                self.centres[centre].last_sequences[runner] = sequence;
                self.notify_placer(centre, PlaceEvent::Announced(state.clone().into()));
            }
        }
        for router in 0..self.routers.len() {
            let centre = self.routers[router].centre;
            if self.can_reach(centre, &self.runners[runner]) {
                self.routers[router].last_sequences[runner] = sequence;
                self.notify_router(router, DispatchEvent::Announced(state.clone().into()));
            }
        }
        self.schedule(self.now + lifetime, Event::Expire { runner, sequence });
    }

    /// Announces a change at once if [`SimulationSettings::announces_changes`]
    /// is set.
    pub(crate) fn announce_change(&mut self, runner: usize) {
        if self.settings.announces_changes {
            self.announce(runner);
        }
    }

    /// Reports a runner as gone wherever `sequence` is still its latest
    /// announcement.
    pub(crate) fn expire(&mut self, runner: usize, sequence: u64) {
        let upstream = self.runners[runner].spec.name.clone();
        for centre in 0..self.centres.len() {
            if self.centres[centre].last_sequences[runner] == sequence {
                let upstream = upstream.clone();
                self.notify_placer(centre, PlaceEvent::Gone { upstream });
            }
        }
        for router in 0..self.routers.len() {
            if self.routers[router].last_sequences[runner] == sequence {
                let upstream = upstream.clone();
                self.notify_router(router, DispatchEvent::Gone { upstream });
            }
        }
    }

    /// Returns the time for which an announcement is valid.
    pub(crate) fn lifetime(&self) -> Duration {
        self.settings.announce_interval * LIFETIME_INTERVALS
    }
}
