use crate::world::{MODELS, Target, World, target};
use sequoiawing_tables::Allotments;

impl World {
    /// Returns what the leaders of all data centres may hold of a model.
    fn may_hold(&self, target: &Target) -> u32 {
        let leading = self.hosts.iter().filter(|h| h.is_alive);
        let leading = leading.filter(|h| h.cell.lease(self.now).is_some());
        let counts = leading.map(|h| h.placer.allotments().get(target).copied().unwrap_or(0));
        counts.sum()
    }

    /// Returns what is wrong: a model of which more is loaded, or may be, than
    /// its replicas. While an operator's lowering is not yet carried out, the
    /// numbers may not rise.
    pub(crate) fn fault(&mut self) -> Option<String> {
        for model in 0..MODELS {
            let target = target(model);
            let pool = &self.log.pools[&target.0];
            let limit = pool.model(target.1.as_str()).map_or(0, |m| m.replicas);
            let former = self.former.get(&target).copied().unwrap_or(0);
            let loaded = self.runners.iter().filter(|r| r.state.has_model(&target.1));
            let loaded = u32::try_from(loaded.count()).unwrap_or(u32::MAX);
            let allotments = self.log.allotments(&target.0, &target.1);
            let allotted = allotments.map_or(0, Allotments::total);
            let bound = limit.max(former);
            for (what, count) in [
                ("loaded", loaded),
                ("held", self.may_hold(&target)),
                ("allotted", allotted),
            ] {
                if count > bound {
                    let (now, model) = (self.now, &target.1);
                    return Some(format!("{now} {count} of {model} {what}, at most {bound}"));
                }
            }
            let bound = allotted.max(loaded).min(bound);
            self.former.insert(target, bound);
        }
        None
    }
}
