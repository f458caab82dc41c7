use crate::{DeploymentId, ReplicaId};
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
    /// The voters before a replacement, until it is complete. Meanwhile a majority of
    /// these is needed beside one of the voters.
    pub outgoing: Vec<ReplicaId>,
    /// The identity of the deployment; `None` in the logs of older builds.
    pub deployment: Option<DeploymentId>,
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

    /// Returns the replicas whose votes count: the voters and the outgoing ones.
    pub(crate) fn electors(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let outgoing = self.outgoing.iter().copied();
        self.voters()
            .chain(outgoing.filter(|id| !self.is_voter(*id)))
    }

    /// Returns `true` if a majority of the voters, and of the outgoing ones if there
    /// are any, satisfies the condition.
    pub(crate) fn has_majority<F>(&self, mut condition: F) -> bool
    where
        F: FnMut(ReplicaId) -> bool,
    {
        self.majority_value(&mut condition)
    }

    /// Returns the highest value that a majority of the voters, and of the outgoing
    /// ones if there are any, has reached.
    pub(crate) fn majority_value<V, F>(&self, mut value: F) -> V
    where
        V: Ord + Default,
        F: FnMut(ReplicaId) -> V,
    {
        let reached = nth_of_majority(self.voters().map(&mut value).collect());
        if self.outgoing.is_empty() {
            return reached;
        }
        let outgoing = self.outgoing.iter().copied();
        reached.min(nth_of_majority(outgoing.map(value).collect()))
    }

    /// Returns the members with a voter replaced by a learner, as the first of two
    /// steps.
    pub(crate) fn replacing(&self, voter: ReplicaId, learner: ReplicaId) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters().collect();
        for member in &mut next.members {
            if member.id == voter || member.id == learner {
                member.voter = member.id == learner;
            }
        }
        next
    }

    /// Returns the members after the second step of a replacement, which removes the
    /// replaced voter.
    pub(crate) fn without_outgoing(&self) -> Self {
        let mut next = self.clone();
        next.outgoing.clear();
        next.members
            .retain(|m| m.voter || !self.outgoing.contains(&m.id));
        next
    }

    pub(crate) fn with(&self, member: Member) -> Self {
        let mut next = self.without(member.id);
        next.members.push(member);
        next
    }

    pub(crate) fn without(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        next.members.retain(|m| m.id != id);
        next
    }
}

/// Returns the highest value that more than half of the values reach.
fn nth_of_majority<V>(mut values: Vec<V>) -> V
where
    V: Ord + Default,
{
    let majority = values.len() / 2 + 1;
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(majority - 1).unwrap_or_default()
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
