use crate::{Limits, Refill, Share};
use sequoiawing_types::Time;
use serde::{Deserialize, Serialize};

/// Records the state of the bucket from which credit was spent.
///
/// Credit that accrues while the bucket is full reduces the value of later
/// refunds. See [docs/design/budgets.md](../../../docs/design/budgets.md).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Tag {
    /// The number of the bucket. It changes when another lender takes over and
    /// when a data centre starts to accrue autonomously.
    #[serde(rename = "regime")]
    pub generation: u64,
    /// How many times all outstanding refunds were forfeited.
    pub episode: u64,
    /// The fraction of a refund that is not forfeited, relative to
    /// `FULL_INDEX`.
    pub index: u64,
}

/// The index at the start of an episode.
const FULL_INDEX: u64 = 1 << 40;

/// The index below which an episode ends.
const MIN_INDEX: u64 = 1 << 20;

/// The units of `Bucket::fraction` in one token: rates are per second, time is
/// in microseconds and shares are in millionths.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000;

/// A token bucket: the credit that is not lent to anyone.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Bucket {
    balance: u64,
    fraction: u64,
    updated: Time,
    /// The maximum that may still be refunded of the spent tokens.
    refundable: u64,
    tag: Tag,
}

impl Bucket {
    pub(crate) fn new(now: Time, generation: u64, balance: u64) -> Self {
        let tag = Tag {
            generation,
            episode: 0,
            index: FULL_INDEX,
        };
        Self {
            balance,
            fraction: 0,
            updated: now,
            refundable: 0,
            tag,
        }
    }

    pub(crate) fn balance(&self) -> u64 {
        self.balance
    }

    pub(crate) fn tag(&self) -> Tag {
        self.tag
    }

    /// Adopts the tag of the bucket that the credit is borrowed from.
    pub(crate) fn set_tag(&mut self, tag: Tag) {
        self.tag = tag;
    }

    /// Accrues credit at a share of the rate, up to `cap`.
    pub(crate) fn fill(&mut self, now: Time, limits: &Limits, share: Share, cap: u64) {
        let rate = match limits.refill {
            Refill::PerSecond(rate) => rate,
            Refill::OnReturn => {
                self.balance = cap;
                return;
            }
        };
        let micros = now.since(self.updated).as_micros();
        self.updated = self.updated.max(now);
        let accrued =
            u128::from(rate) * u128::from(share.millionths()) * micros + u128::from(self.fraction);
        self.fraction = u64::try_from(accrued % UNITS_PER_TOKEN).unwrap_or(0);
        let accrued = u64::try_from(accrued / UNITS_PER_TOKEN).unwrap_or(u64::MAX);
        self.balance = self.balance.saturating_add(accrued).min(cap);
        self.forfeit(cap - self.balance);
    }

    /// Reduces possible refunds to `room`, so that the balance and all refunds
    /// together stay within the cap.
    fn forfeit(&mut self, room: u64) {
        if self.refundable <= room {
            return;
        }
        self.tag.index = scale(self.tag.index, room, self.refundable);
        self.refundable = room;
        if self.tag.index < MIN_INDEX {
            self.refundable = 0;
            self.tag.episode += 1;
            self.tag.index = FULL_INDEX;
        }
    }

    /// Takes up to `tokens` and returns how many were taken.
    pub(crate) fn take(&mut self, tokens: u64) -> u64 {
        let taken = tokens.min(self.balance);
        self.balance -= taken;
        taken
    }

    /// Returns tokens to the bucket that were taken but not spent.
    pub(crate) fn put(&mut self, tokens: u64) {
        self.balance = self.balance.saturating_add(tokens);
    }

    /// Lowers the balance to at most `cap`.
    pub(crate) fn trim(&mut self, cap: u64) {
        self.balance = self.balance.min(cap);
    }

    /// Records that tokens taken earlier were spent.
    pub(crate) fn spend(&mut self, tokens: u64, tag: Tag) {
        self.refundable += self.refund_value(tokens, tag);
    }

    /// Refunds the unused part of a charge and returns the refunded amount.
    ///
    /// Refunds only what the bucket would hold now if it had never been spent.
    pub(crate) fn refund(&mut self, charged: u64, unused: u64, tag: Tag) -> u64 {
        let refund_value = self.refund_value(charged, tag).min(self.refundable);
        self.refundable -= refund_value;
        let refund = unused.min(refund_value);
        self.balance = self.balance.saturating_add(refund);
        refund
    }

    /// Returns the maximum refund that a charge is still worth.
    fn refund_value(&self, tokens: u64, tag: Tag) -> u64 {
        if (tag.generation, tag.episode) != (self.tag.generation, self.tag.episode) {
            return 0;
        }
        scale(tokens, self.tag.index, tag.index).min(tokens)
    }
}

/// Returns `value * part / whole`, rounded down.
fn scale(value: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
