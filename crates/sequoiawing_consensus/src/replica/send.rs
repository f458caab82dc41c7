use super::{Replica, Role, progress::ProgressState};
use crate::{Action, Message, Position, ReplicaId, Snapshot, SnapshotChunk};
use sequoiawing_types::Time;
use std::sync::Arc;

/// The approximate maximum size of the entries in a message, in bytes.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// The maximum size of a snapshot chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 256 * 1024;

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
                ProgressState::Probe { waiting } | ProgressState::Install { waiting, .. } => {
                    *waiting = false;
                }
                ProgressState::Replicate => {}
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
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let prev = progress.next - 1;
        if !matches!(progress.state, ProgressState::Install { .. })
            && self.log.term_at(prev).is_none()
        {
            progress.state = install_state(&self.snapshot);
        }
        let message = match &mut progress.state {
            ProgressState::Install { waiting: true, .. }
            | ProgressState::Probe { waiting: true } => return,
            ProgressState::Install {
                snapshot,
                offset,
                waiting,
            } => {
                *waiting = true;
                let chunk = chunk(snapshot, *offset);
                Message::Install { term, round, chunk }
            }
            ProgressState::Probe { .. } | ProgressState::Replicate => {
                let is_full = prev.saturating_sub(progress.matched) >= MAX_INFLIGHT_ENTRIES;
                let entries = if is_full {
                    Vec::new()
                } else {
                    self.log.batch(progress.next, MAX_BATCH_BYTES)
                };
                if entries.is_empty() && !heartbeat {
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
        waiting: false,
    }
}

fn chunk(snapshot: &Snapshot, offset: usize) -> SnapshotChunk {
    let data = &snapshot.data;
    let end = data.floor_char_boundary(data.len().min(offset + MAX_CHUNK_BYTES));
    SnapshotChunk {
        position: snapshot.position,
        members: snapshot.members.clone(),
        total: data.len(),
        offset,
        data: data[offset..end].to_owned(),
    }
}
