//! Upstreams of which one request is silent while others make progress.

use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    Assignment, Balancer, BalancerRequest, PickResult, ReportedLoad,
};
use sequoiawing_types::{Name, Time};
use std::{net::SocketAddr, sync::Arc};

fn request() -> BalancerRequest {
    BalancerRequest {
        pool: Name::from("pool"),
        model: Some(Name::from("m")),
        ..BalancerRequest::default()
    }
}

fn send(balancer: &mut Balancer, now: Time) -> Assignment {
    match balancer.pick(now, &request()) {
        PickResult::Assigned(assigned) => assigned,
        other => panic!("no upstream was assigned: {other:?}"),
    }
}

// Guards against an upstream that loses its models for one silent request although
// it has begun to answer another one since.
#[test]
fn upstream_that_begins_an_answer_is_reached() {
    let mut balancer = Balancer::default();
    let state = Arc::new(UpstreamState {
        name: Name::from("a"),
        pool: Name::from("pool"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
        epoch: 1,
        sequence: 1,
        slots: 4,
        loaded: [Name::from("m")].into_iter().collect(),
        ..UpstreamState::default()
    });
    balancer.update(&RosterEntry { state, gone: false });
    let silent = send(&mut balancer, Time::ZERO);
    let other = send(&mut balancer, Time::ZERO);
    balancer.set_responsive(Time::from_millis(1_000), silent.key, false);
    let load = ReportedLoad {
        running: 2,
        waiting: 0,
        slots: 4,
    };
    balancer.report(Time::from_millis(1_100), other.key, load);
    let now = Time::from_millis(1_200);
    assert_eq!(balancer.unreachable(now), Vec::<Name>::new());
    assert_eq!(balancer.reached(now), [Name::from("a")]);
}
