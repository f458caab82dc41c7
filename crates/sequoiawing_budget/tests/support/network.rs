use rand::{Rng, RngExt};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// An endpoint of a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Node {
    Owner,
    Centre(usize),
    Router(usize, usize),
}

/// A network that loses, duplicates and delays messages.
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    /// The minimum and maximum delay, in microseconds.
    pub(crate) delay: (u64, u64),
    cuts: BTreeSet<(Node, Node)>,
    /// The number of messages and bytes that each node has sent.
    pub(crate) sent: BTreeMap<Node, (u64, u64)>,
}

impl Network {
    pub(crate) fn new() -> Self {
        Self {
            loss: 0.0,
            repeat: 0.0,
            delay: (200, 1_000),
            cuts: BTreeSet::new(),
            sent: BTreeMap::new(),
        }
    }

    pub(crate) fn cut(&mut self, from: Node, to: Node) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn count<T>(&mut self, from: Node, message: &T)
    where
        T: Serialize,
    {
        let bytes = serde_json::to_vec(message)
            .expect("messages serialize to JSON")
            .len();
        let sent = self.sent.entry(from).or_default();
        sent.0 += 1;
        sent.1 += u64::try_from(bytes).expect("the value fits in u64");
    }

    /// Returns the delay of each copy of a message that arrives.
    pub(crate) fn send<R>(&self, rng: &mut R, from: Node, to: Node) -> Vec<Duration>
    where
        R: Rng,
    {
        if self.cuts.contains(&(from, to)) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.repeat) { 2 } else { 1 };
        let delay = |rng: &mut R| {
            // One in a hundred messages is delayed much longer.
            let factor = if self.loss > 0.0 && rng.random_bool(0.01) {
                500
            } else {
                1
            };
            Duration::from_micros(rng.random_range(self.delay.0..=self.delay.1) * factor)
        };
        (0..copies).map(|_| delay(rng)).collect()
    }
}
