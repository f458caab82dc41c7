//! Runs scripted scenarios against the policies in virtual time.
//!
//! A script declares models, runners and customers, sends requests, injects
//! faults and advances the time. The resulting trace is compared with the file.

use datadriven::{TestCase, walk};
use sequoiawing_bench::{
    Deployment, Fault, Policy, Request, RequestStatus, RunnerSpec, Simulation, SimulationSettings,
    StoreSpec,
};
use sequoiawing_tables::{Customer, Model, Pool, Shared};
use sequoiawing_types::{Name, Time};
use std::{str::FromStr, time::Duration};

/// The deployment declared by a script, and the simulation that runs it.
struct Script {
    deployment: Deployment,
    simulation: Option<Simulation>,
    now: Time,
    summarized: usize,
}

impl Script {
    fn new() -> Self {
        let mut deployment = Deployment::inkveld();
        deployment.centres = Vec::new();
        deployment.routers = Vec::new();
        deployment.runners = Vec::new();
        deployment.customers = Vec::new();
        deployment.pool = Pool {
            name: Name::from("models"),
            ..Pool::default()
        };
        deployment.store = StoreSpec {
            load_rate: 8.0,
            slots: 4,
        };
        Self {
            deployment,
            simulation: None,
            now: Time::ZERO,
            summarized: 0,
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "deployment" => self.declare(case),
            "requests" => self.add_requests(case),
            "fault" => self.add_faults(case),
            "run" => self.advance(case),
            other => panic!("unknown directive {other}"),
        }
    }

    /// Declares one item per line: `router`, `model`, `runner` or `customer`.
    fn declare(&mut self, case: &TestCase) -> String {
        for line in case.input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let value = |key: &str| find_value(&words, key);
            match words[0] {
                "router" => self.add_router(words[1]),
                "model" => self.deployment.pool.models.push(Model {
                    name: Name::from(words[1]),
                    memory: parse(value("memory")),
                    replicas: parse(value("replicas")),
                    adapters: Shared::default(),
                }),
                "runner" => {
                    let names = |text: Option<&str>| {
                        let names = text.unwrap_or_default().split(',');
                        names.filter(|n| !n.is_empty()).map(Name::from).collect()
                    };
                    self.deployment.runners.push(RunnerSpec {
                        name: Name::from(words[1]),
                        pool: Name::from("models"),
                        centre: Name::from(value("centre").unwrap_or("north")),
                        memory: parse(value("memory")),
                        slots: parse(value("slots").or(Some("4"))),
                        disk: names(value("disk")),
                        cached: names(value("cached")),
                        fenced: value("fenced") != Some("no"),
                    });
                }
                "customer" => self.deployment.customers.push(Customer {
                    name: Name::from(words[1]),
                    rate: 100_000,
                    burst: 1_000_000,
                    weight: parse(value("weight").or(Some("1"))),
                    ..Customer::default()
                }),
                other => panic!("unknown declaration {other}"),
            }
        }
        let settings = SimulationSettings::default();
        let simulation = Simulation::new(self.deployment.clone(), Policy::Chosen, settings);
        self.simulation = Some(simulation.with_trace());
        String::new()
    }

    fn add_router(&mut self, centre: &str) {
        let centre = Name::from(centre);
        if !self.deployment.centres.contains(&centre) {
            self.deployment.centres.push(centre.clone());
        }
        self.deployment.routers.push(centre);
    }

    /// Adds the requests of each line: `count` of them, `every` milliseconds
    /// apart.
    fn add_requests(&mut self, case: &TestCase) -> String {
        let simulation = self
            .simulation
            .as_mut()
            .expect("the script must declare a deployment first");
        for line in case.input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let value = |key: &str| find_value(&words, key);
            let model = value("model").expect("a request needs a model");
            let every: u64 = parse(value("every").or(Some("0")));
            for i in 0..parse(value("count").or(Some("1"))) {
                let at: u64 = parse(value("at").or(Some("0")));
                let base = model.split(':').next().unwrap_or(model);
                simulation.add_request(Request {
                    at: self.now + Duration::from_millis(at + i * every),
                    router: parse(value("router").or(Some("0"))),
                    customer: Name::from(value("customer").unwrap_or("press")),
                    model: Name::from(base),
                    adapter: model.contains(':').then(|| Name::from(model)),
                    prompt_tokens: 100,
                    answer_tokens: parse(value("answer").or(Some("50"))),
                    deadline: Duration::from_millis(parse(value("deadline").or(Some("10000")))),
                    prefix: parse(value("prefix").or(Some("0"))),
                });
            }
        }
        String::new()
    }

    fn add_faults(&mut self, case: &TestCase) -> String {
        let simulation = self
            .simulation
            .as_mut()
            .expect("the script must declare a deployment first");
        for line in case.input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let at: u64 = parse(find_value(&words, "at").or(Some("0")));
            let runner = || {
                let runners = self.deployment.runners.iter();
                let mut names = runners.map(|r| r.name.as_str());
                names
                    .position(|name| name == words[1])
                    .expect("unknown runner")
            };
            let number = || parse(Some(words[1]));
            let fault = match words[0] {
                "kill" => Fault::Kill(runner()),
                "kill-in-load" => Fault::KillInLoad(runner()),
                "restart" => Fault::Restart(runner()),
                "freeze" => Fault::Freeze(runner()),
                "thaw" => Fault::Thaw(runner()),
                "hang" => Fault::Hang(runner()),
                "fail-loads" => Fault::FailLoads(runner()),
                "mute" => Fault::Mute(runner()),
                "lose-orders" => Fault::LoseOrders(runner()),
                "leave" => Fault::Leave(runner()),
                "recover" => Fault::Recover(runner()),
                "store-speed" => Fault::StoreSpeed(parse(Some(words[1]))),
                "cut" => Fault::Cut(number()),
                "heal" => Fault::Heal(number()),
                "new-leader" => Fault::NewLeader(number()),
                "withdraw" => Fault::Withdraw(number()),
                other => panic!("unknown fault {other}"),
            };
            simulation.add_fault(self.now + Duration::from_millis(at), fault);
        }
        String::new()
    }

    /// Advances the time and returns the trace of orders and requests.
    fn advance(&mut self, case: &mut TestCase) -> String {
        let simulation = self
            .simulation
            .as_mut()
            .expect("the script must declare a deployment first");
        let millis: u64 = case.take_arg("ms").expect("`run` needs `ms`");
        let is_quiet = case.take_flag("quiet").expect("`quiet` takes no value");
        self.now = self.now + Duration::from_millis(millis);
        simulation.run_until(self.now);
        let trace = simulation.take_trace();
        let lines = trace
            .into_iter()
            .filter(|l| !is_quiet && !l.contains("may hold"));
        let mut text: Vec<String> = lines.collect();
        if is_quiet {
            text.push(summary(simulation, self.summarized));
        }
        self.summarized = simulation.outcomes().len();
        text.extend(
            simulation
                .violations()
                .iter()
                .map(|v| format!("VIOLATION {v}")),
        );
        let lines = text.into_iter().filter(|line| !line.is_empty());
        lines.map(|line| line + "\n").collect()
    }
}

/// Summarizes the requests added since the last summary, by customer.
fn summary(simulation: &Simulation, from: usize) -> String {
    let outcomes = &simulation.outcomes()[from..];
    let mut customers: Vec<&Name> = outcomes.iter().map(|o| &o.customer).collect();
    customers.sort();
    customers.dedup();
    let lines = customers.into_iter().map(|name| {
        let of_customer = || outcomes.iter().filter(|o| o.customer == *name);
        let begun = of_customer()
            .filter(|o| o.status == RequestStatus::Begun)
            .count();
        let refused = of_customer()
            .filter(|o| matches!(o.status, RequestStatus::Refused(_)))
            .count();
        let longest = of_customer().map(|o| o.wait.as_millis()).max().unwrap_or(0);
        format!("{name}: {begun} begun, {refused} refused, longest wait {longest} ms")
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// Returns the value of `key=value` among the words.
fn find_value<'a>(words: &[&'a str], key: &str) -> Option<&'a str> {
    let pairs = words.iter().filter_map(|w| w.split_once('='));
    let mut values = pairs.filter(|(k, _)| *k == key).map(|(_, v)| v);
    values.next()
}

fn parse<T>(text: Option<&str>) -> T
where
    T: FromStr,
{
    let value = text.and_then(|t| t.parse().ok());
    value.unwrap_or_else(|| panic!("missing or invalid value: {text:?}"))
}

/// Formats the output of a directive the way `datadriven` expects it.
fn expected_form(text: &str) -> String {
    match text.trim_end() {
        "" => "nothing\n".to_owned(),
        text => format!("{text}\n"),
    }
}

macro_rules! scripts {
    ($($name:ident: $file:literal,)*) => {
        $(
            #[test]
            fn $name() {
                walk(concat!("tests/scripts/", $file), |file| {
                    let mut script = Script::new();
                    file.run(|case| expected_form(&script.run(&mut case.clone())));
                });
            }
        )*
    };
}

scripts! {
    a_cold_burst_from_several_routers_is_one_load: "cold-burst.txt",
    a_lost_reply_loads_nothing_twice: "lost-reply.txt",
    an_order_that_was_lost_is_sent_again: "resent-order.txt",
    a_runner_that_dies_in_a_load_is_replaced: "death-in-load.txt",
    a_restarted_runner_is_loaded_again: "restart.txt",
    a_hanging_load_is_placed_elsewhere: "hanging-load.txt",
    a_short_load_that_hangs_is_soon_placed_elsewhere: "hanging-near.txt",
    a_model_behind_short_loads_is_not_refused: "queued.txt",
    a_failed_load_goes_elsewhere: "failed-load.txt",
    a_slow_store_lengthens_the_estimate: "slow-store.txt",
    the_nearest_checkpoint_is_loaded: "nearest.txt",
    the_cheapest_idle_model_is_evicted: "eviction.txt",
    a_new_leader_waits_for_old_orders: "new-leader.txt",
    a_surplus_replica_is_unloaded: "surplus.txt",
    a_leaving_runner_gets_no_work: "leaving.txt",
    a_remote_replica_serves_requests: "remote.txt",
    a_flood_harms_no_other_customer: "flood.txt",
    a_late_start_is_refused_at_once: "too-late.txt",
    an_idle_model_is_unloaded: "idle.txt",
    an_adapter_is_loaded_with_its_model: "adapter.txt",
    a_regularly_used_model_is_preloaded: "regular.txt",
}
