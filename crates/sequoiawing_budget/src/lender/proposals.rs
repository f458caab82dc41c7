use super::{Lender, Refill, Share, State, Watermark};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The divisor of the burst that yields the credit covered by one watermark.
const WATERMARK_DIVISOR: u64 = 4;

/// The minimum interval between two raises of the floor.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// Floors and shares, which an owner commits to the log before it relies on
/// them.
impl Lender {
    /// Returns a watermark that has to be committed now, if any.
    ///
    /// The caller reports the outcome with [`Self::commit`] or
    /// [`Self::abandon_proposal`].
    pub fn propose(&mut self, now: Time) -> Option<Watermark> {
        self.tick(now);
        let floor = self.next_floor(now);
        let shares = self.next_shares();
        let watermarks = self.watermarks.as_mut()?;
        if watermarks.is_proposing() {
            return None;
        }
        let is_first = watermarks.committed.term != self.term;
        let is_same = floor.is_none() && shares == watermarks.committed.shares;
        if is_same && !is_first {
            return None;
        }
        let floor = floor.unwrap_or(watermarks.committed.floor);
        let watermark = Watermark {
            term: self.term,
            floor,
            shares,
        };
        watermarks.propose(&watermark);
        Some(watermark)
    }

    /// Records that a watermark is committed.
    pub fn commit(&mut self, now: Time, watermark: &Watermark) {
        self.floor_raised = now;
        if let Some(watermarks) = &mut self.watermarks {
            watermarks.commit(watermark);
        }
        self.tick(now);
    }

    /// Records that it is unknown whether the proposed watermark was committed.
    pub fn abandon_proposal(&mut self) {
        if let Some(watermarks) = &mut self.watermarks {
            watermarks.abandon_proposal();
        }
    }

    /// Invites data centres whose share has to change to a new session.
    pub(super) fn move_shares(&mut self, now: Time) {
        let all = self.accounts.values();
        let held = all.fold(Share::NONE, |s, a| s.saturating_add(a.held_share()));
        let mut room = Share::WHOLE.saturating_sub(held);
        let watermarks = &self.watermarks;
        for (name, account) in &mut self.accounts {
            let own = account.held_share();
            let logged = watermarks.as_ref().map_or(Share::NONE, |w| w.share(name));
            let best = account.target.min(own.saturating_add(room)).min(logged);
            let has_no_session = account.state != State::Joined;
            if best == account.offered || account.is_new() {
                continue;
            }
            room = room.saturating_sub(best.saturating_sub(own));
            account.offered = best;
            let never_accrued = account.share == Share::NONE && !account.has_unknown_credit;
            if has_no_session && never_accrued {
                account.acked_stamp = now;
            }
            let stays_disconnected = has_no_session && !never_accrued;
            let state = if stays_disconnected {
                account.state
            } else {
                State::Joining
            };
            account.invite(state);
        }
    }

    /// Returns the shares that have to be reserved in the log.
    fn next_shares(&self) -> BTreeMap<Name, Share> {
        let watermarks = self.watermarks.as_ref();
        let logged = |n: &Name| watermarks.map_or(Share::NONE, |w| w.share(n));
        let all = self.accounts.iter().filter(|(_, a)| !a.is_new());
        let held = all
            .clone()
            .map(|(n, a)| a.held_share().max(logged(n).min(a.target)));
        let held = held.fold(Share::NONE, Share::saturating_add);
        let mut room = Share::WHOLE.saturating_sub(held);
        let next = all.map(|(name, account)| {
            let own = account.held_share().max(logged(name).min(account.target));
            let best = own.max(account.target.min(own.saturating_add(room)));
            room = room.saturating_sub(best.saturating_sub(own));
            (name.clone(), best)
        });
        next.collect()
    }

    /// Returns the floor that has to be committed, if it differs from the
    /// committed one.
    fn next_floor(&mut self, now: Time) -> Option<u64> {
        if self.limits.refill == Refill::OnReturn || self.is_settling {
            return None;
        }
        let watermarks = self.watermarks.as_ref()?;
        let balance = self.bucket.balance();
        let chunk = (self.limits.burst / WATERMARK_DIVISOR).max(1);
        let floor = watermarks.floor();
        let unmet = std::mem::take(&mut self.unmet_need);
        let is_low = floor > 0 && balance.saturating_sub(floor) < (chunk / 2).max(unmet);
        let is_high = balance > floor + 3 * chunk && now >= self.floor_raised + RAISE_INTERVAL;
        let next = balance.saturating_sub(chunk.max(unmet));
        let is_changed = next != watermarks.committed.floor;
        ((is_low || is_high) && is_changed).then_some(next)
    }
}
