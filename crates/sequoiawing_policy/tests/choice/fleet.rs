use sequoiawing_fleet::UpstreamState;
use sequoiawing_policy::{
    DispatchAction, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher,
};
use sequoiawing_types::{Name, Time};

/// The number of requests that a runner runs concurrently.
pub(crate) const SLOTS: u32 = 16;

/// Returns an announcement of a runner that has loaded the model.
pub(crate) fn runner(number: usize, sequence: u64) -> UpstreamState {
    UpstreamState {
        name: Name::from(format!("runner-{number}")),
        pool: Name::from("models"),
        centre: Name::from("north"),
        epoch: 1,
        sequence,
        lifetime: 10_000,
        slots: SLOTS,
        loaded: vec![Name::from("strip")],
        ..UpstreamState::default()
    }
}

pub(crate) fn request(id: u64, prefix: u64) -> DispatchRequest {
    DispatchRequest {
        id,
        customer: Name::from("daily"),
        weight: 1,
        model: Some(Name::from("strip")),
        tokens: 100,
        deadline: Time::from_millis(60_000),
        prefix,
        ..DispatchRequest::default()
    }
}

/// Returns the dispatcher of a router with default settings.
pub(crate) fn router(number: usize) -> Dispatcher {
    Dispatcher::new(DispatchSettings {
        host: Name::from(format!("entry-{number}")),
        centre: Name::from("north"),
        pool: Name::from("models"),
        ..DispatchSettings::default()
    })
}

pub(crate) fn handle(
    dispatcher: &mut Dispatcher,
    now: u64,
    event: DispatchEvent,
) -> Vec<(u64, Name)> {
    let mut out = Vec::new();
    dispatcher.handle(Time::from_millis(now), event, &mut out);
    let assigned = out.into_iter().filter_map(|action| match action {
        DispatchAction::Assign { id, upstream, .. } => Some((id, upstream)),
        _ => None,
    });
    assigned.collect()
}

/// Submits a request and returns the upstream that it was assigned to.
pub(crate) fn send(dispatcher: &mut Dispatcher, now: u64, request: DispatchRequest) -> Name {
    let assigned = handle(dispatcher, now, DispatchEvent::Arrived(request));
    assigned[0].1.clone()
}

pub(crate) fn finish(
    dispatcher: &mut Dispatcher,
    now: u64,
    id: u64,
    healthy: bool,
) -> Vec<(u64, Name)> {
    handle(dispatcher, now, DispatchEvent::Finished { id, healthy })
}
