use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// A pool and one of its models.
pub(crate) type Target = (Name, Name);

/// The minimum interval between requests to the log for the same model.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// The time between a refusal by the log and the next request when other data
/// centres were asked to release their shares.
const RECALL_RETRY: Duration = Duration::from_millis(200);

/// The minimum interval between recalls of the shares of one model.
const RECALL_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum interval between claims of a share that the log refused.
const CLAIM_INTERVAL: Duration = Duration::from_secs(10);

/// The log's allotment of one model to this data centre.
#[derive(Clone, Debug, Default)]
struct Allotment {
    /// The replicas that the data centre may hold, if known. Never above the
    /// number in the log.
    allotted: Option<u32>,
    /// The log's last answer in this term, unless an answer was lost.
    confirmed: Option<u32>,
    /// The number requested and not yet answered.
    requested: Option<u32>,
    /// The earliest time of the next request.
    retry_at: Time,
    /// The earliest time of the next claim of a refused share.
    claim_at: Time,
    /// The earliest time of the next recall.
    recall_at: Time,
}

/// The log's number compared with the number to keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AllotmentState {
    /// The log has the number to keep.
    Equal,
    /// The log has more, or the log's number is unknown.
    Above,
    /// The log has less.
    Below,
}

/// The allotted numbers of replicas, by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allotments {
    models: BTreeMap<Target, Allotment>,
}

impl Allotments {
    /// Discards the allotments of an earlier term.
    pub(crate) fn clear(&mut self) {
        self.models.clear();
    }

    /// Returns the number of replicas that the data centre may hold, or zero if
    /// it is unknown.
    pub(crate) fn allotted(&self, target: &Target) -> u32 {
        self.known(target).unwrap_or(0)
    }

    /// Returns the number of replicas that the data centre may hold, if known.
    pub(crate) fn known(&self, target: &Target) -> Option<u32> {
        self.models.get(target).and_then(|d| d.allotted)
    }

    /// Applies an earlier leader's record, unless a newer number is known.
    pub(crate) fn inherit(&mut self, target: &Target, count: u32) {
        let allotment = self.models.entry(target.clone()).or_default();
        let inherited = allotment.requested.map_or(count, |a| count.min(a));
        allotment.allotted.get_or_insert(inherited);
    }

    /// Returns whether the log should be asked for `want` now, and records the
    /// request.
    ///
    /// At most one request is open, so that an answer can be attributed to it.
    /// A lower number applies as soon as it is requested, a higher one only
    /// with the log's answer.
    pub(crate) fn request(&mut self, now: Time, target: &Target, want: u32) -> bool {
        let allotment = self.models.entry(target.clone()).or_default();
        let is_settled = allotment.allotted == Some(want) && allotment.confirmed == Some(want);
        if is_settled || allotment.requested.is_some() || allotment.retry_at > now {
            return false;
        }
        allotment.requested = Some(want);
        allotment.retry_at = now + REQUEST_INTERVAL;
        allotment.allotted = allotment.allotted.map(|a| a.min(want));
        true
    }

    /// Applies the log's answer, or `None` if there was none, and returns
    /// whether the log refused a part of the request.
    pub(crate) fn confirm(&mut self, target: &Target, count: Option<u32>) -> bool {
        let allotment = self.models.entry(target.clone()).or_default();
        let requested = allotment.requested.take();
        allotment.confirmed = count;
        let Some(count) = count else {
            return false;
        };
        allotment.allotted = Some(requested.map_or(count, |a| count.min(a)));
        requested.is_some_and(|a| count < a)
    }

    /// Returns whether other data centres should be asked now to release their
    /// shares, and records the recall.
    pub(crate) fn recall(&mut self, now: Time, target: &Target) -> bool {
        let allotment = self.models.entry(target.clone()).or_default();
        if allotment.recall_at > now {
            return false;
        }
        allotment.recall_at = now + RECALL_INTERVAL;
        allotment.retry_at = now + RECALL_RETRY;
        true
    }

    /// Compares the log's number with the number to keep.
    pub(crate) fn state(&self, target: &Target, keep: u32) -> AllotmentState {
        match self.models.get(target).and_then(|d| d.confirmed) {
            Some(confirmed) if confirmed == keep => AllotmentState::Equal,
            Some(confirmed) if confirmed < keep => AllotmentState::Below,
            _ => AllotmentState::Above,
        }
    }

    /// Returns whether a missing share may be claimed now.
    pub(crate) fn may_claim(&self, now: Time, target: &Target) -> bool {
        self.models.get(target).is_none_or(|d| d.claim_at <= now)
    }

    /// Records the claim of a missing share.
    pub(crate) fn set_claimed(&mut self, now: Time, target: &Target) {
        if let Some(allotment) = self.models.get_mut(target) {
            allotment.claim_at = now + CLAIM_INTERVAL;
        }
    }

    pub(crate) fn targets(&self) -> Vec<Target> {
        self.models.keys().cloned().collect()
    }

    /// Returns the allotted replicas of each model with at least one.
    pub(crate) fn counts(&self) -> BTreeMap<Target, u32> {
        let models = self.models.iter();
        let held = models.filter_map(|(t, d)| Some((t.clone(), d.allotted?)));
        held.filter(|(_, count)| *count > 0).collect()
    }
}
