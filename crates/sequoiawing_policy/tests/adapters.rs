//! Guards against event costs that grow with the number of adapters: a leader
//! that knows 75,000 adapters, most of them idle, does no more work per event
//! than one that knows 750. This test has a file of its own because it counts
//! all allocations of the process.

use sequoiawing_fleet::{Demand, UpstreamState};
use sequoiawing_policy::{Leadership, PlaceEvent, PlaceSettings, Placer};
use sequoiawing_tables::{Model, Pool};
use sequoiawing_types::{Name, Time};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, Stats, StatsAlloc};
use std::{alloc::System, time::Duration};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MODELS: usize = 84;
const RUNNERS: usize = 10;

/// The time between two ticks, in milliseconds.
const TICK: u64 = 50;

/// The number of demands between two ticks.
const DEMANDS: usize = 20;

/// The maximum heap memory of an idle adapter, in bytes.
const MAX_BYTES: usize = 400;

fn adapter(i: usize) -> (Name, Name) {
    let model = Name::from(format!("model-{:02}", i % MODELS));
    let adapter = Name::from(format!("{model}:adapter-{i:05}"));
    (model, adapter)
}

/// The costs of a leader's events.
struct Costs {
    /// The heap memory that the leader retains, in bytes.
    retained: usize,
    /// The allocations of ten seconds of ticks.
    idle: Stats,
    /// The allocations of the demands between two ticks.
    demands: Stats,
}

struct Leader {
    placer: Placer,
    now: u64,
}

impl Leader {
    fn new() -> Self {
        let settings = PlaceSettings {
            demand_lifetime: Duration::from_millis(TICK / 2),
            ..PlaceSettings::default()
        };
        let mut leader = Self {
            placer: Placer::new(settings),
            now: 0,
        };
        let models = (0..MODELS).map(|i| Model {
            name: adapter(i).0,
            ..Model::default()
        });
        let pool = Pool {
            name: Name::from("models"),
            models: models.collect(),
            ..Pool::default()
        };
        leader.handle(PlaceEvent::Configured { pools: vec![pool] });
        leader.handle(PlaceEvent::LeadershipChanged {
            leadership: Some(Leadership::default()),
        });
        for i in 0..RUNNERS {
            let loaded = (0..MODELS).filter(|m| m % RUNNERS == i);
            let state = UpstreamState {
                name: Name::from(format!("runner-{i}")),
                pool: Name::from("models"),
                epoch: 1,
                sequence: 1,
                memory: 100_000,
                slots: 16,
                loaded: loaded.map(|m| adapter(m).0).collect(),
                active: (0..MODELS).map(|m| adapter(m).0).collect(),
                ..UpstreamState::default()
            };
            leader.handle(PlaceEvent::Announced(state.into()));
        }
        leader
    }

    fn handle(&mut self, event: PlaceEvent) {
        let now = Time::from_millis(self.now);
        self.placer.handle(now, event, &mut Vec::new());
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.handle(PlaceEvent::Tick);
    }

    fn send_demand(&mut self, i: usize) {
        let (model, adapter) = adapter(i);
        let demand = Demand {
            host: Name::from("entry-1"),
            pool: Name::from("models"),
            model,
            adapter: Some(adapter),
            waiting: 1,
            tokens: 100,
            deadline: TICK / 2,
            ..Demand::default()
        };
        let now = Time::from_millis(self.now);
        self.placer.demand(now, &demand, &mut Vec::new());
    }
}

fn measure(adapters: usize) -> Costs {
    let region = Region::new(ALLOCATOR);
    let mut leader = Leader::new();
    for i in 0..adapters {
        if i % DEMANDS == 0 {
            leader.tick();
        }
        leader.send_demand(i);
    }
    // All demands expire, so that the adapters are idle.
    for _ in 0..40 {
        leader.tick();
    }
    let change = region.change();
    let retained = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    let region = Region::new(ALLOCATOR);
    for _ in 0..200 {
        leader.tick();
    }
    let idle = region.change();
    let region = Region::new(ALLOCATOR);
    for i in 0..DEMANDS {
        leader.send_demand(i);
    }
    let demands = region.change();
    Costs {
        retained,
        idle,
        demands,
    }
}

/// Returns whether the larger costs exceed the smaller ones by at most a
/// quarter.
fn is_within_quarter(small: Stats, large: Stats) -> bool {
    let counts = large.allocations * 4 <= small.allocations * 5;
    counts && large.bytes_allocated * 4 <= small.bytes_allocated * 5
}

#[test]
fn idle_adapters_cost_a_leader_no_work_and_little_memory() {
    let few = measure(750);
    let many = measure(75_000);
    assert!(
        is_within_quarter(few.idle, many.idle),
        "{:?} {:?}",
        few.idle,
        many.idle
    );
    assert!(
        is_within_quarter(few.demands, many.demands),
        "{:?} {:?}",
        few.demands,
        many.demands
    );
    let each = (many.retained - few.retained) / (75_000 - 750);
    assert!(each <= MAX_BYTES, "{each} bytes for each adapter");
}
