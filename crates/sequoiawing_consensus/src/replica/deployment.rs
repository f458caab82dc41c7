//! Keeps deployments apart: which senders a replica listens to, and which disks a
//! leader admits.

use super::{Replica, Role};
use crate::{DeploymentId, Membership, Message, Position, ReplicaId};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

impl Replica {
    /// Returns the deployment that this replica belongs to, or `None` if it has not
    /// been admitted or its log was written by an older build.
    pub fn deployment(&self) -> Option<DeploymentId> {
        self.members().deployment
    }

    /// Draws an identity from the seed of this replica, which is that of its disk.
    pub(super) fn new_deployment(&self) -> DeploymentId {
        let mut rng = ChaCha8Rng::seed_from_u64(!self.settings.seed);
        DeploymentId(rng.next_u64())
    }

    /// Returns `true` if a message concerns the deployment of this replica.
    ///
    /// A driver drops all other messages. `deployment` is the one in the envelope.
    /// Replicas of older builds name none; they are recognized as members. A replica
    /// whose log names none listens to leaders that name one: these know its disk, as
    /// the driver checks, and so have admitted it.
    pub fn accepts(
        &self,
        from: ReplicaId,
        deployment: Option<DeploymentId>,
        message: &Message,
    ) -> bool {
        let is_request = matches!(
            message,
            Message::Join { .. } | Message::Bootstrap { .. } | Message::BootstrapReply { .. }
        );
        let is_unbound = is_request || self.bootstrap.is_some() || self.has_member(from);
        match (self.deployment(), deployment) {
            (Some(own), Some(other)) => own == other,
            (None, Some(_)) => true,
            (_, None) => is_unbound,
        }
    }

    /// Returns `true` if the replica is a member as of any entry held.
    fn has_member(&self, id: ReplicaId) -> bool {
        let mut held = self.memberships.iter();
        held.any(|(_, members)| members.member(id).is_some())
    }

    /// Returns the last entry known to be committed, or `None` if the disk is empty.
    pub(super) fn commit_position(&self) -> Option<Position> {
        let index = self.commit;
        let term = self.log.term_at(index)?;
        self.bootstrap.is_none().then_some(Position { index, term })
    }

    /// Returns `true` if a disk may be admitted: it is empty, or what is committed on
    /// it is part of this log. Otherwise its content would be mixed with this log.
    pub(super) fn may_admit(
        &mut self,
        id: ReplicaId,
        deployment: Option<DeploymentId>,
        commit: Option<Position>,
    ) -> bool {
        let is_foreign = deployment.is_some() && deployment != self.deployment();
        let is_other_log = commit.is_some_and(|p| {
            let term = self.log.term_at(p.index);
            p.index > self.log.last().index || term.is_some_and(|term| term != p.term)
        });
        let is_refused = is_foreign || is_other_log;
        if let Role::Leader(leader) = &mut self.role
            && is_refused
            && leader.refused.insert(id)
        {
            log::error!(
                target: "replica", replica = id.to_string().as_str(),
                deployment = deployment.map(|d| d.to_string()).as_deref(),
                commit = commit.map(|p| p.index);
                "Refused to admit a replica whose disk belongs to another deployment."
            );
        }
        !is_refused
    }

    /// Returns the members with a new identity of the deployment, if the log was
    /// written by older builds and has none.
    pub(super) fn identify_deployment(&self) -> Option<Membership> {
        if self.deployment().is_some() {
            return None;
        }
        let mut next = Membership::clone(self.members());
        next.deployment = Some(self.new_deployment());
        Some(next)
    }
}
