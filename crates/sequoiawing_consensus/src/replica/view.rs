use super::{Replica, Role};
use crate::{Entry, Membership, Position, ReplicaId, Snapshot};
use sequoiawing_types::Time;
use std::sync::Arc;

/// The role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleName {
    /// Its disk does not belong to a deployment yet.
    Uninitialized,
    /// It receives the log but does not vote.
    Learner,
    /// It votes and follows a leader.
    Follower,
    /// It campaigns for votes.
    Candidate,
    /// It leads the deployment and appends entries to the log.
    Leader,
}

impl RoleName {
    /// Returns the name that status reports use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Uninitialized => "unfounded",
            Self::Learner => "learner",
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

impl Replica {
    /// Returns the identity of the replica.
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Returns the current role.
    pub fn role(&self) -> RoleName {
        match self.role {
            _ if self.bootstrap.is_some() => RoleName::Uninitialized,
            Role::Leader(_) => RoleName::Leader,
            Role::Candidate { .. } | Role::PreCandidate { .. } => RoleName::Candidate,
            Role::Follower if self.members().is_voter(self.id()) => RoleName::Follower,
            Role::Follower => RoleName::Learner,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the highest index known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the highest index passed to [`Action::Apply`](crate::Action::Apply)
    /// or contained in a restored snapshot.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the members as of the last log entry, committed or not.
    pub fn membership(&self) -> &Membership {
        self.members()
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the position of the last log entry.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the entries that are held in memory.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.log.iter()
    }

    /// Returns the expiry of this leader's lease, as measured by its own clock.
    ///
    /// Returns `None` if the replica is not the leader, holds no lease at `now`
    /// or has not yet committed an entry of its term.
    pub fn lease(&self, now: Time) -> Option<Time> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let until = leader.lease_until(now, self.id(), self.members(), &self.settings.timing)?;
        (until > now && self.has_committed_in_term()).then_some(until)
    }

    /// Returns when this replica last received a message from a leader, or, if it
    /// leads, when it last had contact with a majority.
    pub fn last_contact(&self, now: Time) -> Option<Time> {
        if let Role::Leader(leader) = &self.role {
            return leader.quorum_contact(now, self.id(), self.members());
        }
        self.last_contact
    }
}
