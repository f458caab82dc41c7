use crate::ReplicaId;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A replica that receives the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// The identity of its disk.
    pub id: ReplicaId,
    /// Its host.
    pub host: Name,
    /// The address on which it receives messages.
    pub address: SocketAddr,
    /// Whether it votes and counts towards majorities; a learner only receives
    /// the log.
    pub voter: bool,
}

/// The voters and learners as of an entry of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Membership {
    /// All voters and learners.
    pub members: Vec<Member>,
    /// The hosts whose replicas should vote; a learner on one of them is promoted
    /// once it has caught up.
    #[serde(rename = "seats")]
    pub voter_hosts: Vec<Name>,
}

impl Membership {
    /// Returns the member with the given identity.
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Returns the voter on the given host.
    pub fn voter_of(&self, host: &Name) -> Option<&Member> {
        self.members.iter().find(|m| m.voter && m.host == *host)
    }

    /// Returns `true` if the replica is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|m| m.voter)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|m| m.voter).map(|m| m.id)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub(crate) fn majority_value<V, F>(&self, value: F) -> V
    where
        V: Ord + Default,
        F: FnMut(ReplicaId) -> V,
    {
        let mut values: Vec<V> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let reached = values.into_iter().nth(self.majority() - 1);
        reached.unwrap_or_default()
    }

    pub(crate) fn with(&self, member: Member) -> Self {
        let mut next = self.without(member.id);
        next.members.push(member);
        next
    }

    pub(crate) fn without(&self, id: ReplicaId) -> Self {
        let kept = self.members.iter().filter(|m| m.id != id);
        let members = kept.cloned().collect();
        let voter_hosts = self.voter_hosts.clone();
        Self {
            members,
            voter_hosts,
        }
    }
}

/// A membership change that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a host to the voter hosts; its learner is promoted once it has caught
    /// up.
    #[serde(rename = "seat")]
    AddVoter(Name),
    /// Removes a host from the voter hosts and its replica from the members.
    Remove(Name),
}
