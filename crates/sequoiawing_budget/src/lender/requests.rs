use super::{Account, Bucket, Handled, Lender, Share, Source, State, Watermarks};
use crate::{BorrowRequest, EntryKind, NeedStatus, Refill, Reply};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// How long after a shortage credit is lent only for actual needs.
const SHORTAGE_PERIOD: Duration = Duration::from_millis(200);

/// The divisor of the balance that yields the most that is lent beyond a need.
const CHUNK_DIVISOR: u64 = 8;

/// How long a borrower waits before it retries while others return credit.
const PENDING_RETRY: Duration = Duration::from_millis(2);

/// Processes the requests of borrowers.
impl Lender {
    /// Processes a borrower's request and grants credit for the duration of
    /// `lease`.
    pub(crate) fn handle_request(
        &mut self,
        now: Time,
        from: &Name,
        request: &BorrowRequest,
        lease: Duration,
    ) -> Handled {
        self.advance(now);
        let mut entries = Vec::new();
        let burst = self.limits.burst;
        let max_lease = self.timing.max_lease();
        let account = self.accounts.entry(from.clone());
        let account = account.or_insert_with(|| Account::new(Share::NONE));
        if account.is_replaced(request) {
            self.must_wait |= account.has_unknown_credit && request.recent_takeover;
            account.replace(now, &self.timing, burst, request);
        }
        let can_join = request.lender_term == self.term
            && request.invitation == account.invitation
            && request.session > account.session
            && account.state != State::Joined;
        if can_join {
            self.join(now, from, request);
        }
        let account = &self.accounts[from];
        let is_current = account.state == State::Joined
            && (request.lender_term, request.invitation) == (self.term, account.invitation)
            && request.session == account.session;
        let mut need = NeedStatus::Pending;
        let mut renewed = false;
        if is_current {
            self.apply_entries(from, request, &mut entries);
            renewed = !self.exceeds_share(from);
            let account = self.accounts.get_mut(from).expect("the account exists");
            if renewed {
                account.lease_end = account.lease_end.max(now + max_lease);
                need = self.grant(now, from, request, lease);
            } else {
                account.recall = true;
            }
        }
        // A cell leader has nothing to lend until its predecessor's leases have
        // expired.
        let has_credit = renewed && (self.watermarks.is_some() || !self.is_settling);
        let lease = if has_credit { lease } else { Duration::ZERO };
        let mut reply = self.reply(now, from, request, lease, need);
        reply.joined = is_current;
        // Such a need is met only after the leases of replaced holders have
        // expired, which takes longer than requests wait for a ready lender.
        let missing = request.head_need.max(1);
        reply.ready &=
            need != NeedStatus::Pending || request.need == 0 || !self.may_be_held(missing);
        reply.durable &= is_current;
        Handled { reply, entries }
    }

    fn join(&mut self, now: Time, from: &Name, request: &BorrowRequest) {
        let until = now + self.timing.max_lease();
        let is_logged = self.watermarks.as_ref().is_none_or(|w| w.has_centre(from));
        let account = self.accounts.get_mut(from).expect("the account exists");
        if now >= request.stamp + self.timing.min_lease() {
            account.invite(State::Disconnected);
            return;
        }
        if !is_logged {
            return;
        }
        if self.watermarks.is_some() {
            account.start(request, request.balance, until);
            if self.limits.refill == Refill::OnReturn && !request.recent_takeover {
                account.forget_replaced();
            }
            return;
        }
        // A router keeps no credit across sessions. Only slots in flight cannot
        // be dropped; they become free when their lease expires.
        let ends = account.lease_end;
        let dropped = account.start(request, 0, until);
        match self.limits.refill {
            Refill::OnReturn => account.retain_lease(dropped, ends),
            Refill::PerSecond(_) => self.lost += dropped,
        }
    }

    /// Applies the credit that the borrower spent, refunded and returned.
    fn apply_entries(
        &mut self,
        from: &Name,
        request: &BorrowRequest,
        entries: &mut Vec<EntryKind>,
    ) {
        let account = self.accounts.get_mut(from).expect("the account exists");
        account.acked_stamp = account.acked_stamp.max(request.stamp);
        account.acknowledge_recall(request.stamp);
        for entry in &request.entries {
            if entry.id <= account.applied {
                continue;
            }
            account.applied = entry.id;
            if let EntryKind::Spent { tokens, .. } = entry.kind {
                account.lent = account.lent.saturating_sub(tokens);
            }
            match self.source {
                Source::Borrowed => entries.push(entry.kind),
                Source::Accrued(_) => apply(&mut self.bucket, entry.kind),
            }
        }
        let returned = request.returned.saturating_sub(account.returned);
        let returned = returned.min(account.lent);
        account.returned = account.returned.max(request.returned);
        account.lent -= returned;
        self.bucket.put(returned);
    }

    /// Returns whether a data centre holds more than its share while the excess
    /// is reserved for the shares of disconnected ones. Its lease is then not
    /// renewed.
    fn exceeds_share(&self, from: &Name) -> bool {
        let burst = self.limits.burst;
        let account = &self.accounts[from];
        if self.watermarks.is_none() || account.lent <= account.held_share().of(burst) {
            return false;
        }
        let reserved = self.accounts.values().map(|a| a.reserved(burst));
        reserved.fold(0, u64::saturating_add) > burst
    }

    /// Lends the credit that the borrower needs, and more in advance if there
    /// is no shortage.
    fn grant(
        &mut self,
        now: Time,
        from: &Name,
        request: &BorrowRequest,
        lease: Duration,
    ) -> NeedStatus {
        let free = self.lendable();
        let account = self.accounts.get_mut(from).expect("the account exists");
        let is_met = request.need == 0 || account.last_met == request.need_since;
        if request.sent < account.last_sent {
            return if is_met {
                NeedStatus::Met
            } else {
                NeedStatus::Pending
            };
        }
        account.last_sent = request.sent;
        if lease.is_zero() || self.is_settling {
            return if is_met {
                NeedStatus::Met
            } else {
                NeedStatus::Pending
            };
        }
        let need = if is_met { 0 } else { request.need };
        if need > 0 && request.head_need > free {
            return self.record_shortage(now, from, request.head_need);
        }
        let is_short = self
            .last_shortage
            .is_some_and(|s| now < s + SHORTAGE_PERIOD);
        let part = match self.limits.refill {
            Refill::OnReturn => 1,
            Refill::PerSecond(_) => CHUNK_DIVISOR,
        };
        let room = (free - need.min(free)) / part;
        let ahead = request.want.saturating_sub(account.lent).min(room);
        let ahead = if is_short { 0 } else { ahead };
        let granted = self.bucket.take((need + ahead).min(free));
        account.granted += granted;
        account.lent += granted;
        if need > 0 {
            account.last_met = request.need_since;
        }
        if need > granted {
            self.record_shortage(now, from, need - granted);
        }
        NeedStatus::Met
    }

    /// Records a shortage and recalls credit from all other borrowers.
    fn record_shortage(&mut self, now: Time, except: &Name, missing: u64) -> NeedStatus {
        self.last_shortage = Some(now);
        self.unmet_need = self.unmet_need.max(missing);
        let is_unlogged = self.bucket.balance() >= missing;
        if self.recall(except) || is_unlogged || self.may_be_held(missing) {
            NeedStatus::Pending
        } else {
            NeedStatus::Unmet
        }
    }

    /// Returns whether replaced holders may still hold at least `missing`
    /// tokens, which may come back unspent when their leases expire.
    fn may_be_held(&self, missing: u64) -> bool {
        let replaced = self.accounts.values().map(Account::replaced_credit);
        let replaced = replaced.fold(0, u64::saturating_add);
        self.limits.refill != Refill::OnReturn && replaced >= missing
    }

    /// Recalls credit from all other borrowers and returns whether any of them
    /// holds some.
    fn recall(&mut self, except: &Name) -> bool {
        let mut any = false;
        for (name, account) in &mut self.accounts {
            let holds = account.lent > 0 && account.state == State::Joined;
            if name != except && holds {
                account.recall = true;
                any = true;
            }
        }
        any
    }

    fn reply(
        &mut self,
        now: Time,
        from: &Name,
        request: &BorrowRequest,
        lease: Duration,
        need: NeedStatus,
    ) -> Reply {
        self.stamp = now.max(self.stamp + Duration::from_micros(1));
        let retry = self.retry(request.head_need, need);
        let durable = !self.is_settling && self.floor() <= self.bucket.balance();
        let account = self.accounts.get_mut(from).expect("the account exists");
        account.note_recall_sent(self.stamp);
        Reply {
            durable,
            lender_term: self.term,
            invitation: account.invitation,
            session: request.session,
            joined: false,
            ready: !self.is_settling
                && self
                    .watermarks
                    .as_ref()
                    .is_none_or(|w| w.is_committed_in(self.term)),
            stamp: self.stamp,
            sent: request.sent,
            lease,
            granted: account.granted,
            applied: account.applied,
            tag: self.bucket.tag(),
            share: account.offered,
            recall: account.recall,
            need,
            retry,
        }
    }

    /// Estimates the time until `head_need` tokens will have accrued.
    fn retry(&self, head_need: u64, need: NeedStatus) -> Duration {
        if need == NeedStatus::Pending {
            return PENDING_RETRY;
        }
        let missing = head_need.saturating_sub(self.bucket.balance());
        let rate = match self.source {
            Source::Accrued(share) => share.of(self.limits.rate()),
            Source::Borrowed => self.limits.rate(),
        };
        Duration::from_micros(missing.saturating_mul(1_000_000) / rate.max(1))
    }

    /// Returns the credit that may be lent now.
    fn lendable(&self) -> u64 {
        self.bucket.balance().saturating_sub(self.floor())
    }

    fn floor(&self) -> u64 {
        if self.limits.refill == Refill::OnReturn {
            return 0;
        }
        self.watermarks.as_ref().map_or(0, Watermarks::floor)
    }
}

fn apply(bucket: &mut Bucket, entry: EntryKind) {
    match entry {
        EntryKind::Spent { tokens, tag } => bucket.spend(tokens, tag),
        EntryKind::Refunded {
            charged,
            unused,
            tag,
        } => {
            bucket.refund(charged, unused, tag);
        }
    }
}
