use crate::PlaceSettings;
use sequoiawing_types::Time;

/// The data centre's part of the fleet's load budgets.
///
/// A static share applies until the first grant.
#[derive(Clone, Debug)]
pub(crate) struct Credits {
    load_slots: u32,
    adapter_slots: u32,
    starts: f64,
    /// The static share of load starts, per second. Zero once starts are
    /// granted.
    static_rate: f64,
    refilled_at: Time,
}

impl Credits {
    pub(crate) fn new(settings: &PlaceSettings) -> Self {
        Self {
            load_slots: settings.load_slots,
            adapter_slots: settings.adapter_slots,
            starts: settings.load_rate.max(1.0),
            static_rate: settings.load_rate,
            refilled_at: Time::ZERO,
        }
    }

    pub(crate) fn grant_loads(&mut self, slots: u32, starts: u32) {
        if self.static_rate > 0.0 {
            self.static_rate = 0.0;
            self.starts = 0.0;
        }
        self.load_slots = slots;
        self.starts += f64::from(starts);
    }

    /// Reverts to the static share and discards accumulated starts.
    pub(crate) fn revert_to_static(&mut self, now: Time, settings: &PlaceSettings) {
        if self.static_rate <= 0.0 {
            self.static_rate = settings.load_rate;
            self.starts = 0.0;
            self.refilled_at = now;
        }
        self.load_slots = settings.load_slots;
        self.adapter_slots = settings.adapter_slots;
    }

    pub(crate) fn grant_adapters(&mut self, slots: u32) {
        self.adapter_slots = slots;
    }

    /// Returns whether another load from the weight store may start.
    pub(crate) fn may_load(&mut self, now: Time, running: u32) -> bool {
        if self.static_rate > 0.0 {
            let span = now.since(self.refilled_at).as_secs_f64();
            self.starts = (self.starts + span * self.static_rate).min(self.static_rate.max(1.0));
            self.refilled_at = now;
        }
        running < self.load_slots && self.starts >= 1.0
    }

    pub(crate) fn take_start(&mut self) {
        self.starts -= 1.0;
    }

    /// Returns the granted starts that are still unused.
    pub(crate) fn starts(&self) -> u32 {
        let is_granted = self.static_rate <= 0.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small whole number"
        )]
        let starts = self.starts.max(0.0) as u32;
        if is_granted { starts } else { 0 }
    }

    pub(crate) fn adapter_slots(&self) -> u32 {
        self.adapter_slots
    }
}
