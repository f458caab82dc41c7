//! Builds decision machines that hold a given number of entries.

use crate::samples::{self, Entries, Holding};
use sequoiawing_fleet::{Registry, Summary, UpstreamState};
use sequoiawing_link::Format;
use sequoiawing_policy::{
    DispatchEvent, DispatchSettings, Dispatcher, PlaceEvent, PlaceSettings, Placer,
};
use sequoiawing_tables::{Command, Tables};
use sequoiawing_types::Time;

/// Builds the registry of a data centre with so many runners.
pub(crate) fn registry(count: u32, holding: Holding) -> Registry {
    let mut registry = Registry::default();
    for i in 0..count {
        registry.announce(Time::ZERO, announcement(i, holding));
    }
    registry
}

fn announcement(i: u32, holding: Holding) -> UpstreamState {
    UpstreamState {
        centre: samples::centre(0),
        ..samples::announcement(i, 1, holding)
    }
}

/// Builds a registry that knows the runners by the summaries of their data
/// centres, as they come from the link.
pub(crate) fn mirror(count: u32, holding: Holding) -> Registry {
    let mut registry = Registry::default();
    let starts = (0..count).step_by(samples::RUNNERS as usize);
    for start in starts {
        let end = count.min(start + samples::RUNNERS);
        let summary = samples::whole_summary(start..end, holding);
        let bytes = Format::Binary.encode(&summary).unwrap_or_default();
        let summary: Summary = Format::Binary.decode(&bytes).unwrap_or_default();
        registry.apply_summary(Time::ZERO, &summary);
    }
    registry
}

/// What a router keeps of upstreams.
pub(crate) struct Known {
    _registry: Registry,
    _dispatcher: Dispatcher,
    _placer: Placer,
}

impl Known {
    /// Tells the decision machines of all upstreams of a registry, whose states
    /// they share.
    pub(crate) fn new(registry: Registry) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default());
        let mut placer = own_placer();
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

fn own_placer() -> Placer {
    Placer::new(PlaceSettings {
        centre: samples::centre(0),
        ..PlaceSettings::default()
    })
}

pub(crate) fn dispatcher(count: u32, holding: Holding) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    let mut out = Vec::new();
    for i in 0..count {
        let state = announcement(i, holding).into();
        dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
    }
    dispatcher
}

pub(crate) fn placer(count: u32, holding: Holding) -> Placer {
    let mut placer = own_placer();
    let mut out = Vec::new();
    for i in 0..count {
        let state = announcement(i, holding).into();
        placer.handle(Time::ZERO, PlaceEvent::Announced(state), &mut out);
    }
    placer
}

pub(crate) fn queue(count: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        queue_limit: usize::MAX,
        ..DispatchSettings::default()
    });
    let mut out = Vec::new();
    for i in 0..count {
        let work = samples::work(u64::from(i));
        dispatcher.handle(Time::ZERO, DispatchEvent::Arrived(work), &mut out);
    }
    dispatcher
}

pub(crate) fn applied<F>(count: u32, make: F) -> Tables
where
    F: Fn(u32) -> Command,
{
    let mut tables = samples::tables(Entries {
        customers: 1,
        models: 1,
        ..Entries::default()
    });
    for i in 0..count {
        tables.apply(make(i));
    }
    tables
}
