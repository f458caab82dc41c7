use sequoiawing_policy::{
    AffinityChoice, ChooseUpstream, FairDeadline, FairQueueing, Fifo, FirstAsked, FirstFit,
    FixedKeepAlive, IdleSettings, LearnedKeepAlive, LeastLoad, LeastRecent, OnePerQueue,
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
    FirstCome,
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
        ("first-come", Self::FirstCome),
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
        self != Self::FirstCome
    }

    pub(crate) fn choice(self, seed: u64) -> Box<dyn ChooseUpstream> {
        match self {
            Self::FirstCome => Box::new(LeastLoad),
            _ => Box::new(AffinityChoice::new(seed)),
        }
    }

    pub(crate) fn share(self) -> Box<dyn QueueDiscipline> {
        match self {
            Self::FirstCome | Self::NoFairness => Box::new(Fifo::default()),
            _ => Box::new(FairQueueing::default()),
        }
    }

    pub(crate) fn place(self, idle: &IdleSettings) -> PlacePolicies {
        let learned = Box::new(LearnedKeepAlive::new(idle.clone()));
        let chosen = PlacePolicies {
            idle: learned,
            ..PlacePolicies::default()
        };
        match self {
            Self::FirstCome => PlacePolicies {
                replicas: Box::new(OnePerQueue),
                sequence: Box::new(FirstAsked),
                place: Box::new(FirstFit),
                victims: Box::new(LeastRecent),
                idle: Box::new(FixedKeepAlive::new(FIXED_IDLE)),
            },
            Self::FixedIdle => PlacePolicies {
                idle: Box::new(FixedKeepAlive::new(FIXED_IDLE)),
                ..chosen
            },
            Self::NoFairness => PlacePolicies {
                sequence: Box::new(FirstAsked),
                ..chosen
            },
            Self::Chosen | Self::SplitRates => {
                let sequence = Box::new(FairDeadline::default());
                PlacePolicies { sequence, ..chosen }
            }
        }
    }
}
