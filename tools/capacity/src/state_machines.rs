//! Builds state machines with a given number of entries.

use crate::samples::{self, RunnerContents, TableSizes};
use sequoiawing_fleet::{Registry, Summary, UpstreamState};
use sequoiawing_link::Format;
use sequoiawing_policy::{
    DispatchEvent, DispatchSettings, Dispatcher, PlaceEvent, PlaceSettings, Placer,
};
use sequoiawing_tables::{Command, Tables};
use sequoiawing_types::Time;

/// Builds the registry of a data centre with `count` runners.
pub(crate) fn registry(count: u32, contents: RunnerContents) -> Registry {
    let mut registry = Registry::default();
    for i in 0..count {
        registry.announce(Time::ZERO, announcement(i, contents));
    }
    registry
}

fn announcement(i: u32, contents: RunnerContents) -> UpstreamState {
    UpstreamState {
        centre: samples::centre(0),
        ..samples::announcement(i, 1, contents)
    }
}

/// Builds a registry of `count` runners from the encoded summaries of their data
/// centres.
pub(crate) fn remote_registry(count: u32, contents: RunnerContents) -> Registry {
    let mut registry = Registry::default();
    let starts = (0..count).step_by(samples::RUNNERS_PER_CENTRE as usize);
    for start in starts {
        let end = count.min(start + samples::RUNNERS_PER_CENTRE);
        let summary = samples::full_summary(start..end, contents);
        let bytes = Format::Binary.encode(&summary).unwrap_or_default();
        let summary: Summary = Format::Binary.decode(&bytes).unwrap_or_default();
        registry.apply_summary(Time::ZERO, &summary);
    }
    registry
}

/// The state that a router holds about upstreams.
pub(crate) struct RouterState {
    _registry: Registry,
    _dispatcher: Dispatcher,
    _placer: Placer,
}

impl RouterState {
    /// Announces all upstreams of a registry to a dispatcher and a placer, which
    /// share the states with the registry.
    pub(crate) fn new(registry: Registry) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default());
        let mut placer = new_placer();
        let (mut requests, mut orders) = (Vec::new(), Vec::new());
        for state in registry.iter() {
            let event = DispatchEvent::Announced(state.clone());
            dispatcher.handle(Time::ZERO, event, &mut requests);
            let event = PlaceEvent::Announced(state.clone());
            placer.handle(Time::ZERO, event, &mut orders);
        }
        Self {
            _registry: registry,
            _dispatcher: dispatcher,
            _placer: placer,
        }
    }
}

fn new_placer() -> Placer {
    Placer::new(PlaceSettings {
        centre: samples::centre(0),
        ..PlaceSettings::default()
    })
}

pub(crate) fn dispatcher(count: u32, contents: RunnerContents) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    let mut out = Vec::new();
    for i in 0..count {
        let state = announcement(i, contents).into();
        dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
    }
    dispatcher
}

pub(crate) fn placer(count: u32, contents: RunnerContents) -> Placer {
    let mut placer = new_placer();
    let mut out = Vec::new();
    for i in 0..count {
        let state = announcement(i, contents).into();
        placer.handle(Time::ZERO, PlaceEvent::Announced(state), &mut out);
    }
    placer
}

pub(crate) fn queued_dispatcher(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        queue_limit: usize::MAX,
        ..DispatchSettings::default()
    });
    let mut out = Vec::new();
    for i in 0..count {
        let request = samples::dispatch_request(u64::from(i));
        dispatcher.handle(Time::ZERO, DispatchEvent::Arrived(request), &mut out);
    }
    dispatcher
}

pub(crate) fn tables_after<F>(count: u32, command: F) -> Tables
where
    F: Fn(u32) -> Command,
{
    let mut tables = samples::tables(TableSizes {
        customers: 1,
        models: 1,
        ..TableSizes::default()
    });
    for i in 0..count {
        tables.apply(command(i));
    }
    tables
}
