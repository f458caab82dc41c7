use crate::{
    CapacityInputs,
    heap::{heap_bytes, slope},
    messages::measure_messages,
    samples::{self, RunnerContents, TableSizes},
    state_machines::{RouterState, queued_dispatcher, registry, remote_registry, tables_after},
    times::measure_times,
};
use sequoiawing_tables::{Pool, Tables};
use std::collections::BTreeSet;

/// The measured cost of one more entry, message or event.
///
/// Heap and message costs are in bytes, times in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slopes {
    pub(crate) heap: HeapSlopes,
    pub(crate) message: MessageSlopes,
    pub(crate) time: TimeSlopes,
    /// The resident memory of an idle router process, in bytes.
    pub(crate) process_memory: f64,
}

/// Heap bytes per entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeapSlopes {
    pub(crate) customer: f64,
    pub(crate) key: f64,
    pub(crate) withdrawn_key: f64,
    pub(crate) route: f64,
    pub(crate) adapter: f64,
    pub(crate) tables: f64,
    pub(crate) table_copy: f64,
    pub(crate) pools_copy: f64,
    pub(crate) upstream: f64,
    pub(crate) local_upstream: f64,
    pub(crate) remote_upstream: f64,
    pub(crate) queued_request: f64,
    pub(crate) claim: f64,
    pub(crate) edit_outcome: f64,
    pub(crate) granted_key: f64,
    pub(crate) added_route: f64,
}

/// Encoded bytes per message, including its envelope.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageSlopes {
    pub(crate) envelope: f64,
    pub(crate) empty_reply: f64,
    pub(crate) relayed_state: f64,
    pub(crate) announcement: f64,
    pub(crate) renewal: f64,
    pub(crate) demand: f64,
    pub(crate) order: f64,
    pub(crate) tables: f64,
    pub(crate) edit: f64,
    pub(crate) update: f64,
    pub(crate) saved_update: f64,
    pub(crate) lease: f64,
    pub(crate) heartbeat: f64,
    pub(crate) log_entry: f64,
    pub(crate) load_delta: f64,
    pub(crate) claim: f64,
    pub(crate) settle: f64,
    pub(crate) empty_batch: f64,
    pub(crate) summary_move: f64,
    pub(crate) confirmation: f64,
}

/// Processor time per operation, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeSlopes {
    pub(crate) encode_announcement: f64,
    pub(crate) decode_announcement: f64,
    pub(crate) apply_announcement: f64,
    pub(crate) apply_load: f64,
    pub(crate) apply_summary: f64,
    pub(crate) dispatch: f64,
    pub(crate) tick: f64,
    pub(crate) apply_renewal: f64,
    pub(crate) decode_renewal: f64,
    pub(crate) refresh_cell: f64,
    pub(crate) answer_demand: f64,
    pub(crate) apply_edit: f64,
    pub(crate) apply_update: f64,
    pub(crate) observe_cell: f64,
    pub(crate) apply_claim: f64,
    pub(crate) publish: f64,
    pub(crate) encode_tables: f64,
    pub(crate) encode_update: f64,
    pub(crate) decode_tables: f64,
    pub(crate) decode_edit: f64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts are small whole numbers"
)]
pub(crate) fn to_count(number: f64) -> u32 {
    number as u32
}

impl Slopes {
    /// Measures all slopes for the given inputs.
    ///
    /// `process_memory` is the resident memory of an idle router process, in bytes.
    pub fn measure(inputs: &CapacityInputs, process_memory: f64) -> Self {
        Self {
            process_memory,
            heap: measure_heap(inputs),
            message: measure_messages(inputs),
            time: measure_times(inputs),
        }
    }
}

pub(crate) fn table_sizes(inputs: &CapacityInputs) -> TableSizes {
    TableSizes {
        customers: to_count(inputs.customers),
        keys: to_count(inputs.keys),
        withdrawn_keys: to_count(inputs.withdrawn_keys),
        routes: to_count(inputs.routes),
        models: to_count(inputs.models),
        adapters: to_count(inputs.adapters),
        hosts: to_count(inputs.nodes),
    }
}

pub(crate) fn runner_contents(inputs: &CapacityInputs) -> RunnerContents {
    RunnerContents {
        models: to_count(inputs.loaded_models),
        adapters: to_count(inputs.loaded_adapters),
        checkpoints: to_count(inputs.checkpoints),
    }
}

fn table_slope<F>(count: u32, set_size: F) -> f64
where
    F: Fn(&mut TableSizes, u32),
{
    slope(count, |n| {
        let mut sizes = TableSizes::default();
        set_size(&mut sizes, n);
        samples::tables(sizes)
    })
}

/// Number of entries over which a heap slope is measured.
const SLOPE_ENTRIES: u32 = 1_000;

/// Returns a copy of the tables with one change applied.
fn with_update(tables: &Tables) -> Tables {
    let mut next = tables.clone();
    next.apply_update(samples::update(tables.revision, 1));
    next
}

fn measure_heap(inputs: &CapacityInputs) -> HeapSlopes {
    let contents = runner_contents(inputs);
    let tables = samples::tables(table_sizes(inputs));
    HeapSlopes {
        customer: table_slope(SLOPE_ENTRIES, |s, n| s.customers = n),
        key: table_slope(SLOPE_ENTRIES, |s, n| {
            s.customers = 1;
            s.keys = n;
        }),
        withdrawn_key: slope(SLOPE_ENTRIES, |n| {
            (0..n).map(samples::key_id).collect::<BTreeSet<_>>()
        }),
        route: table_slope(SLOPE_ENTRIES, |s, n| s.routes = n),
        adapter: table_slope(SLOPE_ENTRIES, |s, n| {
            s.models = 1;
            s.adapters = n;
        }),
        tables: heap_bytes(|| samples::tables(table_sizes(inputs))),
        table_copy: heap_bytes(|| with_update(&tables)),
        pools_copy: heap_bytes(|| tables.pools.values().cloned().collect::<Vec<Pool>>()),
        upstream: slope(SLOPE_ENTRIES, |n| registry(n, contents)),
        local_upstream: slope(SLOPE_ENTRIES, |n| RouterState::new(registry(n, contents))),
        remote_upstream: slope(SLOPE_ENTRIES, |n| {
            RouterState::new(remote_registry(n, contents))
        }),
        queued_request: slope(SLOPE_ENTRIES, queued_dispatcher),
        claim: slope(SLOPE_ENTRIES, |n| tables_after(n, samples::claim)),
        edit_outcome: slope(SLOPE_ENTRIES, |n| {
            tables_after(n, |i| samples::edit(i, None))
        }),
        granted_key: slope(SLOPE_ENTRIES, |n| tables_after(n, samples::grant)),
        added_route: slope(SLOPE_ENTRIES, |n| tables_after(n, samples::new_route)),
    }
}
