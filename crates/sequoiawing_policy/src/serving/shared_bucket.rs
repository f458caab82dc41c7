use sequoiawing_types::Time;
use std::time::Duration;

/// The micro-units in a unit.
const MICRO: i128 = 1_000_000;

/// The parts of what is left, of as many as there are hosts, that each may spend
/// at least: a host that others spare takes a burst without being refused.
const LEAST_PARTS: f64 = 2.0;

/// The time over which a host's part of a customer's use is measured.
const USE_WINDOW: Duration = Duration::from_secs(2);

/// What a host knows of the others when it admits a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateView {
    /// The hosts that admit requests.
    pub hosts: u32,
    /// Those among them that may admit without being heard of.
    pub missing: u32,
    /// Whether this host is cut off from all that add up.
    pub is_cut_off: bool,
}

impl RateView {
    /// Returns the part of a total that this host and those it hears of may
    /// use, of `hosts` parts.
    fn parts(&self) -> (u64, u64) {
        let hosts = u64::from(self.hosts.max(1));
        let used = if self.is_cut_off {
            1
        } else {
            hosts.saturating_sub(u64::from(self.missing)).max(1)
        };
        (used, hosts)
    }
}

/// One customer's rate and burst, shared by several hosts that tell each other
/// what they admitted.
///
/// Each host keeps the whole bucket and takes out of it what all of them used.
/// Until it hears of the others again it spends only its part of what was left,
/// so that hosts that do not know of each other's latest requests overrun the
/// total by little.
#[derive(Clone, Debug)]
pub struct SharedRate {
    rate: u64,
    burst: u64,
    /// What is left, in millionths of a unit; below zero when hosts spent the
    /// same credit.
    level: i128,
    updated: Time,
    /// What this host may spend until it hears of the others.
    allowance: i128,
    /// What this host has admitted, less what was returned before it was
    /// counted.
    own: u64,
    /// What was returned after it was counted, and is not counted again.
    returned: u64,
    /// What the others had used by the last news.
    others: Option<u64>,
    window: Time,
    own_recent: u64,
    others_recent: u64,
    own_part: f64,
}

impl SharedRate {
    /// Returns a full bucket.
    pub fn new(now: Time, rate: u64, burst: u64) -> Self {
        let level = i128::from(burst) * MICRO;
        Self {
            rate,
            burst,
            level,
            updated: now,
            allowance: level,
            own: 0,
            returned: 0,
            others: None,
            window: now,
            own_recent: 0,
            others_recent: 0,
            own_part: 0.0,
        }
    }

    /// Puts another rate and burst in force.
    pub fn set_limits(&mut self, now: Time, rate: u64, burst: u64, view: RateView) {
        self.refill(now, view);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(i128::from(burst) * MICRO);
    }

    /// Returns what this host has admitted.
    pub fn used(&self) -> u64 {
        self.own
    }

    /// Takes in what all hosts have used in the count of one that adds up, of
    /// which `own` is this host's. `is_new` says that it is another count.
    pub fn hear(&mut self, now: Time, total: u64, own: u64, is_new: bool, view: RateView) {
        self.refill(now, view);
        let others = total.saturating_sub(own);
        let former = self.others.filter(|_| !is_new);
        let fresh = former.map_or(0, |former| others.saturating_sub(former));
        self.others = Some(others);
        self.level -= i128::from(fresh) * MICRO;
        self.others_recent += fresh;
        self.measure(now);
        self.allow(view);
    }

    /// Admits a request of so many units, or returns when there should be
    /// credit again.
    ///
    /// Any credit admits a request of any size, and the rest is owed: small
    /// requests would otherwise use up what a large one waits for.
    ///
    /// # Errors
    ///
    /// Returns the time until asking again may help.
    pub fn admit(&mut self, now: Time, units: u64, view: RateView) -> Result<(), Duration> {
        self.refill(now, view);
        let cost = i128::from(units) * MICRO;
        let left = self.level.min(self.allowance);
        if left <= 0 {
            let owed = u64::try_from(-left / MICRO).unwrap_or(u64::MAX);
            return Err(self.time_for(owed.saturating_add(1), view));
        }
        self.level -= cost;
        self.allowance -= cost;
        let again = units.min(self.returned);
        self.returned -= again;
        self.own += units - again;
        self.own_recent += units;
        Ok(())
    }

    /// Gives back what a request was admitted for that did not run.
    pub fn give_back(&mut self, units: u64) {
        let cost = i128::from(units) * MICRO;
        self.level += cost;
        self.allowance += cost;
        self.returned += units;
    }

    fn time_for(&self, units: u64, view: RateView) -> Duration {
        let (part, parts) = view.parts();
        let rate = (self.rate * part / parts).max(1);
        Duration::from_micros(units.saturating_mul(1_000_000) / rate)
    }

    fn refill(&mut self, now: Time, view: RateView) {
        let micros = i128::try_from(now.since(self.updated).as_micros()).unwrap_or(i128::MAX);
        self.updated = self.updated.max(now);
        let (part, parts) = view.parts();
        let earned = i128::from(self.rate) * i128::from(part) * micros / i128::from(parts);
        let full = i128::from(self.burst) * MICRO;
        let full = if view.is_cut_off {
            full / i128::from(parts)
        } else {
            full
        };
        self.level = (self.level + earned).min(full);
        // Until the others are heard of, a host earns its own part alone.
        self.allowance += earned / i128::from(part);
    }

    /// Measures which part of the customer's requests comes to this host.
    fn measure(&mut self, now: Time) {
        if now.since(self.window) < USE_WINDOW {
            return;
        }
        let total = self.own_recent + self.others_recent;
        #[expect(clippy::cast_precision_loss, reason = "a part needs few digits")]
        let part = self.own_recent as f64 / total.max(1) as f64;
        self.own_part = part;
        self.own_recent = 0;
        self.others_recent = 0;
        self.window = now;
    }

    /// Sets what this host may spend until it hears of the others again.
    fn allow(&mut self, view: RateView) {
        let least = LEAST_PARTS / f64::from(view.hosts.max(1));
        let part = self.own_part.max(least).min(1.0);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            reason = "a bucket is far below 2^52 units"
        )]
        let allowance = (self.level.max(0) as f64 * part) as i128;
        self.allowance = allowance;
    }
}
