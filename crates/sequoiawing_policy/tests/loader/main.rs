//! Tests the model loader with late orders, reports and announcements, and with
//! leader changes.

mod turns;
mod world;

use sequoiawing_types::{Name, Time};
use std::time::Duration;
use world::{Faults, World};

/// The duration of a simulation, in which the rare models are requested too.
const SPAN: Duration = Duration::from_secs(40);

macro_rules! random {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..24 {
                let mut world = World::new(seed, $faults);
                world.run(SPAN);
                assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
                assert!(world.loads() > 4, "seed {seed}: only {} loads", world.loads());
            }
        }
    )*};
}

random! {
    no_overcommitment: Faults::default();
    no_overcommitment_with_late_announcements: Faults { late: true, ..Faults::default() };
    no_overcommitment_with_lost_replies: Faults { lost: 0.2, ..Faults::default() };
    no_overcommitment_with_delayed_orders: Faults { lost: 0.2, delayed: true, ..Faults::default() };
    no_overcommitment_with_leader_changes: Faults { leaders: true, late: true, ..Faults::default() };
    no_overcommitment_with_restarts: Faults { restarts: true, ..Faults::default() };
    no_overcommitment_with_all_faults: Faults { late: true, lost: 0.2, delayed: true, leaders: true, restarts: true, crashes: false };
    // Guards against a new start that is filled while an order to the former one may still
    // arrive.
    no_overcommitment_with_orders_to_former_starts: Faults { lost: 0.2, delayed: true, crashes: true, ..Faults::default() };
    no_overcommitment_with_orders_to_former_starts_and_late_announcements: Faults { late: true, lost: 0.2, delayed: true, crashes: true, ..Faults::default() };
}

#[test]
fn missed_model_is_loaded_from_disk() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let model = world.unloaded_on_disk();
    world.miss(&model);
    world.run(Duration::from_millis(1_300));
    assert!(world.is_loaded(&model), "{model} is on a disk");
}

#[test]
fn free_memory_is_filled_without_demand() {
    let mut world = World::new(1, Faults::default());
    world.is_idle = true;
    let before = world.loaded_models();
    world.run(Duration::from_secs(3));
    assert!(
        world.loaded_models() > before,
        "{} models",
        world.loaded_models()
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn memory_is_reserved_for_adapters() {
    // The largest models fill an engine to within 27,500 MB of its capacity.
    for (adapter_weights, is_filled) in [(100, true), (4_000, false)] {
        let mut world = World::new(1, Faults::default());
        world.is_idle = true;
        world.set_adapters(adapter_weights);
        world.run(Duration::from_secs(3));
        let free = world.least_free();
        assert!(free >= 8 * adapter_weights, "{free} MB free");
        assert_eq!(free <= 27_500, is_filled, "{free} MB free");
    }
}

#[test]
fn busy_model_gets_further_replicas() {
    let mut world = World::new(1, Faults::default());
    let model = Name::from("m0");
    for _ in 0..200 {
        world.request(&model, 6);
        world.run(Duration::from_millis(100));
    }
    assert!(world.replicas(&model) > 2, "{}", world.replicas(&model));
}

#[test]
fn saturated_model_gets_one_more_replica() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let model = world.unloaded_on_disk();
    world.miss(&model);
    world.run(Duration::from_millis(1_300));
    // The model may have to come from the weight store.
    for _ in 0..100 {
        world.saturate(&model);
        world.run(Duration::from_millis(100));
    }
    assert!(world.replicas(&model) > 1, "{}", world.replicas(&model));
}

#[test]
fn requested_model_is_not_evicted_for_idle_one() {
    let mut world = World::new(3, Faults::default());
    let model = Name::from("m1");
    for _ in 0..100 {
        world.request(&model, 1);
        world.run(Duration::from_millis(100));
        assert!(world.is_loaded(&model) || world.now < Time::from_millis(3_000));
    }
}

#[test]
fn weight_store_loads_are_limited() {
    for seed in 0..8 {
        let mut world = World::new(seed, Faults::default());
        world.clear_disks();
        world.run(SPAN);
        assert!(world.peak_store_loads <= 4, "{}", world.peak_store_loads);
        assert!(
            world.store_loads > 4,
            "the store was idle: {}",
            world.store_loads
        );
    }
}

/// Demand moves to a model with one replica, and rare models take turns beside it.
/// Guards against replicas that are added at a fixed rate of requests, whatever an
/// engine serves, and that give way to the next rare model.
#[test]
fn model_with_late_answers_gets_replicas_that_stay() {
    for seed in 0..8 {
        let mut world = World::new(seed, Faults::default());
        world.is_idle = true;
        let model = Name::from("m0");
        let mut single = 0;
        for step in 0..300_u32 {
            if world.replicas(&model) < 2 {
                // The first load of the replica may wait for another one.
                single += u32::from(step > 100);
                world.request_late(&model, 1);
            } else {
                world.request(&model, 1);
            }
            if step % 10 == 0 {
                let rare = world.unloaded_on_disk();
                world.miss(&rare);
            }
            world.run(Duration::from_millis(100));
        }
        assert!(
            single <= 10,
            "seed {seed}: one replica for {single} of 200 steps"
        );
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A few late answers among many have other causes.
#[test]
fn few_late_answers_add_no_replica() {
    let mut world = World::new(1, Faults::default());
    world.is_idle = true;
    let model = Name::from("m0");
    world.run(Duration::from_secs(3));
    let before = world.replicas(&model);
    for step in 0..200 {
        world.request(&model, 1);
        if step % 20 == 0 {
            world.request_late(&model, 1);
        }
        world.run(Duration::from_millis(100));
    }
    assert_eq!(world.replicas(&model), before);
}

/// Twelve adapters of one model are asked for in turn, and an engine has room for eight.
/// Guards against adapters that push each other out of one engine for ever, each holding
/// up all other orders until its requests have ended.
#[test]
fn model_with_more_adapters_than_slots_gets_a_replica() {
    let mut world = World::new(1, Faults::default());
    world.is_idle = true;
    let model = Name::from("m0");
    let mut missed = 0;
    for step in 0..240 {
        let is_loaded = world.request_adapter(&model, step % 12);
        missed += u32::from(step >= 120 && !is_loaded);
        world.run(Duration::from_millis(100));
    }
    assert!(
        missed <= 12,
        "{missed} of 120 requests missed their adapter"
    );
    assert_eq!(world.adapters_interrupted, 0, "adapters in use gave way");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// An adapter is asked for again and again while others come and go.
/// Guards against adapters that give way by their age, however much they are used.
#[test]
fn adapter_in_use_does_not_give_way_to_others() {
    let mut world = World::new(1, Faults::default());
    world.is_idle = true;
    let model = Name::from("m0");
    let mut missed = 0;
    for step in 0..200 {
        let is_loaded = world.request_adapter(&model, 0);
        // The first load may wait for one of a model.
        missed += u32::from(step >= 80 && !is_loaded);
        if step % 50 == 0 {
            world.request_adapter(&model, 1 + step / 50);
        }
        if step % 10 == 0 {
            world.request_adapter(&Name::from("m1"), step / 10);
        }
        world.run(Duration::from_millis(100));
    }
    assert_eq!(missed, 0, "requests missed an adapter in steady use");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Orders go unanswered for a while and are carried out seconds later, and a model is
/// missed meanwhile. Guards against requests that wait for one engine alone.
#[test]
fn another_engine_loads_a_model_if_an_order_is_not_answered() {
    let mut slowest = Duration::ZERO;
    for seed in 0..24 {
        let faults = Faults {
            delayed: true,
            ..Faults::default()
        };
        let mut world = World::new(seed, faults);
        world.is_idle = true;
        world.run(Duration::from_secs(8));
        let model = world.unloaded_on_disk();
        world.copy_to_disks(&model);
        world.run(Duration::from_millis(1_300));
        let missed = world.now;
        world.set_lost(1.0);
        while !world.is_loaded(&model) {
            world.miss(&model);
            world.run(Duration::from_millis(50));
            if world.now.since(missed) >= Duration::from_millis(150) {
                world.set_lost(0.0);
            }
        }
        slowest = slowest.max(world.now.since(missed));
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert!(
        slowest <= Duration::from_secs(2),
        "{slowest:?} from the first request"
    );
}

/// Requests more adapters in turn than all engines have slots for, for a minute; returns how
/// many requests of the second half found theirs.
fn request_many_adapters(world: &mut World) -> u32 {
    world.is_idle = true;
    let model = Name::from("m0");
    let mut served = 0;
    for step in 0..1_200 {
        let is_loaded = world.request_adapter(&model, step % 36);
        served += u32::from(step >= 600 && is_loaded);
        world.run(Duration::from_millis(50));
    }
    served
}

/// Guards against an adapter that is loaded into the slot of one that still runs requests
/// (review/12).
#[test]
fn adapters_that_are_unloaded_keep_their_slots_until_their_runs_have_ended() {
    for seed in 0..6 {
        let mut world = World::new(seed, Faults::default());
        let served = request_many_adapters(&mut world);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(world.adapters_interrupted > 0, "seed {seed}: none gave way");
        assert!(served >= 300, "seed {seed}: {served} of 600 requests");
    }
}

macro_rules! adapters {
    ($($name:ident: $faults:expr;)*) => {$(
        // Guards against adapters beyond the slots when orders, announcements or leaders are
        // lost or late.
        #[test]
        fn $name() {
            for seed in 0..6 {
                let mut world = World::new(seed, $faults);
                request_many_adapters(&mut world);
                assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
            }
        }
    )*};
}

adapters! {
    no_adapter_beyond_the_slots_with_lost_replies: Faults { lost: 0.2, ..Faults::default() };
    no_adapter_beyond_the_slots_with_delayed_orders: Faults { lost: 0.2, delayed: true, ..Faults::default() };
    no_adapter_beyond_the_slots_with_leader_changes: Faults { leaders: true, late: true, ..Faults::default() };
    no_adapter_beyond_the_slots_with_restarts: Faults { restarts: true, ..Faults::default() };
    no_adapter_beyond_the_slots_with_all_faults: Faults { late: true, lost: 0.2, delayed: true, leaders: true, restarts: true, crashes: false };
}

/// A stream runs for long while other adapters of its engine are requested now and then.
/// Guards against an adapter that gives way since its last request is the oldest, and then
/// keeps its slot until its runs have ended (review/12).
#[test]
fn adapter_of_a_long_run_does_not_give_way() {
    let mut world = World::new(1, Faults::default());
    world.is_idle = true;
    let model = Name::from("m0");
    for step in 0..60 {
        if step % 2 == 0 {
            world.request_adapter(&model, 1 + step / 2);
        }
        world.run(Duration::from_secs(1));
        if step == 0 {
            assert!(!world.request_adapter(&model, 0));
        } else {
            world.use_adapter(&model, 0);
        }
    }
    assert_eq!(world.adapters_interrupted, 0, "the adapter in use gave way");
    assert_eq!(world.violations, Vec::<String>::new());
}
