//! Hosts and upstreams in virtual time, some of which ask for a backoff.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    AttemptOutcome, Balancer, BalancerRequest, PickResult, UpstreamKey,
};
use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

const TICK: Duration = Duration::from_millis(5);
const SERVICE_TIME: Duration = Duration::from_millis(200);
const BEGIN: Time = Time::from_millis(2_000);
const END: Time = Time::from_millis(6_000);
const RUN_END: Time = Time::from_millis(8_000);

/// How long after a refusal requests may still arrive.
const NOTICE: Duration = Duration::from_millis(500);

/// The requests of one host that may arrive between the notice and the end.
const ALLOWED: u32 = 2;

/// The upstreams to which a request is sent at most.
const MAX_ATTEMPTS: usize = 3;

/// What hosts send, as a part of what all slots serve.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) hosts: usize,
    pub(crate) upstreams: u32,
    pub(crate) resting: u32,
    pub(crate) slots: u32,
    pub(crate) demand: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// The hosts that sent too much to an upstream that wanted nothing.
    pub(crate) violations: u32,
    /// The requests served while some upstreams wanted none.
    pub(crate) served: u32,
    /// The longest time from the end until an upstream received a request.
    pub(crate) latest_return: Duration,
    /// The most requests that an upstream received in one tick after the end.
    pub(crate) most_at_once: u32,
}

struct Running {
    until: Time,
    host: usize,
    upstream: u32,
    key: UpstreamKey,
}

pub(crate) struct World {
    load: Load,
    random: StdRng,
    hosts: Vec<Balancer>,
    running: Vec<Running>,
    busy: HashMap<u32, u32>,
    /// Whether the resting upstreams are there at all.
    has_resting: bool,
    /// The first refusal of each upstream to each host, and the requests since the notice.
    refusals: HashMap<(usize, u32), (Time, u32)>,
    returns: HashMap<u32, Time>,
    figures: Figures,
}

fn name(upstream: u32) -> Name {
    Name::from(format!("u{upstream}"))
}

impl World {
    pub(crate) fn new(seed: u64, load: Load, has_resting: bool) -> Self {
        let first = if has_resting { 0 } else { load.resting };
        let host = || {
            let mut balancer = Balancer::default();
            for upstream in first..load.upstreams {
                let state = UpstreamState {
                    name: name(upstream),
                    pool: Name::from("pool"),
                    address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
                    epoch: 1,
                    sequence: 1,
                    slots: load.slots,
                    ..UpstreamState::default()
                };
                let state = Arc::new(state);
                balancer.update(&RosterEntry { state, gone: false });
            }
            balancer
        };
        Self {
            load,
            random: StdRng::seed_from_u64(seed),
            hosts: (0..load.hosts).map(|_| host()).collect(),
            running: Vec::new(),
            busy: HashMap::new(),
            has_resting,
            refusals: HashMap::new(),
            returns: HashMap::new(),
            figures: Figures::default(),
        }
    }

    pub(crate) fn run(mut self) -> Figures {
        let slots = f64::from(self.load.slots) * f64::from(self.load.upstreams);
        let arrivals = slots / SERVICE_TIME.as_secs_f64() * self.load.demand * TICK.as_secs_f64();
        let mut now = Time::ZERO;
        let mut due = 0.0;
        while now < RUN_END {
            self.end_runs(now);
            due += arrivals;
            let mut at_once: HashMap<u32, u32> = HashMap::new();
            while due >= 1.0 {
                due -= 1.0;
                let host = self.random.random_range(0..self.load.hosts);
                for upstream in self.send(now, host) {
                    *at_once.entry(upstream).or_default() += 1;
                }
            }
            let most = at_once
                .iter()
                .filter(|(upstream, _)| self.is_resting(**upstream));
            let most = most.map(|(_, count)| *count).max().unwrap_or_default();
            if now >= END {
                self.figures.most_at_once = self.figures.most_at_once.max(most);
            }
            now = now + TICK;
        }
        let resting = if self.has_resting {
            self.load.resting
        } else {
            0
        };
        let returns = (0..resting).map(|u| self.returns.get(&u).copied().unwrap_or(Time::MAX));
        let latest = returns.max().unwrap_or(END);
        self.figures.latest_return = latest.since(END);
        let counts = self.refusals.values();
        let violations = counts.filter(|(_, count)| *count > ALLOWED).count();
        self.figures.violations = u32::try_from(violations).expect("a small number");
        self.figures
    }

    fn is_resting(&self, upstream: u32) -> bool {
        upstream < self.load.resting
    }

    fn end_runs(&mut self, now: Time) {
        let (ended, running) = self.running.drain(..).partition(|run| run.until <= now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for run in ended {
            *self.busy.entry(run.upstream).or_default() -= 1;
            self.hosts[run.host].end(now, run.key, AttemptOutcome::Succeeded);
        }
    }

    /// Sends a request to one upstream after another; returns those that received it.
    fn send(&mut self, now: Time, host: usize) -> Vec<u32> {
        let mut request = BalancerRequest {
            pool: Name::from("pool"),
            seed: self.random.random(),
            ..BalancerRequest::default()
        };
        let mut received = Vec::new();
        while received.len() < MAX_ATTEMPTS {
            let PickResult::Assigned(assignment) = self.hosts[host].pick(now, &request) else {
                break;
            };
            let upstream: u32 = assignment.name.as_str()[1..].parse().expect("a number");
            received.push(upstream);
            request.tried.push(assignment.name.clone());
            let wants_none = self.is_resting(upstream) && now >= BEGIN && now < END;
            if wants_none {
                let (first, count) = self.refusals.entry((host, upstream)).or_insert((now, 0));
                *count += u32::from(now >= *first + NOTICE);
                self.hosts[host].request_backoff(now, &assignment.name, END.since(now));
            } else if self.is_resting(upstream) && now >= END {
                self.returns.entry(upstream).or_insert(now);
            }
            let busy = self.busy.entry(upstream).or_default();
            if wants_none || *busy >= self.load.slots {
                self.hosts[host].end(now, assignment.key, AttemptOutcome::Full);
                continue;
            }
            *busy += 1;
            self.running.push(Running {
                until: now + SERVICE_TIME,
                host,
                upstream,
                key: assignment.key,
            });
            self.figures.served += u32::from(now >= BEGIN && now < END);
            break;
        }
        received
    }
}
