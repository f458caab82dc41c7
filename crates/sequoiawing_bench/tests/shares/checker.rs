use crate::simulation::{MODELS, Simulation, Target, target};
use sequoiawing_tables::Allotments;

impl Simulation {
    /// Returns the sum of the allotments that the current leaders hold for a
    /// model.
    fn leader_allotments(&self, target: &Target) -> u32 {
        let leaders = self.hosts.iter().filter(|h| h.is_alive);
        let leaders = leaders.filter(|h| h.cell.lease(self.now).is_some());
        let counts = leaders.map(|h| h.placer.allotments().get(target).copied().unwrap_or(0));
        counts.sum()
    }

    /// Returns a description of the first model that exceeds its replica limit
    /// in loaded replicas, in leaders' allotments or in the log. After an
    /// operator lowers the limit, the counts may stay above it but must not
    /// rise.
    pub(crate) fn check_limits(&mut self) -> Option<String> {
        for model in 0..MODELS {
            let target = target(model);
            let pool = &self.log.pools[&target.0];
            let limit = pool.model(target.1.as_str()).map_or(0, |m| m.replicas);
            let last_bound = self.last_bounds.get(&target).copied().unwrap_or(0);
            let loaded = self.runners.iter().filter(|r| r.state.has_model(&target.1));
            let loaded = u32::try_from(loaded.count()).unwrap_or(u32::MAX);
            let allotments = self.log.allotments(&target.0, &target.1);
            let allotted = allotments.map_or(0, Allotments::total);
            let bound = limit.max(last_bound);
            for (what, count) in [
                ("loaded", loaded),
                ("held", self.leader_allotments(&target)),
                ("allotted", allotted),
            ] {
                if count > bound {
                    let (now, model) = (self.now, &target.1);
                    return Some(format!(
                        "{now} {count} replicas of {model} {what}, at most {bound}"
                    ));
                }
            }
            let bound = allotted.max(loaded).min(bound);
            self.last_bounds.insert(target, bound);
        }
        None
    }
}
