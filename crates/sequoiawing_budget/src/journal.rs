use crate::Tag;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A use of credit by a borrower.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// Tokens were charged to requests.
    Spent {
        /// The charged tokens.
        tokens: u64,
        /// The lender's tag when the tokens were charged.
        tag: Tag,
    },
    /// Requests ended without using everything that they were charged.
    Refunded {
        /// The tokens that were charged.
        charged: u64,
        /// The tokens that were not used.
        unused: u64,
        /// The tag of the charge.
        tag: Tag,
    },
}

/// An entry of a borrower's journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The position, starting at one. A lender applies each entry once, in
    /// order.
    pub id: u64,
    /// What the borrower did.
    pub kind: EntryKind,
}

/// The entries that a borrower resends until its lender has applied them.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Journal {
    entries: VecDeque<Entry>,
    #[serde(rename = "last")]
    last_id: u64,
    #[serde(rename = "sealed")]
    last_sent: u64,
}

impl Journal {
    /// Adds an entry, or merges it into a similar entry that was never sent.
    ///
    /// Spending may move ahead of a refund, but a refund must not move ahead of
    /// the spending that it belongs to.
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

    /// Returns all entries that the lender has not acknowledged. Entries that
    /// were returned are no longer merged.
    pub(crate) fn send(&mut self) -> Vec<Entry> {
        self.last_sent = self.last_id;
        self.entries.iter().copied().collect()
    }

    /// Removes the entries up to `id`, which the lender has applied.
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
