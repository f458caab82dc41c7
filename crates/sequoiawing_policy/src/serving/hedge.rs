use sequoiawing_types::Time;
use std::time::Duration;

/// The limits of a [`Hedge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeSettings {
    /// How long the first upstream may be silent before another is tried.
    pub silence: Duration,
    /// The maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
}

/// One of the two attempts of a [`Hedge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeAttempt {
    /// The attempt that was waited for from the start, or that took its place.
    First,
    /// The attempt that was started while the first one was silent.
    Second,
}

/// An input of a [`Hedge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeEvent {
    /// The time returned by [`Hedge::due`] has come.
    Elapsed,
    /// The search found an upstream, and the request is being sent to it. A
    /// second attempt that was open before is cancelled.
    Sent,
    /// The search found no upstream, or the retry budget is used up.
    NotFound,
    /// An attempt was answered.
    Answered(HedgeAttempt),
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: HedgeAttempt,
        /// Whether any part of the request was sent.
        was_sent: bool,
    },
}

/// An output of a [`Hedge`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeAction {
    /// Search another upstream; answered by [`HedgeEvent::Sent`] or
    /// [`HedgeEvent::NotFound`].
    Search,
    /// Use the answer of an attempt and cancel the other attempt.
    Use(HedgeAttempt),
    /// The first attempt failed, and the second one takes its place.
    Promote,
    /// No attempt is left.
    Fail,
}

/// Decides when a request whose upstream is silent is sent to another one, and
/// whose answer is used.
///
/// The silent upstream is kept until another one has answered, since a sound
/// upstream may pause and the other one may refuse the request. At most two
/// attempts run at the same time; a second one that is silent as well gives way
/// to a further one.
#[derive(Clone, Debug)]
pub struct Hedge {
    settings: HedgeSettings,
    attempts: u32,
    search_at: Time,
    is_first_open: bool,
    is_second_open: bool,
}

impl Hedge {
    /// Starts to wait for the first attempt. `attempts` counts it and those
    /// before it.
    pub fn new(now: Time, settings: HedgeSettings, attempts: u32) -> Self {
        Self {
            settings,
            attempts,
            search_at: now + settings.silence,
            is_first_open: true,
            is_second_open: false,
        }
    }

    /// Returns the time of the next search; `None` if no further attempt may
    /// start.
    pub fn due(&self) -> Option<Time> {
        let may_search = self.is_first_open && self.attempts < self.settings.max_attempts;
        may_search.then_some(self.search_at)
    }

    /// Returns the number of attempts that were sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: HedgeEvent, out: &mut Vec<HedgeAction>) {
        match event {
            HedgeEvent::Elapsed => {
                if self.due().is_some_and(|due| now >= due) {
                    out.push(HedgeAction::Search);
                }
            }
            HedgeEvent::Sent => {
                self.attempts += 1;
                self.is_second_open = true;
                self.search_at = now + self.settings.silence;
            }
            HedgeEvent::NotFound => self.search_at = now + self.settings.silence,
            HedgeEvent::Answered(attempt) => {
                self.is_first_open = false;
                self.is_second_open = false;
                out.push(HedgeAction::Use(attempt));
            }
            HedgeEvent::Failed { attempt, was_sent } => {
                self.attempts -= u32::from(!was_sent);
                match attempt {
                    HedgeAttempt::First if self.is_second_open => {
                        self.is_second_open = false;
                        out.push(HedgeAction::Promote);
                    }
                    HedgeAttempt::First => {
                        self.is_first_open = false;
                        out.push(HedgeAction::Fail);
                    }
                    HedgeAttempt::Second => {
                        self.is_second_open = false;
                        self.search_at = now + self.settings.silence;
                    }
                }
            }
        }
    }
}
