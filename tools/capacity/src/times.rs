//! Times the work of the decision machines and codecs.

use crate::{
    Size,
    machines::{dispatcher, mirror, placer, registry},
    samples::{self, Holding},
    slopes::{TimeSlopes, count, entries, holding},
    speed::seconds,
};
use sequoiawing_cell::{Cell, CellEvent, CellSettings};
use sequoiawing_fleet::{LoadDelta, RelayedState, Renewal, Summary, UpstreamState};
use sequoiawing_link::Format;
use sequoiawing_policy::{DispatchEvent, PlaceEvent, Placer};
use sequoiawing_tables::{Command, Revision, Tables};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeSet, hint::black_box, sync::Arc, time::Duration};

pub(crate) fn measure_times(size: &Size) -> TimeSlopes {
    let holding = holding(size);
    let here = count(size.runners_here());
    let state = samples::announcement(1, 1, holding);
    let text = serde_json::to_vec(&state).unwrap_or_default();
    let renewal = serde_json::to_vec(&samples::renewal(1, holding)).unwrap_or_default();
    let tables = samples::tables(entries(size));
    let published = Format::Binary.encode(&tables).unwrap_or_default();
    let update = samples::update(Revision(8_000), 1);
    let edit = serde_json::to_vec(&samples::edit(1, None)).unwrap_or_default();
    TimeSlopes {
        encode_announcement: seconds(|| {
            black_box(serde_json::to_vec(&state).ok());
        }),
        decode_announcement: seconds(|| {
            black_box(serde_json::from_slice::<UpstreamState>(&text).ok());
        }),
        announce: time_announce(here, holding),
        load: time_load(here, holding),
        absorb: time_absorb(count(size.runners), here, holding),
        dispatch: time_dispatch(here, holding),
        tick: time_tick(here, holding),
        refresh: time_refresh(&tables, here, holding),
        renew: time_renew(here, holding),
        decode_renewal: seconds(|| {
            black_box(serde_json::from_slice::<Renewal>(&renewal).ok());
        }),
        place: time_place(&tables, here, holding),
        edit: time_edit(&tables),
        update: time_update(&tables),
        observe: time_observe(&tables, count(size.runners), holding),
        claim: time_claim(count(size.claims * size.kept)),
        publish: seconds(|| {
            black_box(tables.published());
        }),
        encode_tables: seconds(|| {
            black_box(serde_json::to_vec(&tables).ok());
        }),
        encode_update: seconds(|| {
            black_box(serde_json::to_vec(&update).ok());
        }),
        decode_tables: seconds(|| {
            black_box(Format::Binary.decode::<Tables>(&published).ok());
        }),
        decode_edit: seconds(|| {
            black_box(serde_json::from_slice::<Command>(&edit).ok());
        }),
    }
}

/// Times an announcement in the registry and in the dispatcher of one pool.
fn time_announce(here: u32, holding: Holding) -> f64 {
    let mut registry = registry(here, holding);
    let mut dispatcher = dispatcher(here, holding);
    let state = samples::announcement(1, 1, holding);
    let name = state.name.clone();
    let mut out = Vec::new();
    let mut sequence = 1;
    seconds(|| {
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

/// Times a renewal in the registry and in the dispatcher of one pool.
fn time_renew(here: u32, holding: Holding) -> f64 {
    let mut registry = registry(here, holding);
    let mut dispatcher = dispatcher(here, holding);
    let mut renewal = samples::renewal(1, holding);
    let mut out = Vec::new();
    seconds(|| {
        renewal.sequence += 1;
        black_box(registry.renew(Time::ZERO, &renewal));
        if let Some(state) = registry.get(&renewal.name).cloned() {
            dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
        }
        out.clear();
    })
}

/// Times a load that another router sent, from its bytes to the dispatcher.
fn time_load(here: u32, holding: Holding) -> f64 {
    let mut registry = registry(here, holding);
    let mut dispatcher = dispatcher(here, holding);
    let mut out = Vec::new();
    let mut sequence = 1;
    let bytes = Format::Binary.encode(&samples::load(1, 1, holding));
    let bytes = bytes.unwrap_or_default();
    let (index, state) = (1, samples::announcement(1, 1, holding));
    let source = samples::source();
    registry.apply_relayed(Time::ZERO, &source, RelayedState { index, state });
    seconds(|| {
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

/// Times a change that another data centre told, from its bytes to the
/// dispatcher.
fn time_absorb(all: u32, here: u32, holding: Holding) -> f64 {
    let mut registry = mirror(all, holding);
    let mut dispatcher = dispatcher(here, holding);
    let mut out = Vec::new();
    let mut serial = registry
        .summary(&samples::centre(1))
        .map_or(0, |s| s.serial);
    let bytes = Format::Binary.encode(&samples::moved_summary());
    let bytes = bytes.unwrap_or_default();
    seconds(|| {
        let mut summary: Summary = Format::Binary.decode(&bytes).unwrap_or_default();
        summary.base = Some(serial);
        serial += 1;
        summary.serial = serial;
        let absorbed = registry.apply_summary(Time::ZERO, &summary);
        for name in absorbed.changed {
            if let Some(state) = registry.get(&name).cloned() {
                dispatcher.handle(Time::ZERO, DispatchEvent::Announced(state), &mut out);
            }
        }
        out.clear();
    })
}

fn time_dispatch(here: u32, holding: Holding) -> f64 {
    let mut dispatcher = dispatcher(here, holding);
    let mut out = Vec::new();
    let mut id = 0;
    seconds(|| {
        id += 1;
        let work = samples::work(id);
        dispatcher.handle(Time::ZERO, DispatchEvent::Arrived(work), &mut out);
        for action in out.drain(..) {
            black_box(action);
        }
        let healthy = true;
        let finished = DispatchEvent::Finished { id, healthy };
        dispatcher.handle(Time::ZERO, finished, &mut out);
        out.clear();
    })
}

fn time_tick(here: u32, holding: Holding) -> f64 {
    let mut dispatcher = dispatcher(here, holding);
    let mut out = Vec::new();
    seconds(|| {
        dispatcher.handle(Time::ZERO, DispatchEvent::Tick, &mut out);
        out.clear();
    })
}

/// Times what a router does each time the cell looks over the decisions of its
/// data centre.
fn time_refresh(tables: &Tables, here: u32, holding: Holding) -> f64 {
    let registry = registry(here, holding);
    let mut placer = configured(placer(here, holding), tables);
    let mut out = Vec::new();
    seconds(|| {
        let states: Vec<Arc<UpstreamState>> = registry.local().cloned().collect();
        for state in states {
            placer.handle(Time::ZERO, PlaceEvent::Announced(state), &mut out);
        }
        placer.handle(Time::ZERO, PlaceEvent::Tick, &mut out);
        out.clear();
    })
}

fn configured(mut placer: Placer, tables: &Tables) -> Placer {
    let pools = tables.pools.values().cloned().collect();
    let event = PlaceEvent::Configured { pools };
    placer.handle(Time::ZERO, event, &mut Vec::new());
    placer
}

/// Times the answer to one demand at the cell leader.
fn time_place(tables: &Tables, here: u32, holding: Holding) -> f64 {
    let mut placer = configured(placer(here, holding), tables);
    let mut out = Vec::new();
    let demand = samples::demand();
    let mut now = Time::ZERO;
    seconds(|| {
        now = now + Duration::from_millis(1);
        black_box(placer.demand(now, &demand, &mut out));
        out.clear();
    })
}

fn time_edit(tables: &Tables) -> f64 {
    let mut tables = tables.clone();
    let mut i = 0;
    seconds(|| {
        i += 1;
        black_box(tables.apply(samples::edit(i, None)));
    })
}

/// Times what a router does with one change.
fn time_update(tables: &Tables) -> f64 {
    let mut tables = tables.clone();
    let mut i = 0;
    seconds(|| {
        i += 1;
        let mut next = tables.clone();
        next.apply_update(samples::update(tables.revision, i));
        tables = next;
    })
}

/// Times what a member of a cell does each time it looks at the clock.
fn time_observe(tables: &Tables, all: u32, holding: Holding) -> f64 {
    let registry = registry(all, holding);
    let here = samples::centre(1);
    let mut cell = Cell::new(
        Name::from("entry-00018"),
        CellSettings::default(),
        Time::ZERO,
        0,
    );
    let mut out = Vec::new();
    seconds(|| {
        let members: BTreeSet<Name> = tables.members(&here).map(|h| h.host.clone()).collect();
        let epoch = 1;
        let now = Time::ZERO;
        cell.handle(now, CellEvent::Members { epoch, members }, &mut out);
        let fences = registry
            .iter()
            .filter(|s| s.centre == here)
            .map(|s| s.fence);
        cell.handle(now, CellEvent::Fence(fences.max().unwrap_or(0)), &mut out);
        cell.handle(now, CellEvent::Tick, &mut out);
        out.clear();
    })
}

/// Times one more claim beside so many that are kept.
fn time_claim(kept: u32) -> f64 {
    let mut tables = Tables::default();
    for i in 0..kept {
        tables.apply(samples::claim(i));
    }
    let mut i = kept;
    seconds(|| {
        i += 1;
        black_box(tables.apply(samples::claim(i)));
    })
}
