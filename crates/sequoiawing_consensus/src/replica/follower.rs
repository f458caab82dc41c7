use super::Replica;
use crate::{Action, Entry, Message, Position, ReplicaId, Snapshot, SnapshotChunk};
use std::sync::Arc;

/// A snapshot that is being received.
pub(super) struct IncomingSnapshot {
    position: Position,
    data: String,
}

impl Replica {
    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if let Some(hint) = self.mismatch(prev) {
            self.reply_append(from, round, None, hint);
            return;
        }
        let matched = prev.index + entries.len() as u64;
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        self.reply_append(from, round, Some(matched), 0);
    }

    fn reply_append(&mut self, to: ReplicaId, round: u64, matched: Option<u64>, hint: u64) {
        let term = self.hard_state.term;
        let message = Message::AppendReply {
            term,
            round,
            matched,
            hint,
        };
        self.send_after_write(to, message);
    }

    /// Returns the index after which the leader should retry, or `None` if the
    /// logs match at `prev`.
    fn mismatch(&self, prev: Position) -> Option<u64> {
        if self.bootstrap.is_some() {
            return Some(0);
        }
        let last = self.log.last().index;
        if prev.index > last {
            return Some(last);
        }
        if prev.index <= self.commit {
            return None;
        }
        let term = self.log.term_at(prev.index)?;
        if term == prev.term {
            return None;
        }
        // The leader probably lacks all entries of that term, so skip them all.
        let mut hint = prev.index - 1;
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint -= 1;
        }
        Some(hint)
    }

    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.push_entry(entry);
    }

    pub(super) fn handle_install(
        &mut self,
        from: ReplicaId,
        round: u64,
        chunk: &SnapshotChunk,
        out: &mut Vec<Action>,
    ) {
        let position = chunk.position;
        let is_known = self.bootstrap.is_none()
            && (position.index <= self.commit
                || self.log.term_at(position.index) == Some(position.term));
        if is_known {
            self.commit = self.commit.max(position.index);
            self.incoming = None;
            self.reply_append(from, round, Some(position.index), 0);
            return;
        }
        let (total, members) = (chunk.total, chunk.members.clone());
        let received = self.receive_chunk(chunk);
        if received < total {
            let message = Message::InstallReply {
                term: self.hard_state.term,
                round,
                index: position.index,
                received,
            };
            let after = 0;
            out.push(Action::Send {
                to: from,
                message,
                after,
            });
            return;
        }
        let data = self.incoming.take().map(|i| Arc::from(i.data));
        let data = data.unwrap_or_default();
        self.reset_to_snapshot(Arc::new(Snapshot {
            position,
            members,
            data,
        }));
        self.reply_append(from, round, Some(position.index), 0);
    }

    /// Appends the chunk if it is the next one.
    ///
    /// Returns the number of bytes received so far.
    fn receive_chunk(&mut self, chunk: &SnapshotChunk) -> usize {
        let fresh = IncomingSnapshot {
            position: chunk.position,
            data: String::new(),
        };
        let incoming = self.incoming.get_or_insert(fresh);
        if incoming.position != chunk.position {
            incoming.position = chunk.position;
            incoming.data.clear();
        }
        if incoming.data.len() == chunk.offset {
            incoming.data.push_str(&chunk.data);
        }
        incoming.data.len()
    }
}
