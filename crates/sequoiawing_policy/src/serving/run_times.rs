use sequoiawing_types::Name;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// The most recent answers of a route whose times are kept.
const MAX_ANSWERS: usize = 16;

/// How long upstreams took for the latest complete answers of each route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Name, VecDeque<Duration>>,
}

impl RunTimes {
    /// Records that an upstream took this time for a complete answer.
    pub fn record(&mut self, route: &Name, elapsed: Duration) {
        let times = match self.routes.get_mut(route) {
            Some(times) => times,
            None => self.routes.entry(route.clone()).or_default(),
        };
        if times.len() == MAX_ANSWERS {
            times.pop_front();
        }
        times.push_back(elapsed);
    }

    /// Returns whether a request of a route may end within a time: if one of the latest did,
    /// or if none is known.
    pub fn may_end_within(&self, route: &Name, limit: Duration) -> bool {
        let least = self.routes.get(route).and_then(|times| times.iter().min());
        least.is_none_or(|least| *least <= limit)
    }
}
