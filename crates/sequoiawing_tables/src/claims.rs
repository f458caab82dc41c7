use crate::{Claim, ClaimId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The current claims, indexed by expiry.
///
/// Without the index, each new claim would scan all others to find expired
/// ones, and up to a day's claims are kept.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(from = "Vec<(ClaimId, Claim)>", into = "Vec<(ClaimId, Claim)>")]
pub(crate) struct Claims {
    claims: BTreeMap<ClaimId, Claim>,
    expiries: BTreeSet<(u64, ClaimId)>,
}

impl Claims {
    pub(crate) fn get(&self, id: &ClaimId) -> Option<&Claim> {
        self.claims.get(id)
    }

    /// Returns a claim, to record the call's outcome. The caller must not change
    /// the expiry, since the index would become stale.
    pub(crate) fn get_mut(&mut self, id: &ClaimId) -> Option<&mut Claim> {
        self.claims.get_mut(id)
    }

    /// Inserts a claim, replacing an earlier one of the same call.
    pub(crate) fn insert(&mut self, id: ClaimId, claim: Claim) {
        let expiry = claim.expiry;
        if let Some(previous) = self.claims.insert(id.clone(), claim) {
            self.expiries.remove(&(previous.expiry, id.clone()));
        }
        self.expiries.insert((expiry, id));
    }

    /// Removes the claims that have expired at `clock`, in seconds.
    pub(crate) fn expire(&mut self, clock: u64) {
        while let Some((_, id)) = self.expiries.first().filter(|(at, _)| *at <= clock) {
            self.claims.remove(id);
            self.expiries.pop_first();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }
}

impl From<Vec<(ClaimId, Claim)>> for Claims {
    fn from(pairs: Vec<(ClaimId, Claim)>) -> Self {
        let mut claims = Self::default();
        for (id, claim) in pairs {
            claims.insert(id, claim);
        }
        claims
    }
}

impl From<Claims> for Vec<(ClaimId, Claim)> {
    fn from(claims: Claims) -> Self {
        claims.claims.into_iter().collect()
    }
}
