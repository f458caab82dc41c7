use super::{Account, Bucket, Lender, Share, Source, State};
use sequoiawing_types::Time;

/// Operations of a cell leader, which borrows the credit that it lends.
impl Lender {
    /// Adds credit that was borrowed.
    pub(crate) fn deposit(&mut self, tokens: u64) {
        self.bucket.put(tokens);
    }

    /// Takes all credit that is not lent to anyone.
    pub(crate) fn withdraw(&mut self) -> u64 {
        self.bucket.take(u64::MAX)
    }

    /// Returns the credit that the lender and its borrowers may hold.
    pub(crate) fn total(&self) -> u64 {
        let held = self.accounts.values().map(|a| a.lent + a.replaced_credit());
        self.bucket.balance() + held.sum::<u64>()
    }

    /// Returns the credit whose lease has expired since the last call.
    pub(crate) fn take_lost(&mut self) -> u64 {
        std::mem::take(&mut self.lost)
    }

    /// Removes all lent credit after every lease has expired, and returns how
    /// much of it may have been spent.
    pub(crate) fn write_off(&mut self) -> u64 {
        let accounts = self.accounts.values_mut();
        accounts.map(Account::write_off).sum::<u64>() + self.take_lost()
    }

    /// Starts to accrue a share, beginning with the remaining borrowed credit.
    pub(crate) fn start_accruing(&mut self, now: Time, generation: u64, share: Share) {
        let balance = self.bucket.balance().min(share.of(self.limits.burst));
        self.bucket = Bucket::new(now, generation << 1 | 1, balance);
        self.source = Source::Accrued(share);
        self.is_settling = now < self.settling_until;
    }

    /// Stops accruing and lends only borrowed credit again.
    pub(crate) fn stop_accruing(&mut self, now: Time) {
        self.advance(now);
        self.source = Source::Borrowed;
        self.is_settling = false;
    }

    /// Adopts the tag of the lender that the credit is borrowed from.
    pub(crate) fn set_tag(&mut self, tag: crate::Tag) {
        self.bucket.set_tag(tag);
    }

    /// Recalls credit from all borrowers.
    pub(crate) fn recall_all(&mut self) {
        for account in self.accounts.values_mut() {
            account.recall = account.lent > 0 && account.state == State::Joined;
        }
    }
}
