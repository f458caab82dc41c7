//! Checks the records of a data centre's replicas: a new leader knows every
//! release that a majority has stored, or it has no record at all. Otherwise it
//! would use replicas that were released.

use crate::simulation::{InjectedFault, Simulation};
use sequoiawing_types::Name;
use std::time::Duration;

const SPEED: u64 = 1_000;

fn host(i: usize) -> Name {
    Name::from(format!("host-{i}"))
}

fn run_for(sim: &mut Simulation, millis: u32) {
    const DELAY: Duration = Duration::from_micros(500);
    for _ in 0..millis {
        sim.step(Duration::from_millis(1), || Some(DELAY));
        assert_eq!(sim.violation(), None);
    }
}

fn cut(sim: &mut Simulation, one: usize) {
    for other in (0..3).filter(|i| *i != one) {
        sim.cut_links.insert((host(one), host(other)));
        sim.cut_links.insert((host(other), host(one)));
    }
}

fn publish(sim: &mut Simulation) {
    for i in 0..3 {
        sim.publish_members(&host(i));
    }
}

/// Returns three members of which the first leads. All store a record of two
/// replicas. Then the last member is partitioned, and the other two store the
/// release of both replicas.
fn after_release() -> Simulation {
    let mut sim = Simulation::new(InjectedFault::None);
    for i in 0..3 {
        sim.start(&host(i), SPEED);
        sim.log.members.insert(host(i));
    }
    sim.log.epoch = 1;
    sim.publish_members(&host(0));
    run_for(&mut sim, 4_000);
    publish(&mut sim);
    let held = sim.record(&host(0), 1, 2);
    run_for(&mut sim, 1_000);
    assert!(sim.is_recorded(&host(0), held));
    cut(&mut sim, 2);
    let released = sim.record(&host(0), 2, 0);
    assert!(
        !sim.is_recorded(&host(0), released),
        "recorded before a majority stored it"
    );
    run_for(&mut sim, 1_000);
    assert!(sim.is_recorded(&host(0), released));
    sim
}

/// Returns the leader's recorded replicas, and the leader.
fn leader_share(sim: &Simulation) -> (Option<u32>, Option<Name>) {
    let leader = sim.leaders().pop().map(|(leader, _)| leader);
    (leader.as_ref().and_then(|l| sim.share(l)), leader)
}

#[test]
fn a_partitioned_member_learns_of_a_release_when_elected() {
    let mut sim = after_release();
    sim.stop(&host(0));
    sim.resign(&host(1));
    sim.cut_links.clear();
    run_for(&mut sim, 8_000);
    assert_eq!(leader_share(&sim), (Some(0), Some(host(2))));
}

#[test]
fn a_restarted_member_does_not_confirm_reported_records() {
    let mut sim = after_release();
    sim.start(&host(0), SPEED);
    sim.stop(&host(1));
    sim.cut_links.clear();
    publish(&mut sim);
    for _ in 0..20 {
        run_for(&mut sim, 500);
        assert_ne!(
            leader_share(&sim).0,
            Some(2),
            "a released replica is used again"
        );
    }
    assert_eq!(leader_share(&sim), (None, Some(host(0))));
}

#[test]
fn records_are_valid_only_in_their_epoch() {
    let mut sim = after_release();
    sim.log.settled = true;
    sim.stop(&host(0));
    sim.start(&host(1), SPEED);
    sim.cut_links.clear();
    assert!(sim.change_member(&host(0), false));
    publish(&mut sim);
    run_for(&mut sim, 8_000);
    assert!(sim.log.settled, "the remaining members elect no leader");
    assert!(sim.change_member(&host(1), false));
    publish(&mut sim);
    run_for(&mut sim, 8_000);
    assert_eq!(leader_share(&sim), (None, Some(host(2))));
}

#[test]
fn a_leader_keeps_its_record_through_a_membership_change() {
    let mut sim = after_release();
    sim.log.settled = true;
    assert!(sim.change_member(&host(2), false));
    publish(&mut sim);
    run_for(&mut sim, 2_000);
    assert_eq!(leader_share(&sim), (Some(0), Some(host(0))));
    sim.start(&host(1), SPEED);
    publish(&mut sim);
    run_for(&mut sim, 8_000);
    let (share, leader) = leader_share(&sim);
    assert!(leader.is_some(), "the remaining members elect no leader");
    assert_ne!(share, Some(2));
}

#[test]
fn a_cell_without_records_accepts_a_new_one() {
    let mut sim = after_release();
    for i in 0..3 {
        sim.start(&host(i), SPEED);
    }
    sim.cut_links.clear();
    publish(&mut sim);
    run_for(&mut sim, 8_000);
    let (share, leader) = leader_share(&sim);
    assert_eq!(share, None, "all members restarted without records");
    let leader = leader.expect("no leader was elected");
    let fresh = sim.record(&leader, 3, 1);
    run_for(&mut sim, 1_000);
    assert!(sim.is_recorded(&leader, fresh));
    assert_eq!(sim.share(&leader), Some(1));
}
