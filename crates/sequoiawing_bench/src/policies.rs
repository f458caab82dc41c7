use sequoiawing_policy::{
    AffinityChoice, ChooseUpstream, FairDeadline, FairQueueing, Fifo, FirstFit, FixedKeepAlive,
    KeepAliveSettings, LearnedKeepAlive, LeastLoad, LeastRecentlyUsed, OldestFirst, OnePerRouter,
    PlacePolicies, QueueDiscipline,
};
use std::time::Duration;

/// How customers' rates are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rates {
    /// One budget for the fleet, with a share for a data centre that is cut
    /// off.
    Fleet,
    /// Each host has an equal part.
    Split,
}

/// The decisions that run in a bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// What ships.
    Chosen,
    /// First come, first served; one load a request queue; no locality.
    Fifo,
    /// What ships, with a fixed keep-alive of ten minutes.
    FixedIdle,
    /// What ships, without shares between customers.
    NoFairness,
    /// What ships, with each rate divided by host.
    SplitRates,
}

/// The fixed keep-alive that stands beside the learned one.
const FIXED_IDLE: Duration = Duration::from_mins(10);

impl Policy {
    /// All policies, by the names under which they are reported.
    pub const ALL: [(&'static str, Self); 5] = [
        ("chosen", Self::Chosen),
        ("first-come", Self::Fifo),
        ("fixed-idle", Self::FixedIdle),
        ("no-fairness", Self::NoFairness),
        ("split-rates", Self::SplitRates),
    ];

    /// Returns the name under which it is reported.
    pub fn name(self) -> &'static str {
        let known = Self::ALL.iter().find(|(_, policy)| *policy == self);
        known.map_or("unknown", |(name, _)| *name)
    }

    /// Returns how customers' rates are kept.
    pub fn rates(self) -> Rates {
        match self {
            Self::SplitRates => Rates::Split,
            _ => Rates::Fleet,
        }
    }

    /// Reports whether routers ask the leaders of other data centres.
    pub(crate) fn roams(self) -> bool {
        self != Self::Fifo
    }

    pub(crate) fn choice(self, seed: u64) -> Box<dyn ChooseUpstream> {
        match self {
            Self::Fifo => Box::new(LeastLoad),
            _ => Box::new(AffinityChoice::new(seed)),
        }
    }

    pub(crate) fn share(self) -> Box<dyn QueueDiscipline> {
        match self {
            Self::Fifo | Self::NoFairness => Box::new(Fifo::default()),
            _ => Box::new(FairQueueing::default()),
        }
    }

    pub(crate) fn place(self, idle: &KeepAliveSettings) -> PlacePolicies {
        let learned = Box::new(LearnedKeepAlive::new(idle.clone()));
        let chosen = PlacePolicies {
            keep_alive: learned,
            ..PlacePolicies::default()
        };
        match self {
            Self::Fifo => PlacePolicies {
                replicas: Box::new(OnePerRouter),
                sequence: Box::new(OldestFirst),
                placement: Box::new(FirstFit),
                victims: Box::new(LeastRecentlyUsed),
                keep_alive: Box::new(FixedKeepAlive::new(FIXED_IDLE)),
            },
            Self::FixedIdle => PlacePolicies {
                keep_alive: Box::new(FixedKeepAlive::new(FIXED_IDLE)),
                ..chosen
            },
            Self::NoFairness => PlacePolicies {
                sequence: Box::new(OldestFirst),
                ..chosen
            },
            Self::Chosen | Self::SplitRates => {
                let sequence = Box::new(FairDeadline::default());
                PlacePolicies { sequence, ..chosen }
            }
        }
    }
}
