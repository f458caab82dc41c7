use crate::Source;
use sequoiawing_types::Name;
use std::collections::BTreeMap;

/// A version of an upstream's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Version {
    pub(crate) name: Name,
    pub(crate) epoch: u64,
    /// The sequence of the last announcement that changed more than the load.
    pub(crate) sequence: u64,
}

/// The indexes that one router has assigned since its last start.
#[derive(Clone, Debug, Default)]
struct Indexes {
    start: u64,
    versions: BTreeMap<u64, Version>,
    by_upstream: BTreeMap<Name, u64>,
}

/// Maps the indexes in other routers' load deltas to versions of upstreams.
///
/// Each router assigns its own indexes to the versions of its upstreams, and
/// assigns new ones after a restart, which invalidates all earlier indexes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bindings {
    routers: BTreeMap<Name, Indexes>,
}

impl Bindings {
    /// Records the version that a router's index refers to. Indexes from before
    /// the router's last start are ignored.
    pub(crate) fn bind(&mut self, source: &Source, index: u64, version: Version) {
        let router = self.routers.entry(source.host.clone()).or_default();
        if router.start > source.start {
            return;
        }
        if router.start < source.start {
            *router = Indexes {
                start: source.start,
                ..Indexes::default()
            };
        }
        let previous = router.by_upstream.get(&version.name).copied();
        if previous.is_some_and(|p| p > index) {
            return;
        }
        if let Some(previous) = previous {
            router.versions.remove(&previous);
        }
        router.by_upstream.insert(version.name.clone(), index);
        router.versions.insert(index, version);
    }

    /// Returns the version that a router's index refers to.
    pub(crate) fn resolve(&self, source: &Source, index: u64) -> Option<&Version> {
        let router = self.routers.get(&source.host)?;
        if router.start != source.start {
            return None;
        }
        router.versions.get(&index)
    }

    /// Removes all indexes of an upstream.
    pub(crate) fn remove_upstream(&mut self, upstream: &Name) {
        for router in self.routers.values_mut() {
            if let Some(index) = router.by_upstream.remove(upstream) {
                router.versions.remove(&index);
            }
        }
        self.routers
            .retain(|_, router| !router.by_upstream.is_empty());
    }
}
