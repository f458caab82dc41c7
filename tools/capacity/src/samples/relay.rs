//! Builds sample messages of upstreams and routers about the state of upstreams.

use super::{RUNNERS_PER_CENTRE, RunnerContents, announcement, centre, name};
use sequoiawing_fleet::{
    LoadDelta, Publisher, Rank, RelayedState, Renewal, Source, StateList, Summary, SummaryChange,
    UpstreamState,
};
use sequoiawing_link::UpstreamBatch;
use sequoiawing_types::Name;
use std::ops::Range;

/// Builds the renewal of a runner whose first announcement was a full one.
pub(crate) fn renewal(i: u32, contents: RunnerContents) -> Renewal {
    Renewal::of(&announcement(i, 2, contents), 1)
}

/// Builds the update for a runner of which only the load changed.
pub(crate) fn load_delta(index: u64, sequence: u64, contents: RunnerContents) -> LoadDelta {
    LoadDelta {
        index,
        sequence,
        running: 17,
        active: (0..contents.models).collect(),
    }
}

/// Returns the identity under which a router sends updates.
pub(crate) fn source() -> Source {
    Source {
        host: name("entry", 18),
        start: 1_700_000_000_000_000,
    }
}

/// Builds an announcement as routers relay it.
pub(crate) fn relayed_state(contents: RunnerContents) -> RelayedState {
    let (index, state) = (1_234, announcement(1_234, 123_456, contents));
    RelayedState { index, state }
}

/// Builds an empty batch between routers.
pub(crate) fn empty_batch() -> UpstreamBatch {
    UpstreamBatch {
        source: source(),
        ..UpstreamBatch::default()
    }
}

/// Builds the full summary of a data centre with the given runners.
pub(crate) fn full_summary(runners: Range<u32>, contents: RunnerContents) -> Summary {
    let mut publisher = Publisher::new(centre(runners.start / RUNNERS_PER_CENTRE));
    let states: Vec<UpstreamState> = runners.map(|i| announcement(i, 1, contents)).collect();
    publisher.publish(rank(), states.iter())
}

fn rank() -> Rank {
    let (term, start) = (1_700_000_000_000, 1_700_000_000_000_000);
    Rank { term, start }
}

/// Builds the summary of a change in which one adapter replaces another.
pub(crate) fn moved_summary() -> Summary {
    let adapter = |i| {
        (
            StateList::Adapter,
            Name::from(format!("model-00001:{}", name("adapter", i))),
        )
    };
    Summary {
        centre: centre(1),
        rank: rank(),
        base: Some(123_456),
        serial: 123_457,
        changes: vec![SummaryChange::Move {
            name: name("runner", 1_234),
            gained: vec![adapter(1)],
            lost: vec![adapter(2)],
        }],
    }
}
