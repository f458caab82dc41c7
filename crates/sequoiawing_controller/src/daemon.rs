use crate::{
    ControllerHandle, ControllerSettings,
    budgets::Budgets,
    core::Core,
    metrics::report_metrics,
    request::{ReplySender, Request},
    service::ControlService,
    writer,
};
use sequoiawing_consensus::{
    DiskStorage, LogStorage, ReplicaId, ReplicaSettings, StorageError, StorageLimits,
};
use sequoiawing_link::{Control, LinkListener, Secret, connection_handler};
use sequoiawing_runtime::{Clock, Shutdown, Watch, sleep, spawn, timeout};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// The maximum number of requests queued for the core.
const MAX_REQUESTS: usize = 4_096;

/// How long startup waits for the only voter of a deployment to become leader.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// How long shutdown waits for pending requests and for a new leader.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long replies may take to reach their callers before connections close.
const REPLY_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// A log storage and the ID of the replica that it belongs to.
pub struct ReplicaStorage {
    /// The ID of the replica.
    pub id: ReplicaId,
    /// The log storage.
    pub log: Box<dyn LogStorage>,
}

impl ReplicaStorage {
    fn open(settings: &ControllerSettings) -> Result<Self, StorageError> {
        let new_id = ReplicaId(rand::random());
        let storage = DiskStorage::open(&settings.data, new_id, StorageLimits::default())?;
        let id = storage.id();
        let log = Box::new(storage);
        Ok(Self { id, log })
    }
}

/// A running controller.
pub struct Controller {
    shutdown: Shutdown,
    link: SocketAddr,
    handle: ControllerHandle,
}

impl Controller {
    /// Starts a controller that stores its log in the data folder of `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use, or if the data folder is locked,
    /// unreadable or corrupted.
    pub async fn start(settings: ControllerSettings) -> io::Result<Self> {
        let storage = ReplicaStorage::open(&settings).map_err(io::Error::other)?;
        Self::start_with_storage(settings, storage).await
    }

    /// Starts a controller with the given storage.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or the storage fails.
    pub async fn start_with_storage(
        settings: ControllerSettings,
        mut storage: ReplicaStorage,
    ) -> io::Result<Self> {
        let shutdown = Shutdown::new();
        let secret = Secret::from(settings.secret.as_str());
        let listener = LinkListener::bind(settings.link, secret).await?;
        let link = listener.address()?;
        let loaded = storage.log.load().map_err(io::Error::other)?;
        let (event_sender, events) = async_channel::unbounded();
        let jobs = writer::start(storage.log, event_sender)?;
        let (request_sender, requests) = async_channel::bounded(MAX_REQUESTS);
        let handle = ControllerHandle {
            requests: request_sender,
            published: Watch::default(),
            departures: Watch::default(),
            status: Watch::default(),
            leadership: Watch::new(None),
            clock: Clock::start(),
            verified_at: Arc::default(),
        };
        let mut replica = ReplicaSettings::new(storage.id, settings.host.clone(), link);
        replica.replace_after = settings.replace.map(Duration::from_millis);
        replica.target_voters = settings.grow;
        replica.may_bootstrap = settings.bootstrap;
        replica.voters = settings.voters.iter().map(|v| v.host.clone()).collect();
        let core = Core::new(&settings, replica, loaded, &handle, jobs, shutdown.clone());
        spawn(core.run(requests, events, shutdown.clone())).detach();
        let reporting = report_metrics(settings.clone(), handle.clone(), shutdown.clone());
        spawn(reporting).detach();
        let service = ControlService {
            handle: handle.clone(),
            budgets: Budgets::start(handle.clone(), shutdown.clone()),
        };
        spawn(listener.serve(connection_handler!(service.serve()), shutdown.clone())).detach();
        log::info!(target: "controller", "Listening for routers and operators at {link}.");
        let controller = Self {
            shutdown,
            link,
            handle,
        };
        if settings.voters.is_empty() && settings.bootstrap {
            controller.wait_until_leading().await;
        }
        Ok(controller)
    }

    async fn wait_until_leading(&self) {
        let leadership = &self.handle.leadership;
        let leading = leadership.wait_until(Option::is_some);
        if timeout(START_TIMEOUT, leading).await.is_none() {
            log::warn!(target: "controller", "The only voter has not become leader within {START_TIMEOUT:?}.");
        }
    }

    /// Returns the address to which other processes and operators connect.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns a handle to the log and tables.
    pub fn handle(&self) -> ControllerHandle {
        self.handle.clone()
    }

    /// Completes pending requests, transfers leadership and stops.
    ///
    /// Stops without a new leader if the transfer takes longer than 5 seconds.
    pub async fn stop(self) {
        let (reply, done) = ReplySender::channel();
        let hand_over = async {
            self.handle
                .requests
                .send(Request::Shutdown { reply })
                .await
                .ok();
            done.recv().await.ok()
        };
        if timeout(STOP_TIMEOUT, hand_over).await.is_none() {
            log::warn!(target: "controller", "Leadership was not transferred within {STOP_TIMEOUT:?}; stopping anyway.");
        }
        sleep(REPLY_GRACE_PERIOD).await;
        self.shutdown.start();
    }
}
