use crate::{StateList, UpstreamState};
use sequoiawing_types::Name;
use std::collections::HashSet;

/// The minimum number of names before unused ones are removed.
const MIN_NAMES: usize = 1_024;

/// Interns names, so that equal names share one allocation.
///
/// Thousands of upstreams list the same few models, and each name decoded from
/// a link has its own allocation.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameInterner {
    names: HashSet<Name>,
    /// The number of names at which unused ones are next removed.
    limit: usize,
}

impl NameInterner {
    /// Returns the interned copy of a name.
    pub(crate) fn intern(&mut self, name: &Name) -> Name {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        if self.names.len() >= self.limit.max(MIN_NAMES) {
            self.names.retain(Name::is_shared);
            self.limit = 2 * self.names.len();
        }
        self.names.insert(name.clone());
        name.clone()
    }

    /// Interns the names of a state and shrinks its lists to fit.
    pub(crate) fn compact(&mut self, state: &mut UpstreamState) {
        for name in [&mut state.name, &mut state.pool, &mut state.centre] {
            *name = self.intern(name);
        }
        for list in StateList::ALL {
            self.compact_list(list.names_mut(state));
        }
        self.compact_list(&mut state.active);
        self.compact_list(&mut state.failed);
    }

    fn compact_list(&mut self, list: &mut Vec<Name>) {
        for name in list.iter_mut() {
            *name = self.intern(name);
        }
        list.shrink_to_fit();
    }
}
