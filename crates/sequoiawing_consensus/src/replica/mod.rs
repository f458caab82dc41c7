//! The consensus state machine of a replica.

mod bootstrap;
mod compaction;
mod deployment;
mod election;
mod follower;
mod leader;
mod member_change;
mod progress;
mod reads;
mod send;
mod transfer;
mod view;

use crate::{
    Action, Entry, Event, HardState, Loaded, Membership, Message, Payload, Position, Refusal,
    ReplicaId, ReplicaSettings, Snapshot, Token, Write, log::Log,
};
pub use view::RoleName;

use bootstrap::Bootstrap;
use follower::IncomingSnapshot;
use leader::LeaderState;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use sequoiawing_types::Time;
use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    Candidate {
        granted: BTreeSet<ReplicaId>,
        /// The write with the vote for itself, until it is durable.
        self_vote: Option<u64>,
    },
    Leader(Box<LeaderState>),
}

/// A write that is not yet durable.
struct PendingWrite {
    seq: u64,
    /// The last log index that the write makes durable.
    last: u64,
    since: Time,
}

/// A period in which this replica withholds its vote, because a leader may hold
/// a lease that relies on it.
#[derive(Clone, Copy)]
struct LeaseGrant {
    term: u64,
    until: Time,
}

/// A replica of the log.
pub struct Replica {
    settings: ReplicaSettings,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    /// The members, with the index from which they are in effect; the first ones
    /// are those of the snapshot.
    memberships: Vec<(u64, Arc<Membership>)>,
    commit: u64,
    applied: u64,
    durable: u64,
    pending: VecDeque<PendingWrite>,
    seq: u64,
    role: Role,
    leader: Option<ReplicaId>,
    lease_grant: LeaseGrant,
    /// When the last message from a leader was received.
    last_contact: Option<Time>,
    election_at: Time,
    incoming: Option<IncomingSnapshot>,
    bootstrap: Option<Bootstrap>,
    /// When hosts were last sent bootstrap announcements or join requests.
    contacted_at: Option<Time>,
    snapshot_requested: bool,
    shutting_down: bool,
    rng: ChaCha8Rng,
    /// The write of the current event.
    write: Option<Write>,
    /// The messages of the current event that wait for its write.
    deferred: Vec<(ReplicaId, Message)>,
}

impl Replica {
    /// Starts a replica from the state loaded from its disk.
    ///
    /// A replica that belongs to a deployment withholds its vote for one election
    /// timeout, because a leader may hold a lease that it granted before the
    /// restart.
    pub fn start(
        settings: ReplicaSettings,
        loaded: Loaded,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ loaded.hard_state.term);
        let is_bootstrapped = loaded.snapshot.is_some();
        let snapshot = loaded.snapshot.unwrap_or_default();
        let mut memberships = vec![(snapshot.position.index, snapshot.members.clone())];
        memberships.extend(loaded.entries.iter().filter_map(members_of));
        let log = Log::new(snapshot.position, loaded.entries);
        let until = if is_bootstrapped {
            now + settings.timing.election_timeout
        } else {
            now
        };
        let lease_grant = LeaseGrant {
            term: loaded.hard_state.term,
            until,
        };
        let durable = log.last().index;
        let mut replica = Self {
            commit: loaded.commit.clamp(snapshot.position.index, durable),
            applied: 0,
            durable,
            hard_state: loaded.hard_state,
            log,
            memberships,
            pending: VecDeque::new(),
            seq: 0,
            role: Role::Follower,
            leader: None,
            lease_grant,
            last_contact: None,
            election_at: until,
            incoming: None,
            bootstrap: (!is_bootstrapped).then(|| {
                let is_resumed = loaded.promised_to == Some(settings.id);
                Bootstrap::new(loaded.promised_to, is_resumed)
            }),
            contacted_at: None,
            snapshot_requested: false,
            shutting_down: false,
            rng,
            write: None,
            deferred: Vec::new(),
            snapshot,
            settings,
        };
        replica.reset_election(now);
        replica.apply(out);
        replica
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Receive { from, message } => self.receive(now, from, message, out),
            Event::Propose(proposals) => self.handle_propose(now, proposals, out),
            Event::Read(token) => self.handle_read(now, token, out),
            Event::Persisted(seq) => self.handle_persisted(now, seq, out),
            Event::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data),
            Event::ChangeMembers { token, change } => {
                self.handle_change_members(now, token, &change, out);
            }
            Event::Shutdown => self.shutting_down = true,
        }
        self.advance(now, out);
        self.flush(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.bootstrap.is_some() {
            self.tick_bootstrap(now, out);
        }
        if self.tick_contact(now) {
            self.announce_bootstrap(out);
            self.request_join(now, out);
        }
        if self.is_leader() {
            self.tick_leader(now, out);
        } else {
            self.tick_election(now, out);
        }
    }

    fn receive(&mut self, now: Time, from: ReplicaId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::PreVote { term, last } => self.handle_pre_vote(now, from, term, last, out),
            Message::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(now, from, term, granted, out);
            }
            Message::Vote {
                term,
                last,
                transfer,
            } => self.handle_vote(now, from, term, last, transfer, out),
            Message::VoteReply { term, granted } => {
                self.handle_vote_reply(now, from, term, granted, out);
            }
            Message::Append {
                term,
                prev,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(now, from, term, round, out) {
                    self.handle_append(from, prev, entries, commit, round);
                }
            }
            Message::AppendReply {
                term,
                round,
                matched,
                hint,
            } => {
                if self.accept_reply(now, from, term, round, out) {
                    self.handle_append_reply(now, from, matched, hint, out);
                }
            }
            Message::Install { term, round, chunk } => {
                if self.accept_leader(now, from, term, round, out) {
                    self.handle_install(from, round, &chunk, out);
                }
            }
            Message::InstallReply {
                term,
                round,
                index,
                received,
            } => {
                if self.accept_reply(now, from, term, round, out) {
                    self.handle_install_reply(now, from, round, (index, received), out);
                }
            }
            Message::TimeoutNow { term } => self.handle_timeout_now(now, from, term, out),
            Message::Join {
                id,
                host,
                address,
                deployment,
                commit,
            } => self.handle_join(id, (host, address), deployment, commit, out),
            Message::Bootstrap {
                voters,
                first_start,
            } => self.handle_bootstrap(from, &voters, first_start),
            Message::BootstrapReply {
                host,
                address,
                answer,
            } => self.handle_bootstrap_reply(from, &host, address, answer),
            Message::Bootstrapped { members } => self.handle_bootstrapped(now, from, members),
        }
    }

    fn handle_persisted(&mut self, now: Time, seq: u64, out: &mut Vec<Action>) {
        while let Some(done) = self.pending.pop_front_if(|p| p.seq <= seq) {
            self.durable = self.durable.max(done.last);
        }
        self.count_self_vote(now, seq, out);
    }

    /// Advances the commit index, applies entries, completes reads and transfers
    /// leadership, as far as the event made it possible.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_leader() {
            self.advance_commit();
        }
        self.apply(out);
        self.answer_reads(out);
        self.try_transfer(now, out);
    }

    /// Applies the entries that are committed and durable on this replica.
    ///
    /// Entries that are durable only on other replicas are not applied, so that
    /// the state is never ahead of what a restart would recover.
    fn apply(&mut self, out: &mut Vec<Action>) {
        let base = self.snapshot.position.index;
        if base > self.applied && base <= self.durable {
            out.push(Action::Restore(self.snapshot.clone()));
            self.applied = base;
        }
        if base > self.applied {
            return;
        }
        while self.applied < self.commit.min(self.durable) {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            let token = self.take_token(entry.position());
            out.push(Action::Apply { entry, token });
        }
        if self.is_snapshot_due() && !self.snapshot_requested {
            self.snapshot_requested = true;
            out.push(Action::TakeSnapshot);
        }
    }

    fn handle_snapshot_taken(&mut self, index: u64, data: Arc<str>) {
        self.snapshot_requested = false;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= self.snapshot.position.index || index > self.applied {
            return;
        }
        let base = self.memberships.partition_point(|(from, _)| *from <= index) - 1;
        self.memberships.drain(..base);
        let members = self.memberships[0].1.clone();
        let position = Position { index, term };
        self.snapshot = Arc::new(Snapshot {
            position,
            members,
            data,
        });
        self.write().snapshot = Some(self.snapshot.clone());
        self.compact_log();
    }

    /// Emits the write of the event, then the messages that depend on it.
    fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(mut write) = self.write.take() {
            self.seq += 1;
            write.commit = self.commit;
            self.pending.push_back(PendingWrite {
                seq: self.seq,
                last: self.log.last().index,
                since: now,
            });
            let seq = self.seq;
            out.push(Action::Persist { seq, write });
        }
        let after = self.seq;
        let deferred = self.deferred.drain(..);
        out.extend(deferred.map(|(to, message)| Action::Send { to, message, after }));
    }

    /// Returns the write of the current event, creating it if necessary.
    fn write(&mut self) -> &mut Write {
        self.write.get_or_insert_default()
    }

    fn write_hard_state(&mut self) {
        let hard_state = self.hard_state;
        self.write().hard_state = Some(hard_state);
    }

    /// Sends a message once the write of the current event is durable.
    fn send_after_write(&mut self, to: ReplicaId, message: Message) {
        self.deferred.push((to, message));
    }

    fn push_entry(&mut self, entry: Entry) {
        self.memberships.extend(members_of(&entry));
        self.write().entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes the entry at `index` and all later ones.
    fn truncate(&mut self, index: u64) {
        assert!(
            index > self.commit,
            "committed entries must not be truncated"
        );
        self.log.truncate(index);
        self.memberships.retain(|(from, _)| *from < index);
        self.durable = self.durable.min(index - 1);
        for pending in &mut self.pending {
            pending.last = pending.last.min(index - 1);
        }
    }

    /// Replaces the log and the state with a snapshot.
    fn reset_to_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let position = snapshot.position;
        self.log = Log::new(position, Vec::new());
        self.memberships = vec![(position.index, snapshot.members.clone())];
        self.commit = position.index;
        self.durable = self.durable.min(position.index.saturating_sub(1));
        for pending in &mut self.pending {
            pending.last = 0;
        }
        self.snapshot = snapshot.clone();
        self.snapshot_requested = false;
        self.bootstrap = None;
        let write = self.write();
        write.snapshot = Some(snapshot);
        write.reset = true;
    }

    /// Returns `true` if the oldest pending write exceeds the stall timeout.
    pub fn is_stalled(&self, now: Time) -> bool {
        let oldest = self.pending.front();
        oldest.is_some_and(|p| now - p.since > self.settings.timing.stall_timeout)
    }

    fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    fn members(&self) -> &Arc<Membership> {
        let (_, members) = self
            .memberships
            .last()
            .expect("the snapshot always has members");
        members
    }

    fn random_span(&mut self, below: Duration) -> Duration {
        let micros = u64::try_from(below.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.next_u64() % micros.max(1))
    }

    fn refuse(token: Token, refusal: Refusal, out: &mut Vec<Action>) {
        out.push(Action::Refuse { token, refusal });
    }
}

fn members_of(entry: &Entry) -> Option<(u64, Arc<Membership>)> {
    match &entry.payload {
        Payload::Members(members) => Some((entry.index, members.clone())),
        Payload::Empty | Payload::Command(_) => None,
    }
}
