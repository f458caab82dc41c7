use sequoiawing_policy::{
    AffinityChoice, ChooseUpstream, FairDeadline, FairQueueing, Fifo, FirstFit, FixedKeepAlive,
    KeepAliveSettings, LearnedKeepAlive, LeastLoad, LeastRecentlyUsed, OldestFirst, OnePerRouter,
    PlacePolicies, QueueDiscipline,
};
use std::time::Duration;

/// The scope in which customers' rate limits are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateScope {
    /// One budget for the fleet, with a separate share for a disconnected data
    /// centre.
    Fleet,
    /// An equal part of the budget for each host.
    PerHost,
}

/// A set of policies to measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The default policies.
    Chosen,
    /// First come, first served, with one load per request queue and no
    /// locality.
    Fifo,
    /// The default policies, with a fixed keep-alive of ten minutes.
    FixedIdle,
    /// The default policies, without fair sharing between customers.
    NoFairness,
    /// The default policies, with each customer's rate divided evenly among the
    /// hosts.
    SplitRates,
}

/// The fixed keep-alive that is compared with the learned one.
const FIXED_KEEP_ALIVE: Duration = Duration::from_mins(10);

impl Policy {
    /// All policies with the names used in reports and on the command line.
    pub const ALL: [(&'static str, Self); 5] = [
        ("chosen", Self::Chosen),
        ("first-come", Self::Fifo),
        ("fixed-idle", Self::FixedIdle),
        ("no-fairness", Self::NoFairness),
        ("split-rates", Self::SplitRates),
    ];

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        let entry = Self::ALL.iter().find(|(_, policy)| *policy == self);
        entry.map_or("unknown", |(name, _)| *name)
    }

    /// Returns the scope in which customers' rate limits are enforced.
    pub fn rate_scope(self) -> RateScope {
        match self {
            Self::SplitRates => RateScope::PerHost,
            _ => RateScope::Fleet,
        }
    }

    /// Returns whether routers send demands to the leaders of other data
    /// centres.
    pub(crate) fn is_cross_centre(self) -> bool {
        self != Self::Fifo
    }

    pub(crate) fn upstream_choice(self, seed: u64) -> Box<dyn ChooseUpstream> {
        match self {
            Self::Fifo => Box::new(LeastLoad),
            _ => Box::new(AffinityChoice::new(seed)),
        }
    }

    pub(crate) fn queue_discipline(self) -> Box<dyn QueueDiscipline> {
        match self {
            Self::Fifo | Self::NoFairness => Box::new(Fifo::default()),
            _ => Box::new(FairQueueing::default()),
        }
    }

    pub(crate) fn place_policies(self, keep_alive: &KeepAliveSettings) -> PlacePolicies {
        let learned = Box::new(LearnedKeepAlive::new(keep_alive.clone()));
        let defaults = PlacePolicies {
            keep_alive: learned,
            ..PlacePolicies::default()
        };
        match self {
            Self::Fifo => PlacePolicies {
                replicas: Box::new(OnePerRouter),
                sequence: Box::new(OldestFirst),
                placement: Box::new(FirstFit),
                victims: Box::new(LeastRecentlyUsed),
                keep_alive: Box::new(FixedKeepAlive::new(FIXED_KEEP_ALIVE)),
            },
            Self::FixedIdle => PlacePolicies {
                keep_alive: Box::new(FixedKeepAlive::new(FIXED_KEEP_ALIVE)),
                ..defaults
            },
            Self::NoFairness => PlacePolicies {
                sequence: Box::new(OldestFirst),
                ..defaults
            },
            Self::Chosen | Self::SplitRates => {
                let sequence = Box::new(FairDeadline::default());
                PlacePolicies {
                    sequence,
                    ..defaults
                }
            }
        }
    }
}
