use crate::{Deployment, Figures, Policy, Scenario, Simulation, SimulationSettings, Workload};
use sequoiawing_types::Name;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// The combinations to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The deployments.
    pub deployments: Vec<Deployment>,
    /// The scenarios.
    pub scenarios: Vec<(&'static str, Scenario)>,
    /// The policies.
    pub policies: Vec<(&'static str, Policy)>,
    /// The seeds; each gives a separate run.
    pub seeds: Vec<u64>,
    /// The length of each trace.
    pub duration: Duration,
    /// The settings of each run, except the seed.
    pub settings: SimulationSettings,
}

/// The length of a day trace relative to the others. It is longer because
/// models stay idle for longer than they take to load.
const DAY_FACTOR: u32 = 6;

/// The figures of all policies for one trace.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The deployment.
    pub deployment: Name,
    /// The scenario.
    pub scenario: &'static str,
    /// The seed of the trace and of the policies' random choices.
    pub seed: u64,
    /// The length of the trace, in seconds.
    pub secs: u64,
    /// The number of requests in the trace.
    pub requests: usize,
    /// The figures of each policy.
    pub figures: Vec<Figures>,
    /// For each customer, the fraction of its entitled requests that start in
    /// time when it is the only customer, under the first policy.
    pub alone: BTreeMap<Name, f64>,
}

impl Plan {
    /// Runs all combinations.
    pub fn run(&self) -> Vec<Comparison> {
        let mut comparisons = Vec::new();
        for deployment in &self.deployments {
            for (name, scenario) in &self.scenarios {
                for seed in &self.seeds {
                    comparisons.push(self.compare(deployment, name, *scenario, *seed));
                }
            }
        }
        comparisons
    }

    fn compare(
        &self,
        deployment: &Deployment,
        name: &'static str,
        scenario: Scenario,
        seed: u64,
    ) -> Comparison {
        let duration = match scenario {
            Scenario::Day => self.duration * DAY_FACTOR,
            _ => self.duration,
        };
        let workload = scenario.generate(deployment, seed, duration);
        let settings = SimulationSettings {
            seed,
            ..self.settings.clone()
        };
        let run = |policy_name, policy, workload: &Workload| {
            let mut simulation = Simulation::new(deployment.clone(), policy, settings.clone());
            simulation.run(workload);
            Figures::collect(policy_name, deployment, &simulation)
        };
        let policies = self.policies.iter();
        let figures = policies.map(|(name, policy)| run(name, *policy, &workload));
        let figures = figures.collect();
        let mut alone = BTreeMap::new();
        let first = self
            .policies
            .first()
            .filter(|_| scenario == Scenario::Flood);
        if let Some((policy_name, policy)) = first {
            for customer in &deployment.customers {
                let mut own_workload = workload.clone();
                own_workload
                    .requests
                    .retain(|r| r.customer == customer.name);
                let figures = run(policy_name, *policy, &own_workload);
                alone.insert(customer.name.clone(), figures.total.in_time_ratio());
            }
        }
        Comparison {
            deployment: deployment.name.clone(),
            scenario: name,
            seed,
            secs: duration.as_secs(),
            requests: workload.requests.len(),
            figures,
            alone,
        }
    }
}
