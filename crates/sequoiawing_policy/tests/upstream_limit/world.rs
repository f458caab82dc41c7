//! Hosts that send requests to one limited upstream, in virtual time.

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use sequoiawing_policy::serving::{LimitReport, NamedRate, PeerView, TokenHolder, TokenIssuer};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{collections::BTreeMap, time::Duration};

const STEP: Duration = Duration::from_millis(10);

/// The time between two reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The longest way of a report to the issuer, and of a grant back.
const MAX_DELAY: u64 = 300;

/// How long a request waits for a token.
const REQUEST_WAIT: Duration = Duration::from_millis(500);

/// The window in which the upstream counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// What happens to the hosts during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// The traffic moves to other hosts every 5 seconds.
    TrafficMoves,
    /// Some hosts start anew every 3 seconds.
    Restarts,
    /// A third of the hosts is out of touch with the issuer for 6 seconds.
    Cut,
    /// Another host becomes the issuer every 5 seconds.
    IssuerMoves,
    /// There is no issuer after 10 seconds.
    IssuerLost,
    /// Messages are lost.
    Losses,
}

/// A load on a limited upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) hosts: u32,
    /// The hosts that have requests.
    pub(crate) active: u32,
    /// The limit, in requests per second.
    pub(crate) rate: f64,
    /// The requests per second over all hosts.
    pub(crate) demand: f64,
    pub(crate) trouble: Trouble,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Figures {
    /// The requests that reached the upstream per second, after the first seconds.
    pub(crate) sent: f64,
    /// The most requests in a window.
    pub(crate) peak: usize,
}

struct Host {
    name: Name,
    incarnation: u64,
    holder: TokenHolder,
    next_report: Time,
    /// The requests that wait, by their arrival.
    waiting: Vec<Time>,
    is_cut: bool,
}

enum Message {
    Report(usize, u64, LimitReport),
    Grant(usize, u64, u64, (u64, u64)),
}

pub(crate) struct World {
    random: ChaCha8Rng,
    now: Time,
    load: Load,
    hosts: Vec<Host>,
    issuer: TokenIssuer,
    /// The tokens granted to each host, and those settled, as of the last step.
    granted: Vec<(u64, u64)>,
    messages: BTreeMap<(Time, u64), Message>,
    next_message: u64,
    sent: Vec<Time>,
    arrivals: f64,
}

fn upstream() -> Name {
    Name::from("runner")
}

impl World {
    pub(crate) fn new(seed: u64, load: Load) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..load.hosts).map(|i| Host {
            name: Name::from(format!("host-{i}")),
            incarnation: 1,
            holder: TokenHolder::default(),
            next_report: Time::ZERO + random.random_range(0..250) * Duration::from_millis(1),
            waiting: Vec::new(),
            is_cut: false,
        });
        let hosts = hosts.collect();
        let mut issuer = TokenIssuer::default();
        issuer.set_term(Time::ZERO, 1);
        Self {
            random,
            now: Time::ZERO,
            load,
            hosts,
            issuer,
            granted: vec![(0, 0); usize::try_from(load.hosts).expect("there must be few hosts")],
            messages: BTreeMap::new(),
            next_message: 0,
            sent: Vec::new(),
            arrivals: 0.0,
        }
    }

    pub(crate) fn run(mut self, span: Duration) -> Figures {
        while self.now < Time::ZERO + span {
            self.now = self.now + STEP;
            self.make_trouble();
            self.deliver();
            self.issue();
            self.arrive();
            self.send_waiting();
            self.send_reports();
        }
        self.figures()
    }

    fn rate(&self) -> RequestRate {
        RequestRate::per_second(self.load.rate).expect("the rate must be valid")
    }

    fn every(&self, seconds: u64) -> bool {
        let millis = (self.now - Time::ZERO).as_millis();
        millis.is_multiple_of(u128::from(seconds) * 1_000)
    }

    fn make_trouble(&mut self) {
        match self.load.trouble {
            Trouble::Restarts if self.every(3) => {
                let first = self.random.random_range(0..self.hosts.len());
                let count = self.hosts.len().div_ceil(5);
                for i in 0..count {
                    let index = (first + i) % self.hosts.len();
                    let host = &mut self.hosts[index];
                    host.incarnation += 1;
                    host.holder = TokenHolder::default();
                    host.waiting.clear();
                }
            }
            Trouble::Cut if self.every(10) => {
                let count = self.hosts.len().div_ceil(3);
                for host in &mut self.hosts[..count] {
                    host.is_cut = true;
                }
            }
            Trouble::Cut if self.every(4) => {
                for host in &mut self.hosts {
                    host.is_cut = false;
                }
            }
            Trouble::IssuerMoves if self.every(5) => {
                let term = self.issuer.term() + 1;
                self.issuer.set_term(self.now, term);
            }
            _ => {}
        }
    }

    fn has_issuer(&self) -> bool {
        self.load.trouble != Trouble::IssuerLost || self.now < Time::ZERO + Duration::from_secs(10)
    }

    fn post(&mut self, message: Message) {
        let is_lost = self.load.trouble == Trouble::Losses && self.random.random_range(0..4) == 0;
        if is_lost || !self.has_issuer() {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..=MAX_DELAY));
        self.next_message += 1;
        let key = (self.now + delay, self.next_message);
        self.messages.insert(key, message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Report(i, incarnation, report) if !self.hosts[i].is_cut => {
                    let name = self.hosts[i].name.clone();
                    let host = (&name, incarnation);
                    self.issuer.record(self.now, host, Duration::ZERO, &report);
                    self.answer(i);
                }
                Message::Grant(i, incarnation, term, granted) => {
                    let host = &mut self.hosts[i];
                    if !host.is_cut && host.incarnation == incarnation {
                        let (granted, settled) = granted;
                        host.holder.apply_grant(self.now, term, granted, settled);
                    }
                }
                Message::Report(..) => {}
            }
        }
    }

    fn answer(&mut self, index: usize) {
        let (term, granted) = (self.issuer.term(), self.granted[index]);
        let incarnation = self.hosts[index].incarnation;
        self.post(Message::Grant(index, incarnation, term, granted));
    }

    fn issue(&mut self) {
        if !self.has_issuer() {
            return;
        }
        let missing = self.hosts.iter().filter(|h| h.is_cut).count();
        let view = PeerView {
            hosts: self.load.hosts,
            missing: u32::try_from(missing).expect("there must be few hosts"),
            is_isolated: false,
        };
        self.issuer.advance(self.now, view);
        let mut granted = vec![(0, 0); self.hosts.len()];
        for limit in self.issuer.limits() {
            for grant in limit.grants {
                let number = grant.host.as_str().trim_start_matches("host-");
                let index: usize = number.parse().expect("the host must have a number");
                if grant.incarnation == self.hosts[index].incarnation {
                    granted[index] = (grant.granted, grant.settled);
                }
            }
        }
        let before = std::mem::replace(&mut self.granted, granted);
        for (i, former) in before.into_iter().enumerate() {
            if self.granted[i].0 > former.0 {
                self.answer(i);
            }
        }
    }

    /// Returns the first of the hosts that have requests now.
    fn first_active(&self) -> u32 {
        if self.load.trouble != Trouble::TrafficMoves {
            return 0;
        }
        let turns = (self.now - Time::ZERO).as_secs() / 5;
        let turns = u32::try_from(turns).expect("the run must be short");
        turns * self.load.active % self.load.hosts
    }

    fn arrive(&mut self) {
        self.arrivals += self.load.demand * STEP.as_secs_f64();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            let offset = self.random.random_range(0..self.load.active);
            let index = (self.first_active() + offset) % self.load.hosts;
            let index = usize::try_from(index).expect("the index must be small");
            self.hosts[index].holder.record_demand(self.now);
            self.hosts[index].waiting.push(self.now);
        }
    }

    fn send_waiting(&mut self) {
        let (now, rate, count) = (self.now, self.rate(), self.load.hosts);
        for host in &mut self.hosts {
            host.waiting.retain(|at| now.since(*at) <= REQUEST_WAIT);
            while !host.waiting.is_empty() && host.holder.has_token(now, rate, count) {
                host.holder.take();
                host.waiting.remove(0);
                self.sent.push(now);
            }
        }
    }

    fn send_reports(&mut self) {
        let named = NamedRate {
            rate: Some(self.rate()),
            observed: self.now,
        };
        for i in 0..self.hosts.len() {
            if self.now < self.hosts[i].next_report {
                continue;
            }
            self.hosts[i].next_report = self.now + REPORT_INTERVAL;
            let report = LimitReport {
                upstream: upstream(),
                epoch: 1,
                named: Some(named),
                tokens: self.hosts[i].holder.report(self.now),
            };
            self.post(Message::Report(i, self.hosts[i].incarnation, report));
        }
    }

    fn figures(&self) -> Figures {
        let start = Time::ZERO + Duration::from_secs(5);
        let later = self.sent.iter().filter(|at| **at >= start).count();
        let span = (self.now - start).as_secs_f64();
        let mut peak = 0;
        let mut first = 0;
        for (last, at) in self.sent.iter().enumerate() {
            while at.since(self.sent[first]) >= WINDOW {
                first += 1;
            }
            peak = peak.max(last + 1 - first);
        }
        #[expect(clippy::cast_precision_loss, reason = "there are few requests")]
        let sent = later as f64 / span;
        Figures { sent, peak }
    }
}
