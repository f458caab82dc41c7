use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The limits of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSpec {
    /// The loads that may start per second.
    pub load_rate: f64,
    /// The concurrent loads that run at full speed.
    pub slots: u32,
}

/// A model transfer from the store.
#[derive(Clone, Debug)]
struct Transfer {
    runner: usize,
    epoch: u64,
    model: Name,
    /// The remaining time at full speed, in seconds.
    remaining_s: f64,
}

/// A simulated weight store. Transfers beyond its slots share its bandwidth.
#[derive(Clone, Debug)]
pub(crate) struct FakeStore {
    spec: StoreSpec,
    speed: f64,
    transfers: Vec<Transfer>,
    updated: Time,
    next_start: Time,
    /// Incremented at each change, so that end times computed earlier are
    /// ignored.
    pub(crate) version: u64,
}

/// The remaining time, in seconds, below which a transfer counts as complete.
const END_TOLERANCE_S: f64 = 1e-7;

impl FakeStore {
    pub(crate) fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            speed: 1.0,
            transfers: Vec::new(),
            updated: Time::ZERO,
            next_start: Time::ZERO,
            version: 0,
        }
    }

    /// Reserves the next start slot and returns its time.
    pub(crate) fn reserve_start(&mut self, now: Time) -> Time {
        let start = self.next_start.max(now);
        self.next_start = start + Duration::from_secs_f64(1.0 / self.spec.load_rate);
        start
    }

    fn rate(&self) -> f64 {
        let running = u32::try_from(self.transfers.len()).unwrap_or(u32::MAX);
        let active = f64::from(running.max(self.spec.slots));
        self.speed * f64::from(self.spec.slots) / active
    }

    /// Advances all transfers to `now`.
    fn advance(&mut self, now: Time) {
        let transferred_s = now.since(self.updated).as_secs_f64() * self.rate();
        for transfer in &mut self.transfers {
            transfer.remaining_s -= transferred_s;
        }
        self.updated = now;
        self.version += 1;
    }

    pub(crate) fn start_transfer(
        &mut self,
        now: Time,
        runner: usize,
        epoch: u64,
        model: Name,
        duration: Duration,
    ) {
        self.advance(now);
        self.transfers.push(Transfer {
            runner,
            epoch,
            model,
            remaining_s: duration.as_secs_f64(),
        });
    }

    pub(crate) fn set_speed(&mut self, now: Time, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Removes the transfers for which `is_aborted` returns true.
    pub(crate) fn abort<F>(&mut self, now: Time, is_aborted: F)
    where
        F: Fn(usize, &Name) -> bool,
    {
        self.advance(now);
        self.transfers.retain(|t| !is_aborted(t.runner, &t.model));
    }

    /// Removes and returns the completed transfers.
    pub(crate) fn take_ended(&mut self, now: Time) -> Vec<(usize, u64, Name)> {
        self.advance(now);
        let (ended, running): (Vec<Transfer>, Vec<Transfer>) = self
            .transfers
            .drain(..)
            .partition(|t| t.remaining_s <= END_TOLERANCE_S);
        self.transfers = running;
        let ended = ended.into_iter();
        ended.map(|t| (t.runner, t.epoch, t.model)).collect()
    }

    /// Returns the end time of the next transfer to complete.
    pub(crate) fn next_end(&self) -> Option<Time> {
        let least = self
            .transfers
            .iter()
            .map(|t| t.remaining_s)
            .reduce(f64::min)?;
        let wait_s = (least / self.rate()).max(0.0);
        Some(self.updated + Duration::from_secs_f64(wait_s) + Duration::from_micros(1))
    }
}
