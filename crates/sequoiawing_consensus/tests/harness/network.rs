use super::{MS, Micros};
use sequoiawing_consensus::Message;

/// How the network treats messages, in parts per thousand and microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: u64,
    pub(crate) repeat: u64,
    pub(crate) delay: (Micros, Micros),
    pub(crate) sync: (Micros, Micros),
    /// Whether each entry travels in a message of its own.
    pub(crate) split: bool,
}

impl Network {
    pub(crate) const RELIABLE: Self = Self {
        loss: 0,
        repeat: 0,
        delay: (MS, MS),
        sync: (MS, MS),
        split: false,
    };
    pub(crate) const LOSSY: Self = Self {
        loss: 50,
        repeat: 50,
        delay: (100, 40 * MS),
        sync: (100, 15 * MS),
        split: false,
    };
}

/// Sends each entry in a message of its own, as a small batch limit would.
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
