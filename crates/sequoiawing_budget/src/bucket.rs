use crate::{Limits, Refill, Share};
use sequoiawing_types::Time;
use serde::{Deserialize, Serialize};

/// When credit was spent, in terms of the bucket that it came from.
///
/// A refund is worth less the more has accrued at the cap since then; see
/// [docs/design/budgets.md](../../../docs/design/budgets.md).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Tag {
    /// The period in which one bucket counted.
    #[serde(rename = "regime")]
    pub generation: u64,
    /// How often every refund was forfeited.
    pub episode: u64,
    /// The part of a refund that is not forfeited, against `FULL_INDEX`.
    pub index: u64,
}

/// The index at the start of an episode.
const FULL_INDEX: u64 = 1 << 40;

/// The index below which an episode ends.
const MIN_INDEX: u64 = 1 << 20;

/// Shares of a rate accrue in millionths of tokens a microsecond.
const FRACTION: u128 = 1_000_000_000_000;

/// The credit that nobody holds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Bucket {
    balance: u64,
    fraction: u64,
    updated: Time,
    /// The most that may still be refunded of what was spent.
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

    /// Passes on the tag of the bucket that credit is borrowed from.
    pub(crate) fn set_tag(&mut self, tag: Tag) {
        self.tag = tag;
    }

    /// Lets credit accrue at a share of the rate, up to `cap`.
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
        self.fraction = u64::try_from(accrued % FRACTION).unwrap_or(0);
        let accrued = u64::try_from(accrued / FRACTION).unwrap_or(u64::MAX);
        self.balance = self.balance.saturating_add(accrued).min(cap);
        self.forfeit(cap - self.balance);
    }

    /// Keeps balance and possible refunds together within the cap.
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

    /// Takes up to `tokens` and returns how many were there.
    pub(crate) fn take(&mut self, tokens: u64) -> u64 {
        let taken = tokens.min(self.balance);
        self.balance -= taken;
        taken
    }

    /// Puts back tokens that were taken and not spent.
    pub(crate) fn put(&mut self, tokens: u64) {
        self.balance = self.balance.saturating_add(tokens);
    }

    /// Lowers the balance to at most `cap`.
    pub(crate) fn trim(&mut self, cap: u64) {
        self.balance = self.balance.min(cap);
    }

    /// Notes tokens that were taken and are now spent.
    pub(crate) fn spend(&mut self, tokens: u64, tag: Tag) {
        self.refundable += self.refund_value(tokens, tag);
    }

    /// Takes back the unused part of a charge, as far as the bucket would hold
    /// it had it never been spent, and returns how much that was.
    pub(crate) fn refund(&mut self, charged: u64, unused: u64, tag: Tag) -> u64 {
        let refund_value = self.refund_value(charged, tag).min(self.refundable);
        self.refundable -= refund_value;
        let refund = unused.min(refund_value);
        self.balance = self.balance.saturating_add(refund);
        refund
    }

    /// Returns what a charge could be refunded by now.
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
