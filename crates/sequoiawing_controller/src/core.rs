use crate::{
    ControllerHandle, ControllerSettings, Leadership,
    applied::Applied,
    call::{Answer, Call, Caller, Report},
    outbox::Outbox,
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
use sequoiawing_types::{Name, Time};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::atomic::Ordering,
    time::Duration,
};

/// How often the replica is told that time has passed.
const TICK: Duration = Duration::from_millis(20);

/// How long the controller waits before it tries a failed storage again.
const RELOAD_PAUSE: Duration = Duration::from_secs(1);

/// The calls and reports that are taken in before what follows from them is
/// shown.
const MAX_BATCH: usize = 1_024;

/// How far a lease must move on before those who watch it are told.
const LEASE_STEP: Duration = Duration::from_millis(50);

/// A message that waits until a write is on the disk.
struct Held {
    after: u64,
    to: ReplicaId,
    message: Message,
}

/// Drives one replica: feeds it calls, reports and time, and carries out what it
/// wants.
pub(crate) struct Core {
    settings: ReplicaSettings,
    hosts: HashMap<Name, SocketAddr>,
    /// Where replicas that sent something take messages.
    senders: HashMap<ReplicaId, SocketAddr>,
    clock: Clock,
    replica: Replica,
    applied: Applied,
    handle: ControllerHandle,
    jobs: Sender<Job>,
    outbox: Outbox,
    persisted: u64,
    held: VecDeque<Held>,
    callers: HashMap<Token, Caller>,
    next_token: Token,
    proposals: Vec<Proposal>,
    failure: Option<Failure>,
    retiring: Option<Answer<()>>,
    is_retiring: bool,
}

/// A storage that failed.
struct Failure {
    problem: String,
    /// When it is tried again, unless it must not be.
    retry: Option<Time>,
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
            senders: HashMap::new(),
            clock,
            replica: started,
            applied: Applied::new(handle.published.clone()),
            handle: handle.clone(),
            jobs,
            outbox: Outbox::new(secret, translations, shutdown),
            persisted: 0,
            held: VecDeque::new(),
            callers: HashMap::new(),
            next_token: 1,
            proposals: Vec::new(),
            failure: None,
            retiring: None,
            is_retiring: false,
        };
        core.carry_out(out);
        core.show();
        let revision = core.applied.tables().revision;
        log::info!(target: "controller", "Tables {revision} are applied.");
        core
    }

    /// Runs until shutdown starts.
    pub(crate) async fn run(
        mut self,
        calls: Receiver<Call>,
        reports: Receiver<Report>,
        shutdown: Shutdown,
    ) {
        let mut next_tick = self.clock.elapsed();
        while !shutdown.is_started() {
            let pause = next_tick.saturating_sub(self.clock.elapsed());
            let call = async { calls.recv().await.ok().map(Input::Call) };
            let report = async { reports.recv().await.ok().map(Input::Report) };
            let tick = async {
                sleep(pause).await;
                None
            };
            let first = report.or(call).or(tick).await;
            self.take(first, &calls, &reports);
            if self.clock.elapsed() >= next_tick {
                next_tick = self.clock.elapsed() + TICK;
                self.tick();
            }
            self.show();
        }
    }

    /// Takes in what waits, proposals together.
    fn take(&mut self, first: Option<Input>, calls: &Receiver<Call>, reports: &Receiver<Report>) {
        let waiting = std::iter::from_fn(|| {
            let report = reports.try_recv().ok().map(Input::Report);
            report.or_else(|| calls.try_recv().ok().map(Input::Call))
        });
        for input in first.into_iter().chain(waiting.take(MAX_BATCH)) {
            match input {
                Input::Call(call) => self.call(call),
                Input::Report(report) => self.report(report),
            }
        }
        self.propose_waiting();
    }

    fn propose_waiting(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.tell(Event::Propose(proposals));
        }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.replica.handle(now(self.clock), event, &mut out);
        self.carry_out(out);
    }

    fn call(&mut self, call: Call) {
        match call {
            Call::Propose { command, answer } => {
                if let Some(token) = self.register(Caller::Propose(answer)) {
                    self.proposals.push(Proposal { token, command });
                }
            }
            Call::Read { answer } => {
                if let Some(token) = self.register(Caller::Read(answer)) {
                    self.tell(Event::Read(token));
                }
            }
            Call::Change { change, answer } => {
                if let Some(token) = self.register(Caller::Change(answer)) {
                    self.tell(Event::ChangeMembers { token, change });
                }
            }
            Call::Deliver(messages) => {
                for envelope in messages {
                    self.receive(envelope);
                }
            }
            Call::Retire { answer } => {
                self.is_retiring = true;
                self.retiring = Some(answer);
                self.propose_waiting();
                self.tell(Event::Shutdown);
            }
        }
    }

    /// Keeps a caller until there is an answer; a failed storage has none.
    fn register(&mut self, caller: Caller) -> Option<Token> {
        if let Some(failure) = &self.failure {
            caller.fail(ControlError::Storage(failure.problem.clone()));
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.callers.insert(token, caller);
        Some(token)
    }

    fn receive(&mut self, envelope: Envelope) {
        let is_here = envelope.to.is_none_or(|to| to == self.replica.id());
        if !is_here || self.failure.is_some() {
            return;
        }
        let from = envelope.from;
        self.senders.insert(from, envelope.address);
        let message = envelope.message;
        self.tell(Event::Receive { from, message });
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::Persisted(seq) if self.failure.is_none() => {
                self.persisted = seq;
                self.release();
                self.tell(Event::Persisted(seq));
            }
            Report::Encoded { index, data } if self.failure.is_none() => {
                self.tell(Event::SnapshotTaken { index, data });
            }
            Report::Failed(error) => self.fail(&error),
            Report::Loaded(loaded) => self.restart(loaded),
            Report::Persisted(_) | Report::Encoded { .. } => {}
        }
    }

    /// Sends what waited for the disk.
    fn release(&mut self) {
        let persisted = self.persisted;
        while let Some(held) = self.held.pop_front_if(|h| h.after <= persisted) {
            self.send(held.to, held.message);
        }
    }

    fn tick(&mut self) {
        let Some(failure) = &mut self.failure else {
            self.tell(Event::Tick);
            return;
        };
        if failure.retry.is_some_and(|at| now(self.clock) >= at) {
            failure.retry = None;
            self.jobs.try_send(Job::Load).ok();
        }
    }

    /// Stops taking part: what the replica holds in memory may not be on the
    /// disk.
    fn fail(&mut self, error: &StorageError) {
        log::error!(target: "controller", "The log cannot be written: {error}.");
        self.held.clear();
        let problem = error.to_string();
        for (_, caller) in self.callers.drain() {
            caller.fail(ControlError::Uncertain);
        }
        for proposal in self.proposals.drain(..) {
            log::debug!(target: "controller", "Proposal {} is given up.", proposal.token);
        }
        let retry = error.is_transient().then(|| now(self.clock) + RELOAD_PAUSE);
        self.failure = Some(Failure { problem, retry });
    }

    /// Starts the replica again from what the disk holds.
    fn restart(&mut self, loaded: Result<Loaded, StorageError>) {
        let loaded = match loaded {
            Ok(loaded) => loaded,
            Err(error) => return self.fail(&error),
        };
        log::info!(target: "controller", "The log is readable again.");
        let mut out = Vec::new();
        let settings = self.settings.clone();
        self.replica = Replica::start(settings, loaded, now(self.clock), &mut out);
        self.applied.reset();
        self.persisted = 0;
        self.failure = None;
        self.carry_out(out);
        if self.is_retiring {
            self.tell(Event::Shutdown);
        }
    }

    fn carry_out(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Persist { seq, write } => {
                    self.jobs.try_send(Job::Write { seq, write }).ok();
                }
                Action::Send { to, message, after } if after <= self.persisted => {
                    self.send(to, message);
                }
                Action::Send { to, message, after } => {
                    self.held.push_back(Held { after, to, message });
                }
                Action::SendToHost { host, message } => self.contact(&host, message),
                Action::Apply { entry, token } => self.apply(&entry, token),
                Action::Restore(snapshot) => self.applied.restore(&snapshot),
                Action::TakeSnapshot => {
                    let index = self.replica.applied();
                    let tables = Box::new(self.applied.tables().clone());
                    self.jobs.try_send(Job::Encode { index, tables }).ok();
                }
                Action::ReadReady(token) => {
                    if let Some(Caller::Read(answer)) = self.callers.remove(&token) {
                        answer.send(Ok(self.applied.tables().clone()));
                    }
                }
                Action::Refuse { token, refusal } => {
                    let leader = self.leader_address();
                    if let Some(caller) = self.callers.remove(&token) {
                        caller.refuse(refusal, leader);
                    }
                }
            }
        }
    }

    fn apply(&mut self, entry: &Entry, token: Option<Token>) {
        let outcome = match &entry.payload {
            Payload::Command(command) => self.applied.apply(command),
            Payload::Empty | Payload::Members(_) => None,
        };
        let caller = token.and_then(|token| self.callers.remove(&token));
        match (caller, outcome) {
            (Some(Caller::Propose(answer)), Some(outcome)) => answer.send(Ok(outcome)),
            (Some(Caller::Change(answer)), _) => answer.send(Ok(())),
            (Some(caller), _) => caller.fail(ControlError::Uncertain),
            (None, _) => {}
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        let member = self.replica.membership().member(to).map(|m| m.address);
        let known = self.senders.get(&to).copied();
        if let Some(address) = known.or(member) {
            self.post(address, Some(to), message);
        }
    }

    fn contact(&mut self, host: &Name, message: Message) {
        if let Some(address) = self.hosts.get(host).copied() {
            self.post(address, None, message);
        }
    }

    fn post(&mut self, address: SocketAddr, to: Option<ReplicaId>, message: Message) {
        let envelope = Envelope {
            from: self.replica.id(),
            address: self.settings.address,
            to,
            message,
        };
        self.outbox.send(address, envelope);
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.replica.leader()?;
        self.replica.membership().member(leader).map(|m| m.address)
    }

    /// Shows others what has changed.
    fn show(&mut self) {
        self.applied.publish();
        self.show_leadership();
        self.show_freshness();
        let status = self.status();
        if status != self.handle.status.get() {
            let role = &status.role;
            if *role != self.handle.status.get().role {
                log::info!(target: "controller", "Now {role} in term {}.", status.term);
            }
            self.handle.status.set(status);
        }
        let is_free = self.replica.role() != RoleName::Leader || self.is_idle_alone();
        if (is_free || self.failure.is_some())
            && let Some(answer) = self.retiring.take()
        {
            answer.send(());
        }
    }

    fn is_idle_alone(&self) -> bool {
        self.replica.membership().voters().count() == 1 && self.callers.is_empty()
    }

    fn show_leadership(&self) {
        let lease = self.replica.lease(now(self.clock));
        let lease = lease.filter(|_| self.failure.is_none());
        let next = lease.map(|until| Leadership {
            term: self.replica.term(),
            until: until - Time::ZERO,
            clock: self.clock,
        });
        let shown = self.handle.leadership.get();
        let has_changed = match (&shown, &next) {
            (Some(shown), Some(next)) => {
                shown.term != next.term || next.until >= shown.until + LEASE_STEP
            }
            (None, None) => false,
            _ => true,
        };
        if has_changed {
            self.handle.leadership.set(next);
        }
    }

    fn show_freshness(&self) {
        let in_touch = self.replica.last_contact(now(self.clock));
        if let Some(at) = in_touch.filter(|_| self.failure.is_none()) {
            self.handle
                .fresh_at
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
            revision: self.applied.tables().revision,
            leader: self.leader_address(),
            members: replica.membership().members.clone(),
            disk,
            obstacles: obstacles.map(|(h, c)| format!("{h}: {c:?}")).collect(),
        }
    }
}

enum Input {
    Call(Call),
    Report(Report),
}

fn now(clock: Clock) -> Time {
    Time::ZERO + clock.elapsed()
}
