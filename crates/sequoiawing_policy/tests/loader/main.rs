//! Which engine loads which model, with orders, reports and announcements that
//! come late, and leaders that change.

mod world;

use sequoiawing_types::{Name, Time};
use std::time::Duration;
use world::{Faults, World};

/// How long the rare models of a world take to be asked for at most.
const SPAN: Duration = Duration::from_secs(40);

macro_rules! random {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..24 {
                let mut world = World::new(seed, $faults);
                world.run(SPAN);
                assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
                assert!(world.loads() > 4, "seed {seed}: only {} loads", world.loads());
            }
        }
    )*};
}

random! {
    no_engine_is_overcommitted: Faults::default();
    nor_with_late_announcements: Faults { late: true, ..Faults::default() };
    nor_with_lost_answers: Faults { lost: 0.2, ..Faults::default() };
    nor_with_orders_that_are_carried_out_late: Faults { lost: 0.2, delayed: true, ..Faults::default() };
    nor_with_leaders_that_change: Faults { leaders: true, late: true, ..Faults::default() };
    nor_with_restarts: Faults { restarts: true, ..Faults::default() };
    nor_with_all_at_once: Faults { late: true, lost: 0.2, delayed: true, leaders: true, restarts: true };
}

#[test]
fn a_missed_model_is_loaded_from_the_disk_that_has_it() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let model = world.unloaded_with_copy();
    world.miss(&model);
    world.run(Duration::from_millis(1_300));
    assert!(world.is_loaded(&model), "{model} has a copy on a disk");
}

#[test]
fn memory_that_stands_free_is_filled_before_anyone_asks() {
    let mut world = World::new(1, Faults::default());
    world.is_quiet = true;
    let before = world.distinct();
    world.run(Duration::from_secs(3));
    assert!(world.distinct() > before, "{} models", world.distinct());
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn memory_is_kept_free_for_adapters() {
    // The largest models fill an engine to within 27,500 MB.
    for (adapter_weights, is_filled) in [(100, true), (4_000, false)] {
        let mut world = World::new(1, Faults::default());
        world.is_quiet = true;
        world.set_adapters(adapter_weights);
        world.run(Duration::from_secs(3));
        let free = world.least_free();
        assert!(free >= 8 * adapter_weights, "{free} MB are left");
        assert_eq!(free <= 27_500, is_filled, "{free} MB are left");
    }
}

#[test]
fn a_busy_model_gets_further_copies() {
    let mut world = World::new(1, Faults::default());
    let model = Name::from("m0");
    for _ in 0..200 {
        world.ask(&model, 6);
        world.run(Duration::from_millis(100));
    }
    assert!(world.copies(&model) > 2, "{}", world.copies(&model));
}

#[test]
fn a_model_whose_engines_are_full_gets_one_more_copy() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let model = world.unloaded_with_copy();
    world.miss(&model);
    world.run(Duration::from_millis(1_300));
    // A copy may have to come from the weight store.
    for _ in 0..100 {
        world.crowd(&model);
        world.run(Duration::from_millis(100));
    }
    assert!(world.copies(&model) > 1, "{}", world.copies(&model));
}

#[test]
fn a_model_that_is_asked_for_does_not_make_room_for_one_that_is_not() {
    let mut world = World::new(3, Faults::default());
    let model = Name::from("m1");
    for _ in 0..100 {
        world.ask(&model, 1);
        world.run(Duration::from_millis(100));
        assert!(world.is_loaded(&model) || world.now < Time::from_millis(3_000));
    }
}

#[test]
fn the_weight_store_bears_few_loads_at_once() {
    for seed in 0..8 {
        let mut world = World::new(seed, Faults::default());
        world.forget_disks();
        world.run(SPAN);
        assert!(world.most_store_loads <= 4, "{}", world.most_store_loads);
        assert!(
            world.store_loads > 4,
            "the store was idle: {}",
            world.store_loads
        );
    }
}
