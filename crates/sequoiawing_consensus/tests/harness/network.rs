use super::{MS, Micros};
use sequoiawing_consensus::Message;

/// The behavior of the simulated network and disks.
///
/// Probabilities are in parts per thousand, and ranges of time in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: u64,
    pub(crate) duplication: u64,
    pub(crate) delay: (Micros, Micros),
    pub(crate) sync: (Micros, Micros),
    /// Whether each entry is sent in a separate message.
    pub(crate) split: bool,
}

impl Network {
    pub(crate) const RELIABLE: Self = Self {
        loss: 0,
        duplication: 0,
        delay: (MS, MS),
        sync: (MS, MS),
        split: false,
    };
    pub(crate) const LOSSY: Self = Self {
        loss: 50,
        duplication: 50,
        delay: (100, 40 * MS),
        sync: (100, 15 * MS),
        split: false,
    };
}

/// Splits a message into one message per entry if `is_split` is set, as a small
/// batch limit would.
pub(super) fn split(message: Message, is_split: bool) -> Vec<Message> {
    let Message::Append {
        term,
        mut prev,
        entries,
        commit,
        round,
    } = message
    else {
        return vec![message];
    };
    if !is_split || entries.len() < 2 {
        return vec![Message::Append {
            term,
            prev,
            entries,
            commit,
            round,
        }];
    }
    let single = entries.into_iter().map(|entry| {
        let before = std::mem::replace(&mut prev, entry.position());
        Message::Append {
            term,
            prev: before,
            entries: vec![entry],
            commit,
            round,
        }
    });
    single.collect()
}
