use super::{Checkpoint, engine::Engine};
use sequoiawing_types::Name;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the engines of one pool hold, as of one decision.
#[derive(Clone, Debug, Default)]
pub(super) struct Census {
    /// The number of engines.
    pub(super) engines: usize,
    /// The engines that may be given a load, with the memory that they have
    /// free; nothing when they may be overcommitted.
    pub(super) free: BTreeMap<Name, Option<u64>>,
    /// The engines that hold a model or are about to.
    copies: HashMap<Name, usize>,
    /// The models of which an engine that does not hold them has a copy of the
    /// weights, or is about to.
    at_hand: HashSet<Name>,
}

impl Census {
    /// Counts an engine that serves.
    pub(super) fn count(&mut self, engine: &Engine) {
        let loading = engine.job.as_ref().map(|job| &job.model);
        let held = engine.held().filter(|m| Some(*m) != loading);
        let kept = held.filter(|m| engine.will_hold(m));
        for model in kept.chain(loading) {
            *self.copies.entry(model.clone()).or_default() += 1;
        }
        let copies = engine.state.cached.iter().chain(&engine.state.disk);
        let near = copies.filter(|m| !engine.holds(m));
        let near = near.filter(|m| engine.checkpoint(m) != Checkpoint::Store);
        for model in near.chain(loading) {
            if !self.at_hand.contains(model) {
                self.at_hand.insert(model.clone());
            }
        }
    }

    /// Returns the number of engines that hold a model or are about to.
    pub(super) fn copies(&self, model: &Name) -> usize {
        self.copies.get(model).copied().unwrap_or_default()
    }

    /// Reports whether an engine that does not hold a model has a copy of its
    /// weights, or is about to.
    pub(super) fn is_at_hand(&self, model: &Name) -> bool {
        self.at_hand.contains(model)
    }

    /// Notes that an engine is given a load and gives up other models.
    pub(super) fn place(&mut self, engine: &Name, model: &Name, evict: &[Name]) {
        self.free.remove(engine);
        *self.copies.entry(model.clone()).or_default() += 1;
        self.at_hand.insert(model.clone());
        for name in evict {
            if let Some(copies) = self.copies.get_mut(name) {
                *copies = copies.saturating_sub(1);
            }
        }
    }
}
