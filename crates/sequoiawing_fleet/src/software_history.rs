use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The software versions that upstreams of each pool announced lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// When each version was last announced; `None` stands for a version that is not
    /// known.
    pools: BTreeMap<Name, BTreeMap<Option<Name>, Time>>,
}

impl SoftwareHistory {
    pub(crate) fn record(&mut self, now: Time, pool: &Name, software: Option<&Name>) {
        let versions = self.pools.entry(pool.clone()).or_default();
        versions.insert(software.cloned(), now);
    }

    /// Forgets the versions that were last announced before `retention`.
    pub(crate) fn expire(&mut self, now: Time, retention: Duration) {
        self.pools.retain(|_, versions| {
            versions.retain(|_, heard| now < *heard + retention);
            !versions.is_empty()
        });
    }

    /// Returns the version that was announced last if it has a name, and when another one
    /// was last announced.
    pub(crate) fn last(&self, pool: &Name) -> Option<(&Name, Option<Time>)> {
        let versions = self.pools.get(pool)?;
        let (last, _) = versions.iter().max_by_key(|(_, heard)| **heard)?;
        let others = versions.iter().filter(|(version, _)| *version != last);
        let other = others.map(|(_, heard)| *heard).max();
        Some((
            last.as_ref().filter(|name| !name.as_str().is_empty())?,
            other,
        ))
    }
}
