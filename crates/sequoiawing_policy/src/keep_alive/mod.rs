mod fixed;
mod gap_histogram;
mod learned;

pub use fixed::FixedKeepAlive;
pub use learned::{KeepAliveSettings, LearnedKeepAlive};

use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// A model to load ahead of its predicted use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Preload {
    /// The model.
    pub name: Name,
    /// How long to keep the model loaded if it is not used.
    pub hold: Duration,
}

/// Decides how long an unused model or adapter stays loaded.
///
/// See [docs/design/idleness.md](../../../docs/design/idleness.md).
pub trait KeepAlive: Send {
    /// Records that the model was used at `now`.
    fn record_use(&mut self, now: Time, name: &Name);

    /// Records the duration of one of the model's loads.
    fn record_load(&mut self, _name: &Name, _took: Duration) {}

    /// Returns how long the model stays loaded after its last use.
    fn keep_time(&self, name: &Name) -> Duration;

    /// Returns the expected time until the next use, if any was learned.
    fn time_to_use(&self, _now: Time, _name: &Name) -> Option<Duration> {
        None
    }

    /// Returns the time since the last use of the model, or [`Duration::MAX`]
    /// if it was never used.
    fn idle_time(&self, _now: Time, _name: &Name) -> Duration {
        Duration::MAX
    }

    /// Returns the models whose preload is due.
    fn preloads(&mut self, _now: Time) -> Vec<Preload> {
        Vec::new()
    }
}
