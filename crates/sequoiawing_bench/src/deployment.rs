use crate::fakes::{RunnerSpec, StoreSpec};
use sequoiawing_tables::{Customer, Model, Pool, PoolKind, Shared};
use sequoiawing_types::Name;
use std::time::Duration;

/// A deployment to measure.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name.
    pub name: Name,
    /// The data centres.
    pub centres: Vec<Name>,
    /// The data centre of each router.
    pub routers: Vec<Name>,
    /// The pool of runners.
    pub pool: Pool,
    /// The runners.
    pub runners: Vec<RunnerSpec>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// The weight store.
    pub store: StoreSpec,
    /// The load time of 4,096 MiB from the store at full speed.
    pub load_time: Duration,
    /// The time to generate one token.
    pub token_time: Duration,
    /// The time to process one prompt token that is not cached.
    pub prompt_time: Duration,
}

/// The size of a model that loads in [`Deployment::load_time`], in MiB.
pub(crate) const REFERENCE_MIB: u64 = 4_096;

/// Load times from disk and from main memory, relative to the weight store.
const DISK_TIME_FACTOR: f64 = 0.4;
const MEMORY_TIME_FACTOR: f64 = 0.1;

impl Deployment {
    /// Returns the duration of a load at full speed. `memory` is in MiB.
    pub fn load_duration(
        &self,
        memory: u64,
        checkpoint: sequoiawing_policy::CheckpointLocation,
    ) -> Duration {
        use sequoiawing_policy::CheckpointLocation;
        #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
        let size = memory as f64 / REFERENCE_MIB as f64;
        let factor = match checkpoint {
            CheckpointLocation::Memory => MEMORY_TIME_FACTOR,
            CheckpointLocation::Disk => DISK_TIME_FACTOR,
            CheckpointLocation::Remote => 1.0,
        };
        self.load_time.mul_f64(size * factor)
    }

    /// Cartoon captions: three data centres, ten runners, fifty models and
    /// forty adapters.
    pub fn inkveld() -> Self {
        let size = DeploymentSize {
            name: "inkveld",
            centres: 3,
            runners: 10,
            models: 50,
            adapters: 40,
            load_rate: 8.0,
            customers: &["daily", "weekly", "north", "coast", "archive"],
        };
        size.build()
    }

    /// Reader comments: four data centres, twenty runners, a hundred models and
    /// a hundred adapters.
    pub fn kommentarwerk() -> Self {
        let size = DeploymentSize {
            name: "kommentarwerk",
            centres: 4,
            runners: 20,
            models: 100,
            adapters: 100,
            load_rate: 15.0,
            customers: &["isar", "lech", "donau", "inn", "regnitz"],
        };
        size.build()
    }
}

/// The parameters from which a deployment is built.
struct DeploymentSize {
    name: &'static str,
    centres: usize,
    runners: usize,
    models: usize,
    adapters: usize,
    load_rate: f64,
    customers: &'static [&'static str],
}

/// The number of routers in each deployment.
const ROUTER_COUNT: usize = 6;

/// The accelerator memory of a runner, in MiB.
const RUNNER_MEMORY_MIB: u64 = 49_152;

/// The requests that a runner processes concurrently.
const RUNNER_SLOTS: u32 = 16;

/// The concurrent loads that the weight store serves at full speed.
const STORE_SLOTS: u32 = 4;

/// The number of large customers, and their rate relative to small ones.
const LARGE_CUSTOMERS: usize = 2;
const LARGE_FACTOR: u64 = 4;

/// The rate of a small customer, in tokens per second.
const SMALL_RATE: u64 = 600;

impl DeploymentSize {
    fn build(&self) -> Deployment {
        let centres: Vec<Name> = (0..self.centres)
            .map(|i| Name::from(format!("centre-{}", i + 1)))
            .collect();
        let routers = (0..ROUTER_COUNT).map(|i| centres[i % self.centres].clone());
        Deployment {
            name: Name::from(self.name),
            routers: routers.collect(),
            pool: self.pool(),
            runners: (0..self.runners)
                .map(|i| self.runner(i, &centres))
                .collect(),
            customers: self.customers(),
            store: StoreSpec {
                load_rate: self.load_rate,
                slots: STORE_SLOTS,
            },
            load_time: Duration::from_secs(1),
            token_time: Duration::from_millis(20),
            prompt_time: Duration::from_micros(500),
            centres,
        }
    }

    fn pool(&self) -> Pool {
        let mut models: Vec<Model> = (0..self.models)
            .map(|i| Model {
                name: model_name(i),
                memory: 2_048 * (1 + i as u64 % 5),
                replicas: u32::try_from(self.centres).unwrap_or(1),
                adapters: Shared::default(),
            })
            .collect();
        for i in 0..self.adapters {
            let adapter = Name::from(format!("adapter-{i:02}"));
            models[i % self.models / 4].adapters.push(adapter);
        }
        Pool {
            name: Name::from("models"),
            kind: PoolKind::Runners,
            models,
            ..Pool::default()
        }
    }

    /// Spreads the runners over the data centres and the checkpoints unevenly
    /// over the runners. Every third runner has a disk, a third of the models
    /// are on some disk, and only a few are in main memory.
    fn runner(&self, i: usize, centres: &[Name]) -> RunnerSpec {
        let has_disk = i.is_multiple_of(3);
        let disk = (0..self.models)
            .filter(|m| has_disk && m.is_multiple_of(3) && (m + i).is_multiple_of(4));
        let cached = (0..self.models).filter(|m| i % 4 == 1 && (m * 7 + i).is_multiple_of(19));
        RunnerSpec {
            name: Name::from(format!("runner-{:02}", i + 1)),
            pool: Name::from("models"),
            centre: centres[i % centres.len()].clone(),
            memory: RUNNER_MEMORY_MIB,
            slots: RUNNER_SLOTS,
            disk: disk.map(model_name).collect(),
            cached: cached.map(model_name).collect(),
            fenced: i % 5 != 4,
        }
    }

    fn customers(&self) -> Vec<Customer> {
        let customers = self.customers.iter().enumerate();
        let customers = customers.map(|(i, name)| {
            let rate = if i < LARGE_CUSTOMERS {
                SMALL_RATE * LARGE_FACTOR
            } else {
                SMALL_RATE
            };
            Customer {
                name: Name::from(*name),
                rate,
                burst: rate * 20,
                weight: if i < LARGE_CUSTOMERS { 4 } else { 1 },
                ..Customer::default()
            }
        });
        customers.collect()
    }
}

/// Returns the name of the model with the given number.
pub(crate) fn model_name(i: usize) -> Name {
    Name::from(format!("model-{i:02}"))
}
