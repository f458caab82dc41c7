use super::{Account, Bucket, Lender, Share, Source, State};
use sequoiawing_types::Time;

/// The part of a cell leader that borrows what it lends.
impl Lender {
    /// Adds credit that was borrowed.
    pub(crate) fn deposit(&mut self, tokens: u64) {
        self.bucket.put(tokens);
    }

    /// Takes out all credit that nobody holds.
    pub(crate) fn withdraw(&mut self) -> u64 {
        self.bucket.take(u64::MAX)
    }

    /// Returns the credit that the lender and its borrowers may hold.
    pub(crate) fn total(&self) -> u64 {
        let held = self.accounts.values().map(|a| a.lent + a.replaced_credit());
        self.bucket.balance() + held.sum::<u64>()
    }

    /// Returns the credit lost with silent borrowers since the last call.
    pub(crate) fn take_lost(&mut self) -> u64 {
        std::mem::take(&mut self.lost)
    }

    /// Takes back all credit, because every lease has run out, and returns how
    /// much of it may have been spent.
    pub(crate) fn write_off(&mut self) -> u64 {
        let accounts = self.accounts.values_mut();
        accounts.map(Account::write_off).sum::<u64>() + self.take_lost()
    }

    /// Starts to accrue a share, with what is left of borrowed credit.
    pub(crate) fn start_accruing(&mut self, now: Time, generation: u64, share: Share) {
        let balance = self.bucket.balance().min(share.of(self.limits.burst));
        self.bucket = Bucket::new(now, generation << 1 | 1, balance);
        self.source = Source::Accrued(share);
        self.is_settling = now < self.settling_until;
    }

    /// Stops to accrue.
    pub(crate) fn stop_accruing(&mut self, now: Time) {
        self.advance(now);
        self.source = Source::Borrowed;
        self.is_settling = false;
    }

    /// Passes on the tag of the lender that credit is borrowed from.
    pub(crate) fn set_tag(&mut self, tag: crate::Tag) {
        self.bucket.set_tag(tag);
    }

    /// Tells all borrowers to return what they hold.
    pub(crate) fn recall_all(&mut self) {
        for account in self.accounts.values_mut() {
            account.recall = account.lent > 0 && account.state == State::Joined;
        }
    }
}
