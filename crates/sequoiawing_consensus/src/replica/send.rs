use super::{Replica, Role, compaction::MAX_INFLIGHT_BYTES, progress::ProgressState};
use crate::{Action, Message, Position, ReplicaId, Snapshot, SnapshotChunk};
use sequoiawing_types::Time;
use std::sync::Arc;

/// The approximate maximum size of the entries in a message, in bytes.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// The maximum size of a snapshot chunk, in bytes.
///
/// It takes 70 ms at 15 Mbit/s, less than the interval between heartbeats, which
/// wait for it on the same connection.
const MAX_CHUNK_BYTES: usize = 128 * 1024;

/// The maximum number of unacknowledged entries per follower.
const MAX_INFLIGHT_ENTRIES: u64 = 4_096;

impl Replica {
    /// Starts a round that sends a message to every follower.
    pub(super) fn broadcast(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.start_round(now, &self.settings.timing);
        for progress in leader.progress.values_mut() {
            match &mut progress.state {
                ProgressState::Probe { waiting } => *waiting = false,
                ProgressState::Install { .. } | ProgressState::Replicate => {}
            }
        }
        let followers: Vec<_> = leader.progress.keys().copied().collect();
        for to in followers {
            self.send_to(to, true, out);
        }
    }

    /// Sends new entries to all followers that can receive them.
    pub(super) fn send_entries(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.start_round(now, &self.settings.timing);
        let followers: Vec<_> = leader.progress.keys().copied().collect();
        for to in followers {
            self.send_to(to, false, out);
        }
    }

    /// Sends the next message to a follower.
    ///
    /// Without entries to send, it is sent only if `heartbeat` is set.
    pub(super) fn send_to(&mut self, to: ReplicaId, heartbeat: bool, out: &mut Vec<Action>) {
        let term = self.hard_state.term;
        let last = self.log.last().index;
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(next) = leader.progress.get(&to).map(|p| p.next) else {
            return;
        };
        let prev = next - 1;
        let needs_snapshot = self.needs_snapshot(prev);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        if needs_snapshot && !matches!(progress.state, ProgressState::Install { .. }) {
            progress.state = install_state(&self.snapshot);
        }
        let message = match &mut progress.state {
            ProgressState::Probe { waiting: true } => return,
            ProgressState::Install { sent: Some(_), .. } if !heartbeat => return,
            ProgressState::Install {
                snapshot,
                offset,
                sent,
            } => {
                // The answer to a heartbeat shows whether the chunk has arrived.
                let bytes = if sent.is_none() { MAX_CHUNK_BYTES } else { 0 };
                sent.get_or_insert(round);
                let chunk = chunk(snapshot, *offset, bytes);
                Message::Install { term, round, chunk }
            }
            ProgressState::Probe { .. } | ProgressState::Replicate => {
                let is_full = prev.saturating_sub(progress.matched) >= MAX_INFLIGHT_ENTRIES
                    || self.log.bytes_between(progress.matched, prev) >= MAX_INFLIGHT_BYTES;
                let is_probe = matches!(progress.state, ProgressState::Probe { .. });
                let entries = if is_full || is_probe {
                    Vec::new()
                } else {
                    self.log.batch(progress.next, MAX_BATCH_BYTES)
                };
                if entries.is_empty() && !heartbeat && !is_probe {
                    return;
                }
                if let ProgressState::Probe { waiting } = &mut progress.state {
                    *waiting = true;
                } else {
                    progress.next = prev + entries.len() as u64 + 1;
                }
                let prev = Position {
                    index: prev,
                    term: self.log.term_at(prev).unwrap_or_default(),
                };
                let commit = self.commit;
                Message::Append {
                    term,
                    prev,
                    entries,
                    commit,
                    round,
                }
            }
        };
        debug_assert!(
            progress.next <= last + 1,
            "the next index must not be past the end of the log"
        );
        let after = 0;
        out.push(Action::Send { to, message, after });
    }
}

pub(super) fn install_state(snapshot: &Arc<Snapshot>) -> ProgressState {
    ProgressState::Install {
        snapshot: snapshot.clone(),
        offset: 0,
        sent: None,
    }
}

fn chunk(snapshot: &Snapshot, offset: usize, bytes: usize) -> SnapshotChunk {
    let data = &snapshot.data;
    let end = data.floor_char_boundary(data.len().min(offset + bytes));
    SnapshotChunk {
        position: snapshot.position,
        members: snapshot.members.clone(),
        total: data.len(),
        offset,
        data: data[offset..end].to_owned(),
    }
}
