use crate::{
    Size,
    heap::{bytes_of, slope},
    machines::{Known, applied, mirror, queue, registry},
    messages::measure_messages,
    samples::{self, Entries, Holding},
    times::measure_times,
};
use sequoiawing_tables::{Pool, Tables};
use std::collections::BTreeSet;

/// What one more entry, message or event costs, as measured here.
///
/// Heap and messages are in bytes, times in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slopes {
    pub(crate) heap: HeapSlopes,
    pub(crate) message: MessageSlopes,
    pub(crate) time: TimeSlopes,
    /// The resident memory of an idle router process, in bytes.
    pub(crate) process: f64,
}

/// Heap bytes of one entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeapSlopes {
    pub(crate) customer: f64,
    pub(crate) key: f64,
    pub(crate) withdrawn: f64,
    pub(crate) route: f64,
    pub(crate) adapter: f64,
    pub(crate) tables: f64,
    pub(crate) copy: f64,
    pub(crate) pools: f64,
    pub(crate) upstream: f64,
    pub(crate) known: f64,
    pub(crate) far: f64,
    pub(crate) waiting: f64,
    pub(crate) claim: f64,
    pub(crate) edit: f64,
    pub(crate) granted: f64,
    pub(crate) routed: f64,
}

/// Bytes of one message as encoded on the link, with its envelope.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageSlopes {
    pub(crate) envelope: f64,
    pub(crate) reply: f64,
    pub(crate) relayed: f64,
    pub(crate) post: f64,
    pub(crate) renewal: f64,
    pub(crate) demand: f64,
    pub(crate) order: f64,
    pub(crate) tables: f64,
    pub(crate) edit: f64,
    pub(crate) update: f64,
    pub(crate) saved: f64,
    pub(crate) lease: f64,
    pub(crate) heartbeat: f64,
    pub(crate) entry: f64,
    pub(crate) load: f64,
    pub(crate) claim: f64,
    pub(crate) settle: f64,
    pub(crate) batch: f64,
    pub(crate) moved: f64,
    pub(crate) confirmation: f64,
}

/// Processor seconds of one piece of work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeSlopes {
    pub(crate) encode_announcement: f64,
    pub(crate) decode_announcement: f64,
    pub(crate) announce: f64,
    pub(crate) load: f64,
    pub(crate) absorb: f64,
    pub(crate) dispatch: f64,
    pub(crate) tick: f64,
    pub(crate) renew: f64,
    pub(crate) decode_renewal: f64,
    pub(crate) refresh: f64,
    pub(crate) place: f64,
    pub(crate) edit: f64,
    pub(crate) update: f64,
    pub(crate) observe: f64,
    pub(crate) claim: f64,
    pub(crate) publish: f64,
    pub(crate) encode_tables: f64,
    pub(crate) encode_update: f64,
    pub(crate) decode_tables: f64,
    pub(crate) decode_edit: f64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the sizes are small whole numbers"
)]
pub(crate) fn count(number: f64) -> u32 {
    number as u32
}

impl Slopes {
    /// Measures everything at the given size.
    ///
    /// `process` is the resident memory of an idle router process, in bytes.
    pub fn measure(size: &Size, process: f64) -> Self {
        Self {
            process,
            heap: measure_heap(size),
            message: measure_messages(size),
            time: measure_times(size),
        }
    }
}

pub(crate) fn entries(size: &Size) -> Entries {
    Entries {
        customers: count(size.customers),
        keys: count(size.keys),
        withdrawn: count(size.withdrawn),
        routes: count(size.routes),
        models: count(size.models),
        adapters: count(size.adapters),
        hosts: count(size.nodes),
    }
}

pub(crate) fn holding(size: &Size) -> Holding {
    Holding {
        loaded: count(size.loaded),
        resident: count(size.resident),
        checkpoints: count(size.checkpoints),
    }
}

fn table_slope<F>(count: u32, set: F) -> f64
where
    F: Fn(&mut Entries, u32),
{
    slope(count, |n| {
        let mut entries = Entries::default();
        set(&mut entries, n);
        samples::tables(entries)
    })
}

/// The entries over which a slope of the heap is taken.
const SPAN: u32 = 1_000;

/// Makes the copy of the tables that one change needs.
fn changed(tables: &Tables) -> Tables {
    let mut next = tables.clone();
    next.apply_update(samples::update(tables.revision, 1));
    next
}

fn measure_heap(size: &Size) -> HeapSlopes {
    let holding = holding(size);
    let tables = samples::tables(entries(size));
    HeapSlopes {
        customer: table_slope(SPAN, |e, n| e.customers = n),
        key: table_slope(SPAN, |e, n| {
            e.customers = 1;
            e.keys = n;
        }),
        withdrawn: slope(SPAN, |n| {
            (0..n).map(samples::key_id).collect::<BTreeSet<_>>()
        }),
        route: table_slope(SPAN, |e, n| e.routes = n),
        adapter: table_slope(SPAN, |e, n| {
            e.models = 1;
            e.adapters = n;
        }),
        tables: bytes_of(|| samples::tables(entries(size))),
        copy: bytes_of(|| changed(&tables)),
        pools: bytes_of(|| tables.pools.values().cloned().collect::<Vec<Pool>>()),
        upstream: slope(SPAN, |n| registry(n, holding)),
        known: slope(SPAN, |n| Known::new(registry(n, holding))),
        far: slope(SPAN, |n| Known::new(mirror(n, holding))),
        waiting: slope(SPAN, queue),
        claim: slope(SPAN, |n| applied(n, samples::claim)),
        edit: slope(SPAN, |n| applied(n, |i| samples::edit(i, None))),
        granted: slope(SPAN, |n| applied(n, samples::grant)),
        routed: slope(SPAN, |n| applied(n, samples::new_route)),
    }
}
