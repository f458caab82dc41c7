use crate::{
    ControllerHandle, ControllerSettings, Leadership,
    request::{PendingRequest, ReplySender, Request, StorageEvent},
    state_machine::StateMachine,
    transport::Transport,
    writer::Job,
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use sequoiawing_consensus::{
    Action, Entry, Envelope, Event, Loaded, Message, Payload, Proposal, Replica, ReplicaId,
    ReplicaSettings, RoleName, StorageError, Token,
};
use sequoiawing_link::{ControlError, ControlStatus, Secret, Translations};
use sequoiawing_runtime::{Clock, Shutdown, sleep};
use sequoiawing_tables::Outcome;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::atomic::Ordering,
    time::Duration,
};

/// How often the replica gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The delay before a failed storage is loaded again.
const RELOAD_DELAY: Duration = Duration::from_secs(1);

/// The interval between join requests to senders of messages for a former replica.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between log lines about messages of other deployments.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The maximum number of queued inputs handled before the resulting state is
/// published.
const MAX_BATCH: usize = 1_024;

/// The minimum extension of a lease that is published to its watchers.
const MIN_LEASE_EXTENSION: Duration = Duration::from_millis(50);

/// A message that must not be sent before a write is durable.
struct DeferredMessage {
    after: u64,
    to: ReplicaId,
    message: Message,
}

/// Drives one replica: passes it requests, storage events and ticks, and runs the
/// actions that it returns.
pub(crate) struct Core {
    settings: ReplicaSettings,
    hosts: HashMap<Name, SocketAddr>,
    /// The addresses given in the latest messages from replicas.
    peer_addresses: HashMap<ReplicaId, SocketAddr>,
    clock: Clock,
    replica: Replica,
    state_machine: StateMachine,
    handle: ControllerHandle,
    jobs: Sender<Job>,
    transport: Transport,
    /// When the sender of a message for a former replica was last asked to admit
    /// this one.
    asked_at: Option<Time>,
    /// When a message of another deployment was last logged.
    refused_at: Option<Time>,
    persisted: u64,
    deferred: VecDeque<DeferredMessage>,
    pending: HashMap<Token, PendingRequest>,
    /// The requests whose entries were applied and not published yet.
    applied: Vec<(PendingRequest, Option<Outcome>)>,
    next_token: Token,
    proposals: Vec<Proposal>,
    failure: Option<StorageFailure>,
    shutdown_reply: Option<ReplySender<()>>,
    is_shutting_down: bool,
}

/// A failure of the storage.
struct StorageFailure {
    problem: String,
    /// When the storage is loaded again; `None` if the failure is permanent or the
    /// storage is being loaded.
    reload_at: Option<Time>,
}

impl Core {
    pub(crate) fn new(
        settings: &ControllerSettings,
        replica: ReplicaSettings,
        loaded: Loaded,
        handle: &ControllerHandle,
        jobs: Sender<Job>,
        shutdown: Shutdown,
    ) -> Self {
        let secret = Secret::from(settings.secret.as_str());
        let translations = Translations::new(&settings.translations);
        let voters = settings.voters.iter();
        let clock = handle.clock;
        let mut out = Vec::new();
        let started = Replica::start(replica.clone(), loaded, now(clock), &mut out);
        let mut core = Self {
            settings: replica,
            hosts: voters.map(|v| (v.host.clone(), v.address)).collect(),
            peer_addresses: HashMap::new(),
            clock,
            replica: started,
            state_machine: StateMachine::new(handle.published.clone(), handle.departures.clone()),
            handle: handle.clone(),
            jobs,
            transport: Transport::new(secret, translations, shutdown),
            asked_at: None,
            refused_at: None,
            persisted: 0,
            deferred: VecDeque::new(),
            pending: HashMap::new(),
            applied: Vec::new(),
            next_token: 1,
            proposals: Vec::new(),
            failure: None,
            shutdown_reply: None,
            is_shutting_down: false,
        };
        core.run_actions(out);
        core.publish();
        let revision = core.state_machine.tables().revision;
        log::info!(target: "controller", "Started with tables at {revision}.");
        core
    }

    /// Runs until shutdown starts.
    pub(crate) async fn run(
        mut self,
        requests: Receiver<Request>,
        storage_events: Receiver<StorageEvent>,
        shutdown: Shutdown,
    ) {
        let mut next_tick = self.clock.elapsed();
        while !shutdown.is_started() {
            let pause = next_tick.saturating_sub(self.clock.elapsed());
            let request = async { requests.recv().await.ok().map(Input::Request) };
            let storage_event = async { storage_events.recv().await.ok().map(Input::Storage) };
            let tick = async {
                sleep(pause).await;
                None
            };
            let first = storage_event.or(request).or(tick).await;
            self.handle_inputs(first, &requests, &storage_events);
            if self.clock.elapsed() >= next_tick {
                next_tick = self.clock.elapsed() + TICK_INTERVAL;
                self.tick();
            }
            self.publish();
        }
    }

    /// Handles the queued inputs and proposes their commands in one batch.
    fn handle_inputs(
        &mut self,
        first: Option<Input>,
        requests: &Receiver<Request>,
        storage_events: &Receiver<StorageEvent>,
    ) {
        let queued = std::iter::from_fn(|| {
            let event = storage_events.try_recv().ok().map(Input::Storage);
            event.or_else(|| requests.try_recv().ok().map(Input::Request))
        });
        for input in first.into_iter().chain(queued.take(MAX_BATCH)) {
            match input {
                Input::Request(request) => self.handle_request(request),
                Input::Storage(event) => self.handle_storage_event(event),
            }
        }
        self.flush_proposals();
    }

    fn flush_proposals(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.step_replica(Event::Propose(proposals));
        }
    }

    fn step_replica(&mut self, event: Event) {
        let mut out = Vec::new();
        self.replica.handle(now(self.clock), event, &mut out);
        self.run_actions(out);
    }

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Propose { command, reply } => {
                if let Some(token) = self.register(PendingRequest::Propose(reply)) {
                    self.proposals.push(Proposal { token, command });
                }
            }
            Request::Read { reply } => {
                if let Some(token) = self.register(PendingRequest::Read(reply)) {
                    self.step_replica(Event::Read(token));
                }
            }
            Request::ChangeMembers { change, reply } => {
                if let Some(token) = self.register(PendingRequest::ChangeMembers(reply)) {
                    self.step_replica(Event::ChangeMembers { token, change });
                }
            }
            Request::Deliver(messages) => {
                for envelope in messages {
                    self.receive(envelope);
                }
            }
            Request::Shutdown { reply } => {
                self.is_shutting_down = true;
                self.shutdown_reply = Some(reply);
                self.flush_proposals();
                self.step_replica(Event::Shutdown);
            }
        }
    }

    /// Registers a pending request, or fails it at once if the storage has failed.
    fn register(&mut self, request: PendingRequest) -> Option<Token> {
        if let Some(failure) = &self.failure {
            request.fail(ControlError::Storage(failure.problem.clone()));
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, request);
        Some(token)
    }

    fn receive(&mut self, envelope: Envelope) {
        let is_addressee = envelope.to.is_none_or(|to| to == self.replica.id());
        if self.failure.is_some() {
            return;
        }
        if !is_addressee {
            self.ask_to_join(&envelope);
            return;
        }
        let from = envelope.from;
        if !self
            .replica
            .accepts(from, envelope.deployment, &envelope.message)
        {
            self.log_refused(&envelope);
            return;
        }
        self.peer_addresses.insert(from, envelope.address);
        let message = envelope.message;
        self.step_replica(Event::Receive { from, message });
    }

    /// Logs a message of another deployment, at intervals.
    fn log_refused(&mut self, envelope: &Envelope) {
        let now = now(self.clock);
        if self
            .refused_at
            .is_some_and(|at| now - at < REFUSAL_LOG_INTERVAL)
        {
            return;
        }
        self.refused_at = Some(now);
        log::error!(
            target: "controller", sender = envelope.from.to_string(),
            address = envelope.address.to_string(),
            deployment = envelope.deployment.map(|d| d.to_string()),
            own = self.replica.deployment().map(|d| d.to_string());
            "Refused a message of another deployment."
        );
    }

    /// Asks the sender of a message for a former replica of this host to admit this
    /// one.
    ///
    /// The hosts in the settings of a lost disk may themselves be new, so that none
    /// of them belongs to the deployment.
    fn ask_to_join(&mut self, envelope: &Envelope) {
        let now = now(self.clock);
        let is_due = self.asked_at.is_none_or(|at| now - at >= JOIN_INTERVAL);
        if is_due && self.replica.role() == RoleName::Uninitialized {
            self.asked_at = Some(now);
            let message = self.replica.join_request();
            self.send_envelope(envelope.address, Some(envelope.from), message);
        }
    }

    fn handle_storage_event(&mut self, event: StorageEvent) {
        match event {
            StorageEvent::Persisted(seq) if self.failure.is_none() => {
                self.persisted = seq;
                self.send_deferred();
                self.step_replica(Event::Persisted(seq));
            }
            StorageEvent::Encoded { index, data } if self.failure.is_none() => {
                self.step_replica(Event::SnapshotTaken { index, data });
            }
            StorageEvent::Failed(error) => self.fail(&error),
            StorageEvent::Loaded(loaded) => self.restart(loaded),
            StorageEvent::Persisted(_) | StorageEvent::Encoded { .. } => {}
        }
    }

    /// Sends the messages whose writes have become durable.
    fn send_deferred(&mut self) {
        let persisted = self.persisted;
        while let Some(deferred) = self.deferred.pop_front_if(|d| d.after <= persisted) {
            self.send(deferred.to, deferred.message);
        }
    }

    fn tick(&mut self) {
        let Some(failure) = &mut self.failure else {
            self.step_replica(Event::Tick);
            return;
        };
        if failure.reload_at.is_some_and(|at| now(self.clock) >= at) {
            failure.reload_at = None;
            self.jobs.try_send(Job::Load).ok();
        }
    }

    /// Stops the replica, because its state in memory may not be durable.
    fn fail(&mut self, error: &StorageError) {
        log::error!(target: "controller", "The log storage failed: {error}.");
        self.deferred.clear();
        let problem = error.to_string();
        for (_, request) in self.pending.drain() {
            request.fail(ControlError::Uncertain);
        }
        for proposal in self.proposals.drain(..) {
            log::debug!(target: "controller", "Proposal {} was dropped because the log storage failed.", proposal.token);
        }
        let reload_at = error.is_transient().then(|| now(self.clock) + RELOAD_DELAY);
        self.failure = Some(StorageFailure { problem, reload_at });
    }

    /// Restarts the replica from the state on disk.
    fn restart(&mut self, loaded: Result<Loaded, StorageError>) {
        let loaded = match loaded {
            Ok(loaded) => loaded,
            Err(error) => return self.fail(&error),
        };
        log::info!(target: "controller", "The log storage was reloaded after a failure.");
        let mut out = Vec::new();
        let settings = self.settings.clone();
        self.replica = Replica::start(settings, loaded, now(self.clock), &mut out);
        self.state_machine.reset();
        self.persisted = 0;
        self.failure = None;
        self.run_actions(out);
        if self.is_shutting_down {
            self.step_replica(Event::Shutdown);
        }
    }

    fn run_actions(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Persist { seq, write } => {
                    self.jobs.try_send(Job::Write { seq, write }).ok();
                }
                Action::Send { to, message, after } if after <= self.persisted => {
                    self.send(to, message);
                }
                Action::Send { to, message, after } => {
                    self.deferred
                        .push_back(DeferredMessage { after, to, message });
                }
                Action::SendToHost { host, message } => self.send_to_host(&host, message),
                Action::Apply { entry, token } => self.apply(&entry, token),
                Action::Restore(snapshot) => self.state_machine.restore(&snapshot),
                Action::TakeSnapshot => {
                    let index = self.replica.applied();
                    let tables = Box::new(self.state_machine.tables().clone());
                    self.jobs.try_send(Job::Encode { index, tables }).ok();
                }
                Action::ReadReady(token) => {
                    if let Some(PendingRequest::Read(reply)) = self.pending.remove(&token) {
                        reply.send(Ok(self.state_machine.tables().clone()));
                    }
                }
                Action::Refuse { token, refusal } => {
                    let leader = self.leader_address();
                    if let Some(request) = self.pending.remove(&token) {
                        request.refuse(refusal, leader);
                    }
                }
            }
        }
    }

    fn apply(&mut self, entry: &Entry, token: Option<Token>) {
        let outcome = match &entry.payload {
            Payload::Command(command) => self.state_machine.apply(command),
            Payload::Empty | Payload::Members(_) => None,
        };
        let request = token.and_then(|token| self.pending.remove(&token));
        self.applied
            .extend(request.map(|request| (request, outcome)));
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        let member = self.replica.membership().member(to).map(|m| m.address);
        let known = self.peer_addresses.get(&to).copied();
        if let Some(address) = known.or(member) {
            self.send_envelope(address, Some(to), message);
        }
    }

    fn send_to_host(&mut self, host: &Name, message: Message) {
        if let Some(address) = self.hosts.get(host).copied() {
            self.send_envelope(address, None, message);
        }
    }

    fn send_envelope(&mut self, address: SocketAddr, to: Option<ReplicaId>, message: Message) {
        let envelope = Envelope {
            from: self.replica.id(),
            address: self.settings.address,
            to,
            deployment: self.replica.deployment(),
            message,
        };
        self.transport.send(address, envelope);
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.replica.leader()?;
        self.replica.membership().member(leader).map(|m| m.address)
    }

    /// Publishes the tables, the leadership and the status, and completes the requests that
    /// were applied and a pending shutdown.
    ///
    /// Who has a reply finds its change in what this controller publishes.
    fn publish(&mut self) {
        self.state_machine.publish();
        self.publish_leadership();
        self.publish_freshness();
        let status = self.status();
        if status != self.handle.status.get() {
            let role = &status.role;
            if *role != self.handle.status.get().role {
                log::info!(target: "controller", "Role changed to {role} in term {}.", status.term);
            }
            self.handle.status.set(status);
        }
        for (request, outcome) in self.applied.drain(..) {
            request.complete(outcome);
        }
        let can_stop = self.replica.role() != RoleName::Leader || self.is_idle_sole_voter();
        if (can_stop || self.failure.is_some())
            && let Some(reply) = self.shutdown_reply.take()
        {
            reply.send(());
        }
    }

    fn is_idle_sole_voter(&self) -> bool {
        self.replica.membership().voters().count() == 1 && self.pending.is_empty()
    }

    fn publish_leadership(&self) {
        let lease = self.replica.lease(now(self.clock));
        let lease = lease.filter(|_| self.failure.is_none());
        let next = lease.map(|expires_at| Leadership {
            term: self.replica.term(),
            expires_at: expires_at - Time::ZERO,
            clock: self.clock,
        });
        let published = self.handle.leadership.get();
        let has_changed = match (&published, &next) {
            (Some(published), Some(next)) => {
                published.term != next.term
                    || next.expires_at >= published.expires_at + MIN_LEASE_EXTENSION
            }
            (None, None) => false,
            _ => true,
        };
        if has_changed {
            self.handle.leadership.set(next);
        }
    }

    fn publish_freshness(&self) {
        let last_contact = self.replica.last_contact(now(self.clock));
        if let Some(at) = last_contact.filter(|_| self.failure.is_none()) {
            self.handle
                .verified_at
                .store(at.as_micros(), Ordering::Relaxed);
        }
    }

    fn status(&self) -> ControlStatus {
        let replica = &self.replica;
        let role = match &self.failure {
            Some(_) => "failed",
            None => replica.role().as_str(),
        };
        let disk = match &self.failure {
            Some(failure) => failure.problem.clone(),
            None if replica.is_stalled(now(self.clock)) => "slow".to_owned(),
            None => "sound".to_owned(),
        };
        let obstacles = replica.bootstrap_obstacles().into_iter();
        ControlStatus {
            host: self.settings.host.clone(),
            role: role.to_owned(),
            term: replica.term(),
            commit: replica.commit(),
            revision: self.state_machine.tables().revision,
            leader: self.leader_address(),
            members: replica.membership().members.clone(),
            disk,
            obstacles: obstacles.map(|(h, c)| format!("{h}: {c:?}")).collect(),
        }
    }
}

enum Input {
    Request(Request),
    Storage(StorageEvent),
}

fn now(clock: Clock) -> Time {
    Time::ZERO + clock.elapsed()
}
