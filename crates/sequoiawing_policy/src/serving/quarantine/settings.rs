use sequoiawing_types::CauseKind;
use std::time::Duration;

/// When causes of crashes are quarantined and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineSettings {
    /// The number of crashes in a row that quarantine a prompt part.
    pub crashes: usize,
    /// The limit on further crashes that are needed when a part might be sound.
    pub max_doubts: usize,
    /// The number of crashes after which a request is held back that came again.
    pub request_crashes: usize,
    /// The number of attempts of callers, broken off by crashes, after which a request
    /// is held back.
    pub request_attempts: usize,
    /// How long a request is held back before its first trial.
    pub hold: Duration,
    /// The longest time between the beginning of an answer and a crash that
    /// gateways report for its prompt parts.
    pub onset: Duration,
    /// The time from the last of these crashes to the decision, in which
    /// evidence and successes arrive from other gateways.
    pub settling: Duration,
    /// The time from the first report of the first of these crashes to the
    /// decision, in which gateways learn of the suspect and report successes.
    pub hearing: Duration,
    /// The time from the last of these crashes to the decision to hold a request back.
    pub request_settling: Duration,
    /// The longest further delay of a decision while other parts explain the
    /// crashes as well.
    pub patience: Duration,
    /// The time for which evidence is kept.
    pub retention: Duration,
    /// The length of the first quarantine of a cause. It doubles with each
    /// further one.
    pub duration: Duration,
    /// The limit on the length of a quarantine.
    pub max_duration: Duration,
    /// The time after a quarantine in which a single crash leads to the next
    /// one.
    pub probation: Duration,
    /// The interval at which a gateway admits one request with a cause on
    /// probation.
    pub trial_interval: Duration,
    /// The interval at which a gateway may admit a request that is itself on
    /// probation.
    pub request_trial_interval: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 4,
            max_doubts: 2,
            request_crashes: 3,
            request_attempts: 3,
            hold: Duration::from_secs(1),
            onset: Duration::from_secs(1),
            settling: Duration::from_millis(500),
            hearing: Duration::from_secs(1),
            request_settling: Duration::from_millis(20),
            patience: Duration::from_secs(1),
            retention: Duration::from_mins(10),
            duration: Duration::from_mins(10),
            max_duration: Duration::from_hours(2),
            probation: Duration::from_mins(30),
            trial_interval: Duration::from_mins(5),
            request_trial_interval: Duration::from_secs(1),
        }
    }
}

impl QuarantineSettings {
    /// Returns the time from the last crash to a decision.
    pub(super) fn settling(&self, kind: CauseKind) -> Duration {
        match kind {
            CauseKind::PromptPart => self.settling,
            CauseKind::Request => self.request_settling,
        }
    }

    /// Returns the time from the first report of the first crash to a decision. A
    /// request is held back at once, and released if a success becomes known.
    pub(super) fn hearing(&self, kind: CauseKind) -> Duration {
        match kind {
            CauseKind::PromptPart => self.hearing,
            CauseKind::Request => Duration::ZERO,
        }
    }

    /// Returns the length of a cause's quarantine, given its number, from 1.
    pub(super) fn duration(&self, kind: CauseKind, term: u32) -> Duration {
        let number = match kind {
            CauseKind::PromptPart => term,
            CauseKind::Request if term <= 1 => return self.hold,
            CauseKind::Request => term - 1,
        };
        let factor = 1_u32.checked_shl(number.saturating_sub(1));
        let duration = self.duration.saturating_mul(factor.unwrap_or(u32::MAX));
        duration.min(self.max_duration)
    }
}
