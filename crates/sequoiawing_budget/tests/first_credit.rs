//! Guards against requests that are refused as exhausted although no lender
//! knows yet how much it may lend, as after a restart or an election.

#[allow(dead_code, reason = "each test uses a part of the support module")]
#[allow(unused_imports, reason = "each test uses a part of the support module")]
mod support;

use sequoiawing_budget::Denial;
use std::time::Duration;
use support::{Node, Settings, World};

/// Longer than the maximum time that requests wait for a lender.
const SPAN: Duration = Duration::from_secs(4);

/// Sends a small request to every router and lets time pass.
fn request_everywhere(world: &mut World, span: Duration) {
    for c in 0..world.settings.centres {
        for r in 0..world.settings.routers {
            world.request(c, r, 10);
        }
    }
    let end = world.now + span;
    world.run_until(end).expect("the total is not exceeded");
}

fn exhausted(world: &World) -> usize {
    let is_exhausted = |d: &&Denial| matches!(d, Denial::Exhausted(_));
    world.denials.iter().filter(is_exhausted).count()
}

macro_rules! cases {
    ($($name:ident: $script:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..8 {
                let settings = Settings { seed, ..Settings::default() };
                let script: fn(&mut World) = $script;
                let mut world = World::new(settings);
                script(&mut world);
                assert_eq!(exhausted(&world), 0, "seed {seed}: {:?}", world.denials);
            }
        }
    )*};
}

cases! {
    without_an_owner_no_lender_answers: |world| {
        world.stop_owner();
        request_everywhere(world, SPAN);
        assert!(!world.denials.is_empty(), "no request can have been granted");
    };
    a_first_request_waits_for_the_first_owner: |world| {
        world.stop_owner();
        request_everywhere(world, Duration::from_millis(1_200));
        world.start_owner();
        request_everywhere(world, SPAN);
        assert_eq!(world.denials, []);
    };
    a_request_waits_while_a_new_owner_settles: |world| {
        request_everywhere(world, SPAN);
        world.stop_owner();
        world.start_owner();
        request_everywhere(world, SPAN);
        assert_eq!(world.denials, []);
    };
    a_request_waits_for_a_cell_leader: |world| {
        world.stop_leader(0);
        request_everywhere(world, Duration::from_secs(1));
        world.start_leader(0, 1);
        request_everywhere(world, SPAN);
        assert_eq!(world.denials, []);
    };
    a_disconnected_data_centre_without_a_share_reports_no_exhaustion: |world| {
        for c in 0..world.settings.centres {
            world.network.cut(Node::Centre(c), Node::Owner);
        }
        request_everywhere(world, Duration::from_millis(1_900));
        assert_eq!(world.denials, []);
    };
}

/// Returns a deployment with one data centre, whose share is the whole total.
fn single_centre(seed: u64) -> Settings {
    Settings {
        seed,
        centres: 1,
        ..Settings::default()
    }
}

#[test]
fn a_request_waits_while_a_stopped_leader_may_hold_credit() {
    for seed in 0..8 {
        let mut world = World::new(single_centre(seed));
        request_everywhere(&mut world, SPAN);
        world.stop_leader(0);
        let election = world.now + Duration::from_millis(1_500);
        world
            .run_until(election)
            .expect("the total is not exceeded");
        world.start_leader(0, 1);
        request_everywhere(&mut world, SPAN);
        assert_eq!(world.denials, [], "seed {seed}");
    }
}
