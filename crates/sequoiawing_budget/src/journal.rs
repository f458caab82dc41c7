use crate::Tag;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What a borrower did with credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// Tokens were charged to requests.
    Spent {
        /// The tokens.
        tokens: u64,
        /// The lender's tag known at that time.
        tag: Tag,
    },
    /// Requests have ended that did not use all they were charged.
    Refunded {
        /// The tokens that were charged.
        charged: u64,
        /// The tokens that were not used.
        unused: u64,
        /// The tag of the charge.
        tag: Tag,
    },
}

/// One entry of a journal of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The position, from one; a lender applies each once and in order.
    pub id: u64,
    /// What was done.
    pub kind: EntryKind,
}

/// What a borrower has to tell its lender, resent until it is applied.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Journal {
    entries: VecDeque<Entry>,
    #[serde(rename = "last")]
    last_id: u64,
    #[serde(rename = "sealed")]
    last_sent: u64,
}

impl Journal {
    /// Adds an entry, joined with a like one that was never sent.
    ///
    /// What is spent may be told earlier than it was, but no refund before the
    /// spending that it belongs to.
    pub(crate) fn push(&mut self, kind: EntryKind) {
        let is_spent = matches!(kind, EntryKind::Spent { .. });
        let reach = if is_spent { 2 } else { 1 };
        let last_sent = self.last_sent;
        let unsent = self.entries.iter_mut().rev().take(reach);
        for entry in unsent.filter(|e| e.id > last_sent) {
            if merge(&mut entry.kind, &kind) {
                return;
            }
        }
        self.last_id += 1;
        let id = self.last_id;
        self.entries.push_back(Entry { id, kind });
    }

    /// Returns all entries that are not known to be applied.
    pub(crate) fn send(&mut self) -> Vec<Entry> {
        self.last_sent = self.last_id;
        self.entries.iter().copied().collect()
    }

    /// Forgets what the lender has applied.
    pub(crate) fn acknowledge(&mut self, id: u64) {
        while self.entries.front().is_some_and(|e| e.id <= id) {
            self.entries.pop_front();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn merge(last: &mut EntryKind, next: &EntryKind) -> bool {
    match (last, next) {
        (EntryKind::Spent { tokens, tag }, EntryKind::Spent { tokens: n, tag: t }) if tag == t => {
            *tokens += n;
            true
        }
        (
            EntryKind::Refunded {
                charged,
                unused,
                tag,
            },
            EntryKind::Refunded {
                charged: c,
                unused: u,
                tag: t,
            },
        ) if tag == t => {
            *charged += c;
            *unused += u;
            true
        }
        _ => false,
    }
}
