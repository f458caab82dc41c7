use sequoiawing_types::Time;
use std::time::Duration;

/// The number of micro-units in a unit.
const MICRO: i128 = 1_000_000;

/// The smallest allowance of a host between two updates, as a multiple of an
/// equal share of the remaining credit. With twice its share, a host that
/// rarely gets requests of the customer can take a burst without refusals.
const MIN_ALLOWANCE_SHARES: f64 = 2.0;

/// The credit of a host that has just started, as the time in which it accrues. The host does
/// not know what of the burst was used before. A customer within its rate needs no more
/// than what it uses between two updates.
const FIRST_CREDIT: Duration = Duration::from_millis(500);

/// The part of the burst by which all hosts may exceed the credit between two updates.
const FREE_DEBT: f64 = 0.5;

/// The weight of a request in the mean cost of the latest ones.
const COST_GAIN: f64 = 0.125;

/// The window over which a host's share of a customer's use is measured.
const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// What a host knows about its peers when it admits a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// The number of hosts that admit requests.
    pub hosts: u32,
    /// How many of them may admit requests although no updates from them
    /// arrive.
    pub missing: u32,
    /// Whether this host is partitioned from all hosts that aggregate the use.
    pub is_isolated: bool,
}

impl PeerView {
    /// Returns the share of a limit that this host and the peers it receives updates from
    /// may use, as numerator and denominator.
    fn share(&self) -> (u64, u64) {
        let hosts = u64::from(self.hosts.max(1));
        let used = if self.is_isolated {
            1
        } else {
            hosts.saturating_sub(u64::from(self.missing)).max(1)
        };
        (used, hosts)
    }
}

/// A token bucket for one customer that several hosts share by exchanging what
/// they admitted.
///
/// Each host keeps a copy of the whole bucket and deducts what all hosts used.
/// Between two updates a host spends only its allowance, a share of the
/// remaining credit, so that hosts that have not yet seen each other's latest
/// requests exceed the limit only slightly.
#[derive(Clone, Debug)]
pub struct SharedTokenBucket {
    rate: u64,
    burst: u64,
    /// The remaining credit in micro-units. Negative when several hosts spent
    /// the same credit.
    credit: i128,
    updated: Time,
    /// What this host may spend before the next update from the other hosts, in
    /// micro-units.
    allowance: i128,
    /// The units that this host has admitted. Refunds that precede an admission
    /// are offset against it.
    own: u64,
    /// Refunded units that were already counted in `own`. Later admissions use
    /// them up first.
    refunded: u64,
    /// The units used by the other hosts as of the last update.
    others: Option<u64>,
    window_start: Time,
    own_recent: u64,
    others_recent: u64,
    own_share: f64,
    /// The mean cost of the latest requests.
    mean_cost: f64,
    /// The part of it that must be available, drawn anew with each update.
    draw: f64,
}

impl SharedTokenBucket {
    /// Creates a bucket that refills at `rate` units per second. It begins with a part of
    /// the burst, since hosts that are started again would otherwise grant it again.
    pub fn new(now: Time, rate: u64, burst: u64) -> Self {
        let micros = i128::try_from(FIRST_CREDIT.as_micros()).unwrap_or(i128::MAX);
        let credit = (i128::from(rate) * micros).min(i128::from(burst) * MICRO);
        Self {
            rate,
            burst,
            credit,
            updated: now,
            allowance: credit,
            own: 0,
            refunded: 0,
            others: None,
            window_start: now,
            own_recent: 0,
            others_recent: 0,
            own_share: 0.0,
            mean_cost: 0.0,
            draw: 0.0,
        }
    }

    /// Changes the rate, in units per second, and the burst size.
    pub fn set_limits(&mut self, now: Time, rate: u64, burst: u64, view: PeerView) {
        self.refill(now, view);
        self.rate = rate;
        self.burst = burst;
        self.credit = self.credit.min(i128::from(burst) * MICRO);
    }

    /// Returns how many units this host has admitted.
    pub fn used(&self) -> u64 {
        self.own
    }

    /// Applies an update of the total use of all hosts, of which `own` units
    /// were admitted by this host. `is_new` is `true` if the total comes from a
    /// different counter than the previous update. `draw` is a random number from 0 to 1.
    pub fn apply_update(
        &mut self,
        now: Time,
        (total, own): (u64, u64),
        is_new: bool,
        view: PeerView,
        draw: f64,
    ) {
        self.draw = draw;
        self.refill(now, view);
        let others = total.saturating_sub(own);
        let previous = self.others.filter(|_| !is_new);
        let increase = previous.map_or(0, |previous| others.saturating_sub(previous));
        self.others = Some(others);
        self.credit -= i128::from(increase) * MICRO;
        self.others_recent += increase;
        self.measure_share(now);
        self.update_allowance(view);
    }

    /// Admits a request that costs `units`.
    ///
    /// If much of the burst is left, any positive credit admits a request of any size, and
    /// the bucket goes into debt for the rest. Otherwise small requests would use up the
    /// credit that a large one waits for. If little is left, a drawn part of the mean cost
    /// must be available.
    ///
    /// # Errors
    ///
    /// Returns the estimated time until there is credit again.
    pub fn admit(&mut self, now: Time, units: u64, view: PeerView) -> Result<(), Duration> {
        self.refill(now, view);
        #[expect(
            clippy::cast_precision_loss,
            reason = "a request is far below 2^52 units"
        )]
        let offset = units as f64 - self.mean_cost;
        self.mean_cost += offset * COST_GAIN;
        let cost = i128::from(units) * MICRO;
        let available = self.credit.min(self.allowance);
        let needed = self.needed(view);
        if available <= needed {
            let owed = u64::try_from((needed - available) / MICRO).unwrap_or(u64::MAX);
            return Err(self.refill_time(owed.saturating_add(1), view));
        }
        self.credit -= cost;
        self.allowance -= cost;
        let reused = units.min(self.refunded);
        self.refunded -= reused;
        self.own += units - reused;
        self.own_recent += units;
        Ok(())
    }

    /// Returns the credit above which a request is admitted, in micro-units.
    ///
    /// While little credit is left, all hosts together would exceed it by one request each.
    /// If that is more than [`FREE_DEBT`] of the burst, a drawn part of the mean cost is needed:
    /// each host then admits as much as its allowance on average, and large requests as often
    /// as others.
    fn needed(&self, view: PeerView) -> i128 {
        let burst = i128::from(self.burst) * MICRO;
        // A host that is cut off spends its own share alone, which may be less than the cost.
        if view.is_isolated || 2 * self.credit >= burst {
            return 0;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a burst is far below 2^52 units"
        )]
        let free = self.burst as f64 * FREE_DEBT / f64::from(view.hosts.max(1));
        let needed = (self.mean_cost - free).max(0.0) * self.draw;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a part of a unit is of no account"
        )]
        let needed = needed as i128;
        needed * MICRO
    }

    /// Refunds the units of a request that was admitted but did not run.
    pub fn refund(&mut self, units: u64) {
        let cost = i128::from(units) * MICRO;
        self.credit += cost;
        self.allowance += cost;
        self.refunded += units;
    }

    fn refill_time(&self, units: u64, view: PeerView) -> Duration {
        let (share, hosts) = view.share();
        let rate = (self.rate * share / hosts).max(1);
        Duration::from_micros(units.saturating_mul(1_000_000) / rate)
    }

    fn refill(&mut self, now: Time, view: PeerView) {
        let micros = i128::try_from(now.since(self.updated).as_micros()).unwrap_or(i128::MAX);
        self.updated = self.updated.max(now);
        let (share, hosts) = view.share();
        let earned = i128::from(self.rate) * i128::from(share) * micros / i128::from(hosts);
        let full = i128::from(self.burst) * MICRO;
        let full = if view.is_isolated {
            full / i128::from(hosts)
        } else {
            full
        };
        self.credit = (self.credit + earned).min(full);
        // Between updates, a host earns only its own share.
        self.allowance += earned / i128::from(share);
    }

    /// Measures this host's share of the customer's use.
    fn measure_share(&mut self, now: Time) {
        if now.since(self.window_start) < USAGE_WINDOW {
            return;
        }
        let total = self.own_recent + self.others_recent;
        #[expect(clippy::cast_precision_loss, reason = "a part needs few digits")]
        let share = self.own_recent as f64 / total.max(1) as f64;
        self.own_share = share;
        self.own_recent = 0;
        self.others_recent = 0;
        self.window_start = now;
    }

    /// Sets the allowance until the next update.
    fn update_allowance(&mut self, view: PeerView) {
        let least = MIN_ALLOWANCE_SHARES / f64::from(view.hosts.max(1));
        let share = self.own_share.max(least).min(1.0);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            reason = "a bucket is far below 2^52 units"
        )]
        let allowance = (self.credit.max(0) as f64 * share) as i128;
        self.allowance = allowance;
    }
}
