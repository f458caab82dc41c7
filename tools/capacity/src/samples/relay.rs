//! Builds what upstreams and routers tell of upstreams.

use super::{Holding, RUNNERS, announcement, centre, name};
use sequoiawing_fleet::{
    LoadDelta, Publisher, Rank, RelayedState, Renewal, Source, StateList, Summary, SummaryChange,
    UpstreamState,
};
use sequoiawing_link::UpstreamBatch;
use sequoiawing_types::Name;
use std::ops::Range;

/// Builds the renewal of a runner whose first announcement was whole.
pub(crate) fn renewal(i: u32, holding: Holding) -> Renewal {
    Renewal::of(&announcement(i, 2, holding), 1)
}

/// Builds what is sent of a runner whose load alone changed.
pub(crate) fn load(index: u64, sequence: u64, holding: Holding) -> LoadDelta {
    LoadDelta {
        index,
        sequence,
        running: 17,
        active: (0..holding.loaded).collect(),
    }
}

/// Returns how a router names itself.
pub(crate) fn source() -> Source {
    Source {
        host: name("entry", 18),
        start: 1_700_000_000_000_000,
    }
}

/// Builds an announcement as routers relay it.
pub(crate) fn relayed(holding: Holding) -> RelayedState {
    let (index, state) = (1_234, announcement(1_234, 123_456, holding));
    RelayedState { index, state }
}

/// Builds an empty batch between routers.
pub(crate) fn batch() -> UpstreamBatch {
    UpstreamBatch {
        source: source(),
        ..UpstreamBatch::default()
    }
}

/// Builds the whole summary of the data centre of some runners.
pub(crate) fn whole_summary(runners: Range<u32>, holding: Holding) -> Summary {
    let mut publisher = Publisher::new(centre(runners.start / RUNNERS));
    let states: Vec<UpstreamState> = runners.map(|i| announcement(i, 1, holding)).collect();
    publisher.publish(rank(), states.iter())
}

fn rank() -> Rank {
    let (term, start) = (1_700_000_000_000, 1_700_000_000_000_000);
    Rank { term, start }
}

/// Builds the summary of one adapter that takes the place of another.
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
