use crate::{
    ControllerHandle, ControllerSettings,
    budgets::Budgets,
    call::{Answer, Call},
    core::Core,
    measure::measure,
    service::ControlService,
    writer,
};
use sequoiawing_consensus::{
    DiskStorage, LogStorage, ReplicaId, ReplicaSettings, StorageError, StorageLimits,
};
use sequoiawing_link::{Control, LinkListener, Secret, connection_handler};
use sequoiawing_runtime::{Clock, Shutdown, Watch, sleep, spawn, timeout};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// The calls that may wait for the core.
const MAX_CALLS: usize = 4_096;

/// How long a start waits for the only voter of a deployment to lead.
const START_LIMIT: Duration = Duration::from_secs(5);

/// How long a stop waits for what is open and for a successor.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// How long answers may take to reach their callers before connections close.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// A storage and the identity of its disk.
pub struct StoragePlace {
    /// The identity.
    pub id: ReplicaId,
    /// The storage.
    pub storage: Box<dyn LogStorage>,
}

impl StoragePlace {
    fn open(settings: &ControllerSettings) -> Result<Self, StorageError> {
        let fresh = ReplicaId(rand::random());
        let storage = DiskStorage::open(&settings.data, fresh, StorageLimits::default())?;
        let id = storage.id();
        let storage = Box::new(storage);
        Ok(Self { id, storage })
    }
}

/// A running controller.
pub struct Controller {
    shutdown: Shutdown,
    link: SocketAddr,
    handle: ControllerHandle,
}

impl Controller {
    /// Starts a controller on its data folder.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is taken, or when the data folder is
    /// in use, cannot be read or is damaged.
    pub async fn start(settings: ControllerSettings) -> io::Result<Self> {
        let place = StoragePlace::open(&settings).map_err(io::Error::other)?;
        Self::start_on(settings, place).await
    }

    /// Starts a controller on a storage of the caller's.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is taken or the storage fails.
    pub async fn start_on(
        settings: ControllerSettings,
        mut place: StoragePlace,
    ) -> io::Result<Self> {
        let shutdown = Shutdown::new();
        let secret = Secret::from(settings.secret.as_str());
        let listener = LinkListener::bind(settings.link, secret).await?;
        let link = listener.address()?;
        let loaded = place.storage.load().map_err(io::Error::other)?;
        let (report_sender, reports) = async_channel::unbounded();
        let jobs = writer::start(place.storage, report_sender)?;
        let (call_sender, calls) = async_channel::bounded(MAX_CALLS);
        let handle = ControllerHandle {
            calls: call_sender,
            published: Watch::default(),
            status: Watch::default(),
            leadership: Watch::new(None),
            clock: Clock::start(),
            fresh_at: Arc::default(),
        };
        let mut replica = ReplicaSettings::new(place.id, settings.host.clone(), link);
        replica.replace_after = settings.replace.map(Duration::from_millis);
        replica.target_voters = settings.grow;
        replica.voters = settings.voters.iter().map(|v| v.host.clone()).collect();
        let core = Core::new(&settings, replica, loaded, &handle, jobs, shutdown.clone());
        spawn(core.run(calls, reports, shutdown.clone())).detach();
        let measuring = measure(settings.clone(), handle.clone(), shutdown.clone());
        spawn(measuring).detach();
        let service = ControlService {
            handle: handle.clone(),
            budgets: Budgets::start(handle.clone(), shutdown.clone()),
        };
        spawn(listener.serve(connection_handler!(service.serve()), shutdown.clone())).detach();
        log::info!(target: "controller", "Serving routers and operators at {link}.");
        let controller = Self {
            shutdown,
            link,
            handle,
        };
        if settings.voters.is_empty() {
            controller.wait_until_leading().await;
        }
        Ok(controller)
    }

    async fn wait_until_leading(&self) {
        let leadership = &self.handle.leadership;
        let leads = leadership.wait_until(Option::is_some);
        if timeout(START_LIMIT, leads).await.is_none() {
            log::warn!(target: "controller", "The only voter does not lead yet.");
        }
    }

    /// Returns where other processes and operators connect.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns how other parts of the process use the log and tables.
    pub fn handle(&self) -> ControllerHandle {
        self.handle.clone()
    }

    /// Answers what is open, hands leadership over and stops.
    pub async fn stop(self) {
        let (answer, done) = Answer::channel();
        let retire = async {
            self.handle.calls.send(Call::Retire { answer }).await.ok();
            done.recv().await.ok()
        };
        if timeout(STOP_LIMIT, retire).await.is_none() {
            log::warn!(target: "controller", "Stopping without a successor.");
        }
        sleep(ANSWER_GRACE).await;
        self.shutdown.start();
    }
}
