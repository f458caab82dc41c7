use std::time::Duration;

/// When prompt parts are quarantined and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineSettings {
    /// The number of crashes in a row that lead to a quarantine.
    pub crashes: usize,
    /// The limit on further crashes that are needed when a part might be sound.
    pub max_doubts: usize,
    /// The longest time between the beginning of an answer and a crash that
    /// gateways report.
    pub onset: Duration,
    /// The time from the last of these crashes to the decision, in which
    /// evidence and successes arrive from other gateways.
    pub settling: Duration,
    /// The time from the first report of the first of these crashes to the
    /// decision, in which gateways learn of the suspect and report successes.
    pub hearing: Duration,
    /// The longest further delay of a decision while other parts explain the
    /// crashes as well.
    pub patience: Duration,
    /// The time for which evidence is kept.
    pub retention: Duration,
    /// The length of the first quarantine of a part. It doubles with each
    /// further one.
    pub duration: Duration,
    /// The limit on the length of a quarantine.
    pub max_duration: Duration,
    /// The time after a quarantine in which a single crash leads to the next
    /// one.
    pub probation: Duration,
    /// The interval at which a gateway admits one request with a part on
    /// probation.
    pub trial_interval: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 4,
            max_doubts: 2,
            onset: Duration::from_secs(1),
            settling: Duration::from_millis(500),
            hearing: Duration::from_secs(1),
            patience: Duration::from_secs(1),
            retention: Duration::from_mins(10),
            duration: Duration::from_mins(10),
            max_duration: Duration::from_hours(2),
            probation: Duration::from_mins(30),
            trial_interval: Duration::from_mins(5),
        }
    }
}
