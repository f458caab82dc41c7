//! Tests that requests for plain services are refused immediately when no
//! upstream can serve them.

use sequoiawing_fleet::{UpstreamKind, UpstreamState};
use sequoiawing_policy::{
    DispatchAction, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, Refusal,
};
use sequoiawing_types::{Name, Time};

fn service(sequence: u64, leaving: bool) -> UpstreamState {
    UpstreamState {
        name: Name::from("licences-1"),
        pool: Name::from("licences"),
        kind: UpstreamKind::Service,
        epoch: 1,
        sequence,
        lifetime: 10_000,
        slots: 1,
        leaving,
        ..UpstreamState::default()
    }
}

fn request(id: u64) -> DispatchEvent {
    DispatchEvent::Arrived(DispatchRequest {
        id,
        customer: Name::from("daily"),
        weight: 1,
        tokens: 1,
        deadline: Time::from_millis(30_000),
        ..DispatchRequest::default()
    })
}

/// Returns the requests that were refused because there is no upstream.
fn refused(actions: &[DispatchAction]) -> Vec<u64> {
    let refused = actions.iter().filter_map(|action| match action {
        DispatchAction::Refuse {
            id,
            reason: Refusal::NoUpstream,
            retry,
        } if !retry.is_zero() => Some(*id),
        _ => None,
    });
    refused.collect()
}

#[test]
fn request_for_empty_pool_is_refused_immediately() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    let mut out = Vec::new();
    dispatcher.handle(Time::from_millis(1), request(1), &mut out);
    assert_eq!(refused(&out), [1]);
}

#[test]
fn queued_requests_are_refused_when_last_upstream_leaves() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    dispatcher.handle(
        now,
        DispatchEvent::Announced(service(1, false).into()),
        &mut out,
    );
    dispatcher.handle(now, request(1), &mut out);
    dispatcher.handle(now, request(2), &mut out);
    assert!(
        refused(&out).is_empty(),
        "one request runs and one is queued: {out:?}"
    );
    dispatcher.handle(
        now,
        DispatchEvent::Announced(service(2, true).into()),
        &mut out,
    );
    dispatcher.handle(Time::from_millis(50), DispatchEvent::Tick, &mut out);
    assert_eq!(refused(&out), [2]);
}
