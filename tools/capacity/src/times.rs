//! Measures the processor time of the state machines and codecs.

use crate::{
    CapacityInputs,
    samples::{self, RunnerContents},
    slopes::{TimeSlopes, runner_contents, table_sizes, to_count},
    state_machines::{dispatcher, placer, registry, remote_registry},
    timer::median_seconds,
};
use sequoiawing_cell::{Cell, CellEvent, CellSettings};
use sequoiawing_fleet::{LoadDelta, RelayedState, Renewal, Summary, UpstreamState};
use sequoiawing_link::Format;
use sequoiawing_policy::{DispatchEvent, PlaceEvent, Placer};
use sequoiawing_tables::{Command, Revision, Tables};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeSet, hint::black_box, sync::Arc, time::Duration};

pub(crate) fn measure_times(inputs: &CapacityInputs) -> TimeSlopes {
    let contents = runner_contents(inputs);
    let local_count = to_count(inputs.runners_here());
    let state = samples::announcement(1, 1, contents);
    let encoded_announcement = serde_json::to_vec(&state).unwrap_or_default();
    let encoded_renewal = serde_json::to_vec(&samples::renewal(1, contents)).unwrap_or_default();
    let tables = samples::tables(table_sizes(inputs));
    let encoded_tables = Format::Binary.encode(&tables).unwrap_or_default();
    let update = samples::update(Revision(8_000), 1);
    let encoded_edit = serde_json::to_vec(&samples::edit(1, None)).unwrap_or_default();
    TimeSlopes {
        encode_announcement: median_seconds(|| {
            black_box(serde_json::to_vec(&state).ok());
        }),
        decode_announcement: median_seconds(|| {
            black_box(serde_json::from_slice::<UpstreamState>(&encoded_announcement).ok());
        }),
        apply_announcement: time_announcement(local_count, contents),
        apply_load: time_load(local_count, contents),
        apply_summary: time_summary(to_count(inputs.runners), local_count, contents),
        dispatch: time_dispatch(local_count, contents),
        tick: time_tick(local_count, contents),
        refresh_cell: time_refresh(&tables, local_count, contents),
        apply_renewal: time_renewal(local_count, contents),
        decode_renewal: median_seconds(|| {
            black_box(serde_json::from_slice::<Renewal>(&encoded_renewal).ok());
        }),
        answer_demand: time_demand(&tables, local_count, contents),
        apply_edit: time_edit(&tables),
        apply_update: time_update(&tables),
        observe_cell: time_observe(&tables, to_count(inputs.runners), contents),
        apply_claim: time_claim(to_count(inputs.claim_rate * inputs.claim_retention)),
        publish: median_seconds(|| {
            black_box(tables.published());
        }),
        encode_tables: median_seconds(|| {
            black_box(serde_json::to_vec(&tables).ok());
        }),
        encode_update: median_seconds(|| {
            black_box(serde_json::to_vec(&update).ok());
        }),
        decode_tables: median_seconds(|| {
            black_box(Format::Binary.decode::<Tables>(&encoded_tables).ok());
        }),
        decode_edit: median_seconds(|| {
            black_box(serde_json::from_slice::<Command>(&encoded_edit).ok());
        }),
    }
}

/// Measures how long the registry and the dispatcher of one pool take to apply an
/// announcement.
fn time_announcement(local_count: u32, contents: RunnerContents) -> f64 {
    let mut registry = registry(local_count, contents);
    let mut dispatcher = dispatcher(local_count, contents);
    let state = samples::announcement(1, 1, contents);
    let name = state.name.clone();
    let mut out = Vec::new();
    let mut sequence = 1;
    median_seconds(|| {
        sequence += 1;
        let state = UpstreamState {
            sequence,
            ..state.clone()
        };
        registry.announce(Time::ZERO, state);
        if let Some(state) = registry.get(&name).cloned() {
            dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
        }
        out.clear();
    })
}

/// Measures how long the registry and the dispatcher of one pool take to apply a
/// renewal.
fn time_renewal(local_count: u32, contents: RunnerContents) -> f64 {
    let mut registry = registry(local_count, contents);
    let mut dispatcher = dispatcher(local_count, contents);
    let mut renewal = samples::renewal(1, contents);
    let mut out = Vec::new();
    median_seconds(|| {
        renewal.sequence += 1;
        black_box(registry.renew(Time::ZERO, &renewal));
        if let Some(state) = registry.get(&renewal.name).cloned() {
            dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
        }
        out.clear();
    })
}

/// Measures how long a load update from another router takes, from decoding to
/// the dispatcher.
fn time_load(local_count: u32, contents: RunnerContents) -> f64 {
    let mut registry = registry(local_count, contents);
    let mut dispatcher = dispatcher(local_count, contents);
    let mut out = Vec::new();
    let mut sequence = 1;
    let bytes = Format::Binary.encode(&samples::load_delta(1, 1, contents));
    let bytes = bytes.unwrap_or_default();
    let (index, state) = (1, samples::announcement(1, 1, contents));
    let source = samples::source();
    registry.apply_relayed(Time::ZERO, &source, RelayedState { index, state });
    median_seconds(|| {
        sequence += 1;
        let mut load: LoadDelta = Format::Binary.decode(&bytes).unwrap_or_default();
        load.sequence = sequence;
        let name = registry.apply_delta(Time::ZERO, &source, &load);
        if let Some(state) = name.and_then(|n| registry.get(&n).cloned()) {
            dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
        }
        out.clear();
    })
}

/// Measures how long a summary change from another data centre takes, from
/// decoding to the dispatcher.
fn time_summary(runner_count: u32, local_count: u32, contents: RunnerContents) -> f64 {
    let mut registry = remote_registry(runner_count, contents);
    let mut dispatcher = dispatcher(local_count, contents);
    let mut out = Vec::new();
    let mut serial = registry
        .summary(&samples::centre(1))
        .map_or(0, |s| s.serial);
    let bytes = Format::Binary.encode(&samples::moved_summary());
    let bytes = bytes.unwrap_or_default();
    median_seconds(|| {
        let mut summary: Summary = Format::Binary.decode(&bytes).unwrap_or_default();
        summary.base = Some(serial);
        serial += 1;
        summary.serial = serial;
        let outcome = registry.apply_summary(Time::ZERO, &summary);
        for name in outcome.changed {
            if let Some(state) = registry.get(&name).cloned() {
                dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
            }
        }
        out.clear();
    })
}

fn time_dispatch(local_count: u32, contents: RunnerContents) -> f64 {
    let mut dispatcher = dispatcher(local_count, contents);
    let mut out = Vec::new();
    let mut id = 0;
    median_seconds(|| {
        id += 1;
        let request = samples::dispatch_request(id);
        dispatcher.handle(Time::ZERO, DispatchEvent::Arrived(request), &mut out);
        for action in out.drain(..) {
            black_box(action);
        }
        let healthy = true;
        let finished = DispatchEvent::Finished { id, healthy };
        dispatcher.handle(Time::ZERO, finished, &mut out);
        out.clear();
    })
}

fn time_tick(local_count: u32, contents: RunnerContents) -> f64 {
    let mut dispatcher = dispatcher(local_count, contents);
    let mut out = Vec::new();
    median_seconds(|| {
        dispatcher.handle(Time::ZERO, DispatchEvent::Tick, &mut out);
        out.clear();
    })
}

/// Measures the work of a router each time the cell reviews the decisions of its
/// data centre.
fn time_refresh(tables: &Tables, local_count: u32, contents: RunnerContents) -> f64 {
    let registry = registry(local_count, contents);
    let mut placer = with_pools(placer(local_count, contents), tables);
    let mut out = Vec::new();
    median_seconds(|| {
        let states: Vec<Arc<UpstreamState>> = registry.local().cloned().collect();
        for state in states {
            placer.handle(Time::ZERO, PlaceEvent::Announced(state), &mut out);
        }
        placer.handle(Time::ZERO, PlaceEvent::Tick, &mut out);
        out.clear();
    })
}

fn with_pools(mut placer: Placer, tables: &Tables) -> Placer {
    let pools = tables.pools.values().cloned().collect();
    let event = PlaceEvent::Configured { pools };
    placer.handle(Time::ZERO, event, &mut Vec::new());
    placer
}

/// Measures how long the cell leader takes to answer one demand.
fn time_demand(tables: &Tables, local_count: u32, contents: RunnerContents) -> f64 {
    let mut placer = with_pools(placer(local_count, contents), tables);
    let mut out = Vec::new();
    let demand = samples::demand();
    let mut now = Time::ZERO;
    median_seconds(|| {
        now = now + Duration::from_millis(1);
        black_box(placer.demand(now, &demand, &mut out));
        out.clear();
    })
}

fn time_edit(tables: &Tables) -> f64 {
    let mut tables = tables.clone();
    let mut i = 0;
    median_seconds(|| {
        i += 1;
        black_box(tables.apply(samples::edit(i, None)));
    })
}

/// Measures how long a router takes to apply one change.
fn time_update(tables: &Tables) -> f64 {
    let mut tables = tables.clone();
    let mut i = 0;
    median_seconds(|| {
        i += 1;
        let mut next = tables.clone();
        next.apply_update(samples::update(tables.revision, i));
        tables = next;
    })
}

/// Measures the work of a cell member on each tick.
fn time_observe(tables: &Tables, runner_count: u32, contents: RunnerContents) -> f64 {
    let registry = registry(runner_count, contents);
    let centre = samples::centre(1);
    let mut cell = Cell::new(
        Name::from("entry-00018"),
        CellSettings::default(),
        Time::ZERO,
        0,
    );
    let mut out = Vec::new();
    median_seconds(|| {
        let members: BTreeSet<Name> = tables.members(&centre).map(|h| h.host.clone()).collect();
        let epoch = 1;
        let now = Time::ZERO;
        cell.handle(now, CellEvent::Members { epoch, members }, &mut out);
        let fences = registry
            .iter()
            .filter(|s| s.centre == centre)
            .map(|s| s.fence);
        cell.handle(now, CellEvent::Fence(fences.max().unwrap_or(0)), &mut out);
        cell.handle(now, CellEvent::Tick, &mut out);
        out.clear();
    })
}

/// Measures how long one more claim takes when `existing` claims are retained.
fn time_claim(existing: u32) -> f64 {
    let mut tables = Tables::default();
    for i in 0..existing {
        tables.apply(samples::claim(i));
    }
    let mut i = existing;
    median_seconds(|| {
        i += 1;
        black_box(tables.apply(samples::claim(i)));
    })
}
