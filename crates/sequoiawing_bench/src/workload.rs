use crate::{Deployment, Fault};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct Request {
    /// The arrival time.
    pub at: Time,
    /// The index of the router that receives it.
    pub router: usize,
    /// The customer.
    pub customer: Name,
    /// The model.
    pub model: Name,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of answer tokens.
    pub answer_tokens: u64,
    /// The time after arrival within which the answer must start.
    pub deadline: Duration,
    /// The hash of the prompt's prefix; 0 if it has none.
    pub prefix: u64,
}

impl Request {
    /// Returns the total of prompt and answer tokens.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// A trace and its faults.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// The requests, ordered by arrival time.
    pub requests: Vec<Request>,
    /// The faults and their times.
    pub faults: Vec<(Time, Fault)>,
    /// The end of the trace.
    pub end: Time,
}

/// A kind of workload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Each model has its own pattern: rare, regular or busy.
    Day,
    /// Bursts of requests for many unloaded models at all routers.
    Burst,
    /// Bursts while one customer sends five times its rate.
    Flood,
    /// Bursts while the weight store runs at a quarter of its speed.
    SlowStore,
    /// Bursts while runners die during loads, hang and restart.
    Deaths,
    /// Bursts while a data centre is disconnected.
    Cut,
    /// Bursts while a customer's keys are withdrawn.
    Withdrawal,
}

impl Scenario {
    /// All scenarios with their names on the command line.
    pub const ALL: [(&'static str, Self); 7] = [
        ("day", Self::Day),
        ("burst", Self::Burst),
        ("flood", Self::Flood),
        ("slow-store", Self::SlowStore),
        ("deaths", Self::Deaths),
        ("cut", Self::Cut),
        ("withdrawal", Self::Withdrawal),
    ];

    /// Generates the workload. The same seed gives the same workload.
    pub fn generate(self, deployment: &Deployment, seed: u64, duration: Duration) -> Workload {
        let mut builder = TraceBuilder {
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: Vec::new(),
            end: Time::ZERO + duration,
        };
        match self {
            Self::Day => builder.add_model_patterns(),
            Self::Flood => {
                builder.add_bursts();
                builder.add_steady(1.0);
                builder.add_flood();
            }
            _ => {
                builder.add_bursts();
                builder.add_steady(1.0);
            }
        }
        let faults = self.faults(deployment, duration);
        let mut requests = builder.requests;
        requests.sort_by_key(|r| r.at);
        Workload {
            requests,
            faults,
            end: Time::ZERO + duration,
        }
    }

    fn faults(self, deployment: &Deployment, duration: Duration) -> Vec<(Time, Fault)> {
        let at = |fraction: f64| Time::ZERO + duration.mul_f64(fraction);
        let last = deployment.runners.len() - 1;
        match self {
            Self::SlowStore => vec![
                (at(0.2), Fault::StoreSpeed(0.25)),
                (at(0.8), Fault::StoreSpeed(1.0)),
            ],
            Self::Deaths => vec![
                (at(0.2), Fault::Hang(1)),
                (at(0.3), Fault::KillInLoad(0)),
                (at(0.4), Fault::Restart(0)),
                (at(0.5), Fault::KillInLoad(last)),
                (at(0.6), Fault::Restart(last)),
                (at(0.65), Fault::Kill(2)),
                (at(0.7), Fault::Restart(2)),
                (at(0.75), Fault::Recover(1)),
            ],
            Self::Cut => vec![(at(0.3), Fault::Cut(0)), (at(0.7), Fault::Heal(0))],
            Self::Withdrawal => vec![(at(0.5), Fault::Withdraw(1))],
            Self::Day | Self::Burst | Self::Flood => Vec::new(),
        }
    }
}

/// The mean interval between bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(45);

/// The range of the number of models in a burst, end excluded.
const BURST_MODELS: (usize, usize) = (6, 24);

/// The range of the number of requests per model in a burst, end excluded.
const BURST_REQUESTS: (usize, usize) = (2, 12);

/// The time over which the requests of a burst arrive, in milliseconds.
const BURST_SPREAD_MS: u64 = 400;

/// The possible deadlines of requests, in seconds.
const DEADLINES_S: [u64; 4] = [4, 6, 10, 20];

/// The rate of a flooding customer relative to its limit.
const FLOOD_FACTOR: f64 = 5.0;

struct TraceBuilder<'a> {
    deployment: &'a Deployment,
    rng: ChaCha8Rng,
    requests: Vec<Request>,
    end: Time,
}

impl TraceBuilder<'_> {
    /// Draws an exponentially distributed interval with the given mean.
    fn draw_interval(&mut self, mean: Duration) -> Duration {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        mean.mul_f64(-draw.ln())
    }

    fn draw_customer(&mut self) -> usize {
        let customers = &self.deployment.customers;
        let total: u64 = customers.iter().map(|c| c.rate).sum();
        let mut draw = self.rng.random_range(0..total);
        for (i, customer) in customers.iter().enumerate() {
            if draw < customer.rate {
                return i;
            }
            draw -= customer.rate;
        }
        0
    }

    fn draw_request(&mut self, at: Time, customer: usize, model: usize) -> Request {
        let spec = &self.deployment.pool.models[model];
        let adapter = (!spec.adapters.is_empty() && self.rng.random_bool(0.5)).then(|| {
            let i = self.rng.random_range(0..spec.adapters.len());
            Name::from(format!("{}:{}", spec.name, spec.adapters[i]))
        });
        let group = self.rng.random_range(0..8);
        Request {
            at,
            router: self.rng.random_range(0..self.deployment.routers.len()),
            customer: self.deployment.customers[customer].name.clone(),
            model: spec.name.clone(),
            adapter,
            prompt_tokens: self.rng.random_range(50..400),
            answer_tokens: self.rng.random_range(15..80),
            deadline: Duration::from_secs(DEADLINES_S[self.rng.random_range(0..DEADLINES_S.len())]),
            prefix: (model as u64) * 100 + group + 1,
        }
    }

    /// Adds bursts of requests for random models at random routers.
    fn add_bursts(&mut self) {
        let mut at = Time::ZERO + Duration::from_secs(5);
        while at < self.end {
            let models = self.rng.random_range(BURST_MODELS.0..BURST_MODELS.1);
            for _ in 0..models {
                let model = self.rng.random_range(0..self.deployment.pool.models.len());
                let customer = self.draw_customer();
                let count = self.rng.random_range(BURST_REQUESTS.0..BURST_REQUESTS.1);
                for _ in 0..count {
                    let delay = self.rng.random_range(0..BURST_SPREAD_MS);
                    let request =
                        self.draw_request(at + Duration::from_millis(delay), customer, model);
                    self.requests.push(request);
                }
            }
            at = at
                + self
                    .draw_interval(BURST_INTERVAL)
                    .max(Duration::from_secs(2));
        }
    }

    /// Adds a steady load from all customers on the first four models, at a
    /// third of their rates times `factor`.
    fn add_steady(&mut self, factor: f64) {
        for customer in 0..self.deployment.customers.len() {
            self.add_customer(customer, factor / 3.0, 4);
        }
    }

    /// Adds requests of the last customer, a small one, beyond its rate.
    fn add_flood(&mut self) {
        let customer = self.deployment.customers.len() - 1;
        let models = self.deployment.pool.models.len();
        self.add_customer(customer, FLOOD_FACTOR, models);
    }

    fn add_customer(&mut self, customer: usize, factor: f64, models: usize) {
        #[expect(clippy::cast_precision_loss, reason = "rates are small")]
        let rate = self.deployment.customers[customer].rate as f64 * factor;
        let mean = Duration::from_secs_f64(270.0 / rate);
        let mut at = Time::ZERO + self.draw_interval(mean);
        while at < self.end {
            let model = self.rng.random_range(0..models);
            let request = self.draw_request(at, customer, model);
            self.requests.push(request);
            at = at + self.draw_interval(mean);
        }
    }

    /// Adds groups of requests for each model by its own pattern.
    fn add_model_patterns(&mut self) {
        for model in 0..self.deployment.pool.models.len() {
            let kind = model % 10;
            let mean = match kind {
                0 => Duration::from_secs(20),
                1 | 2 => Duration::from_mins(3),
                3 | 4 => Duration::from_mins(8),
                _ => Duration::from_mins(25),
            };
            let is_regular = kind == 4 || kind == 9;
            let mut at = Time::ZERO + mean.mul_f64(self.rng.random_range(0.0..1.0));
            while at < self.end {
                self.add_request_group(at, model);
                let interval = if is_regular {
                    mean.mul_f64(self.rng.random_range(0.98..1.02))
                } else {
                    self.draw_interval(mean)
                };
                at = at + interval.max(Duration::from_secs(1));
            }
        }
    }

    fn add_request_group(&mut self, at: Time, model: usize) {
        let customer = self.draw_customer();
        let count = self.rng.random_range(1..6);
        let mut at = at;
        for _ in 0..count {
            let request = self.draw_request(at, customer, model);
            self.requests.push(request);
            at = at + Duration::from_millis(self.rng.random_range(0..1_500));
        }
    }
}
