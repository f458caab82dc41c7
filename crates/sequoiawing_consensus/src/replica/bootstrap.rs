//! Bootstraps the deployment: forms the first set of voters exactly once.
//!
//! The first voter host in the settings is the bootstrap host. It asks all other
//! voter hosts to promise their empty disks, and announces the first members
//! only after all of them have done so. A disk is promised only once, durably;
//! so a second set of voters can form only if every disk was lost. See
//! [docs/design/consensus.md](../../../../docs/design/consensus.md).

use super::Replica;
use crate::{Action, BootstrapAnswer, Member, Membership, Message, Position, ReplicaId, Snapshot};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// The interval between requests to the hosts that have not promised their disk.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(300);

/// The state of a replica whose disk does not belong to a deployment yet.
pub(super) struct Bootstrap {
    /// The bootstrap replica that the disk is promised to.
    promised_to: Option<ReplicaId>,
    /// Whether an earlier process promised the disk to this replica itself, so that
    /// it was part of the first start.
    is_resumed: bool,
    /// The members that promised their disk to this replica, by host.
    promised: BTreeMap<Name, Member>,
    /// The latest answer of each host.
    answers: BTreeMap<Name, BootstrapAnswer>,
    asked_at: Option<Time>,
}

impl Bootstrap {
    pub(super) fn new(promised_to: Option<ReplicaId>, is_resumed: bool) -> Self {
        Self {
            promised_to,
            is_resumed,
            promised: BTreeMap::new(),
            answers: BTreeMap::new(),
            asked_at: None,
        }
    }
}

impl Replica {
    fn is_bootstrap_host(&self) -> bool {
        let first = self.settings.voters.first();
        first.is_none_or(|host| *host == self.settings.host)
    }

    /// Returns `true` if this replica may bootstrap the deployment.
    fn may_found(&self) -> bool {
        self.is_first_start() && self.is_bootstrap_host()
    }

    /// Returns `true` if this process is part of the first start of the deployment,
    /// or resumes a bootstrap that a process of the first start began on this disk.
    ///
    /// The other voters promised, or still promise, their disks to this disk alone,
    /// so no other deployment can have been bootstrapped meanwhile.
    fn is_first_start(&self) -> bool {
        let is_resumed = self.bootstrap.as_ref().is_some_and(|b| b.is_resumed);
        self.settings.may_bootstrap || is_resumed && self.settings.voters.len() > 1
    }

    pub(super) fn tick_bootstrap(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.may_found() || !self.promise_disk(self.id()) {
            return;
        }
        let own = self.own_member();
        let Some(bootstrap) = &mut self.bootstrap else {
            return;
        };
        bootstrap.promised.insert(own.host.clone(), own);
        if self.bootstrap_when_promised(now) {
            return;
        }
        let Some(bootstrap) = &mut self.bootstrap else {
            return;
        };
        if bootstrap
            .asked_at
            .is_some_and(|at| now - at < BOOTSTRAP_INTERVAL)
        {
            return;
        }
        bootstrap.asked_at = Some(now);
        // A resumed bootstrap is part of the first start as well.
        let first_start = true;
        for host in &self.settings.voters {
            if bootstrap.promised.contains_key(host) {
                continue;
            }
            let voters = self.settings.voters.clone();
            let message = Message::Bootstrap {
                voters,
                first_start,
            };
            let host = host.clone();
            out.push(Action::SendToHost { host, message });
        }
    }

    fn own_member(&self) -> Member {
        Member {
            id: self.id(),
            host: self.settings.host.clone(),
            address: self.settings.address,
            voter: true,
        }
    }

    /// Promises the empty disk to a replica, unless it is already promised.
    ///
    /// Returns `true` if the disk is promised to `to`.
    fn promise_disk(&mut self, to: ReplicaId) -> bool {
        let Some(bootstrap) = &mut self.bootstrap else {
            return false;
        };
        if let Some(promised_to) = bootstrap.promised_to {
            return promised_to == to;
        }
        bootstrap.promised_to = Some(to);
        self.write().promised_to = Some(to);
        true
    }

    /// Creates the first membership once every host has promised its disk.
    ///
    /// Returns `true` if it was created.
    fn bootstrap_when_promised(&mut self, now: Time) -> bool {
        let Some(bootstrap) = &self.bootstrap else {
            return false;
        };
        let hosts = &self.settings.voters;
        if !hosts.iter().all(|h| bootstrap.promised.contains_key(h)) {
            return false;
        }
        let members: Vec<_> = bootstrap.promised.values().cloned().collect();
        let deployment = Some(self.new_deployment());
        let voter_hosts = members.iter().map(|m| m.host.clone()).collect();
        self.initialize(
            now,
            Arc::new(Membership {
                members,
                voter_hosts,
                deployment,
                ..Membership::default()
            }),
        );
        true
    }

    /// Initializes the empty log of this replica with the first members.
    fn initialize(&mut self, now: Time, members: Arc<Membership>) {
        self.reset_to_snapshot(Arc::new(Snapshot {
            position: Position::default(),
            members,
            data: Arc::default(),
        }));
        self.reset_election(now);
    }

    /// Announces the first members until there is a leader.
    ///
    /// A replica that has not received them does not vote.
    pub(super) fn announce_bootstrap(&mut self, out: &mut Vec<Action>) {
        let is_new = self.bootstrap.is_none() && self.log.last().index == 0;
        if !is_new || self.leader.is_some() || !self.is_bootstrap_host() {
            return;
        }
        let members = self.members().clone();
        for to in members.voters().filter(|id| *id != self.id()) {
            let members = members.clone();
            let message = Message::Bootstrapped { members };
            // The members must be durable on the bootstrap host first.
            let after = self.seq;
            out.push(Action::Send { to, message, after });
        }
    }

    pub(super) fn handle_bootstrap(&mut self, from: ReplicaId, voters: &[Name], first_start: bool) {
        let is_first = first_start || self.settings.may_bootstrap;
        let promised_to = self.bootstrap.as_ref().and_then(|b| b.promised_to);
        if self.bootstrap.is_some() && !is_first && promised_to != Some(from) {
            // Neither side was started as part of the first start, so both disks
            // may be lost ones of a deployment that the sender does not reach.
            return;
        }
        let answer = if voters != self.settings.voters {
            BootstrapAnswer::Differs
        } else if self.bootstrap.is_none() {
            BootstrapAnswer::Founded
        } else if self.promise_disk(from) {
            BootstrapAnswer::Promised
        } else {
            let promised_to = self.bootstrap.as_ref().and_then(|b| b.promised_to);
            BootstrapAnswer::Taken(promised_to.unwrap_or_default())
        };
        let message = Message::BootstrapReply {
            host: self.settings.host.clone(),
            address: self.settings.address,
            answer,
        };
        self.send_after_write(from, message);
    }

    pub(super) fn handle_bootstrap_reply(
        &mut self,
        from: ReplicaId,
        host: &Name,
        address: SocketAddr,
        answer: BootstrapAnswer,
    ) {
        let is_asked = self.settings.voters.contains(host);
        let Some(bootstrap) = self.bootstrap.as_mut().filter(|_| is_asked) else {
            return;
        };
        if answer == BootstrapAnswer::Promised {
            let member = Member {
                id: from,
                host: host.clone(),
                address,
                voter: true,
            };
            bootstrap.promised.insert(host.clone(), member);
        }
        bootstrap.answers.insert(host.clone(), answer);
    }

    pub(super) fn handle_bootstrapped(
        &mut self,
        now: Time,
        from: ReplicaId,
        members: Arc<Membership>,
    ) {
        let is_promised = self
            .bootstrap
            .as_ref()
            .is_some_and(|b| b.promised_to == Some(from));
        if is_promised && members.is_voter(self.id()) {
            self.initialize(now, members);
        }
    }

    /// Returns the hosts whose answers prevent the bootstrap, with these answers.
    pub fn bootstrap_obstacles(&self) -> Vec<(Name, BootstrapAnswer)> {
        let Some(bootstrap) = &self.bootstrap else {
            return Vec::new();
        };
        let answers = bootstrap.answers.iter();
        let obstacles = answers.filter(|(_, answer)| **answer != BootstrapAnswer::Promised);
        obstacles.map(|(h, c)| (h.clone(), *c)).collect()
    }
}
