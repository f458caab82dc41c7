use crate::{DeploymentId, Entry, Membership, Position, ReplicaId};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The answer of a host to [`Message::Bootstrap`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BootstrapAnswer {
    /// The disk is empty and is now promised to the sender.
    Promised,
    /// The disk is empty but is promised to another replica.
    Taken(ReplicaId),
    /// The disk already belongs to a deployment.
    Founded,
    /// The settings of the host list different voters.
    Differs,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot contains.
    pub position: Position,
    /// The members as of that entry.
    pub members: Arc<Membership>,
    /// The size of the whole snapshot, in bytes.
    pub total: usize,
    /// The offset of this chunk in the snapshot, in bytes.
    pub offset: usize,
    /// The data of this chunk.
    pub data: String,
}

/// A message between replicas.
///
/// Messages may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks whether the receiver would grant a vote in `term`, without changing
    /// its term.
    PreVote {
        /// The term that the sender would campaign in.
        term: u64,
        /// The last position of the sender's log.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, or else the current term of the
        /// replying replica.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The candidate's term.
        term: u64,
        /// The last position of the candidate's log.
        last: Position,
        /// Whether the leader of the previous term released its lease to the
        /// candidate.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The position of the entry that precedes `entries`.
        prev: Position,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's round, which the reply echoes.
        round: u64,
    },
    /// Answers [`Message::Append`] once the entries are synced.
    AppendReply {
        /// The follower's term.
        term: u64,
        /// The round of the message that is answered.
        round: u64,
        /// The highest index known to match the leader's log, or `None` if the
        /// preceding position did not match.
        matched: Option<u64>,
        /// The index after which the leader should retry when `matched` is `None`.
        hint: u64,
    },
    /// Sends a chunk of a snapshot.
    Install {
        /// The leader's term.
        term: u64,
        /// The leader's round, which the reply echoes.
        round: u64,
        /// The chunk.
        chunk: SnapshotChunk,
    },
    /// Answers [`Message::Install`].
    InstallReply {
        /// The follower's term.
        term: u64,
        /// The round of the message that is answered.
        round: u64,
        /// The index of the snapshot that is being received.
        index: u64,
        /// The number of bytes received so far.
        received: usize,
    },
    /// Tells a follower to start an election immediately, because the leader of
    /// `term` released its lease.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// Asks the leader to add a replica as a learner.
    ///
    /// Followers forward it, because the settings of the replica may not list
    /// the leader's host.
    Join {
        /// The replica that joins.
        id: ReplicaId,
        /// Its host.
        host: Name,
        /// The address on which it receives messages.
        address: SocketAddr,
        /// The deployment that its disk belongs to, if known.
        #[serde(default)]
        deployment: Option<DeploymentId>,
        /// The last entry that it knows to be committed; `None` if its disk is empty.
        #[serde(default)]
        commit: Option<Position>,
    },
    /// Asks a host to promise its empty disk to the sender, so that it becomes
    /// one of the first voters.
    #[serde(rename = "census")]
    Bootstrap {
        /// The hosts of the first voters in the sender's settings.
        voters: Vec<Name>,
        /// Whether the sender was started as part of the first start of the
        /// deployment; `false` in messages of older builds, which do not know.
        #[serde(default)]
        first_start: bool,
    },
    /// Answers [`Message::Bootstrap`].
    #[serde(rename = "census_reply")]
    BootstrapReply {
        /// The replying host.
        host: Name,
        /// The address on which it receives messages.
        address: SocketAddr,
        /// The answer.
        #[serde(rename = "census")]
        answer: BootstrapAnswer,
    },
    /// Announces the first members to the replicas that promised their disks.
    #[serde(rename = "found")]
    Bootstrapped {
        /// The first members.
        members: Arc<Membership>,
    },
}

impl Message {
    /// Returns the approximate size of the entries or snapshot data in the message,
    /// in bytes.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Self::Append { entries, .. } => entries.iter().map(|e| e.payload.size()).sum(),
            Self::Install { chunk, .. } => chunk.data.len(),
            _ => 0,
        }
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The address on which the sender receives replies.
    pub address: SocketAddr,
    /// The receiver, or `None` if the sender knows only its address.
    pub to: Option<ReplicaId>,
    /// The deployment that the sender belongs to; `None` if it has not been admitted
    /// or runs an older build.
    #[serde(default)]
    pub deployment: Option<DeploymentId>,
    /// The message.
    pub message: Message,
}
