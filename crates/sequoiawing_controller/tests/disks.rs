//! Tests a controller whose disk is full, fails to sync or hangs.

use sequoiawing_consensus::{
    DiskStorage, Loaded, LogStorage, ReplicaId, StorageError, StorageLimits, Write,
};
use sequoiawing_controller::{Controller, ControllerHandle, ControllerSettings, ReplicaStorage};
use sequoiawing_link::{ControlError, ControlStatus};
use sequoiawing_runtime::{run, sleep, spawn};
use sequoiawing_tables::{Change, Command, Customer, Departure, Outcome};
use sequoiawing_types::{Name, RequestId};
use std::{
    fs, io,
    path::PathBuf,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The simulated state of a disk.
#[derive(Clone, Copy, Eq, PartialEq)]
enum DiskState {
    Healthy,
    Full,
    SyncFails,
    Hangs,
}

/// A folder on a real disk with a simulated state.
#[derive(Clone)]
struct Disk {
    state: Arc<(Mutex<DiskState>, Condvar)>,
    /// The number of writes, each with its sync.
    writes: Arc<AtomicUsize>,
    folder: PathBuf,
}

impl Disk {
    fn new(name: &str) -> Self {
        let name = format!("sequoiawing-disks-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::remove_dir_all(&folder).ok();
        let state = Arc::new((Mutex::new(DiskState::Healthy), Condvar::new()));
        let writes = Arc::default();
        Self {
            state,
            writes,
            folder,
        }
    }

    fn set(&self, state: DiskState) {
        *self.state.0.lock().expect("the mutex is not poisoned") = state;
        self.state.1.notify_all();
    }

    fn open(&self) -> ReplicaStorage {
        let limits = StorageLimits::default();
        let storage = DiskStorage::open(&self.folder, ReplicaId(1), limits);
        let disk = self.clone();
        let inner = storage.expect("the folder can be opened");
        ReplicaStorage {
            id: inner.id(),
            log: Box::new(FaultyStorage { disk, inner }),
        }
    }
}

impl Drop for FaultyStorage {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.disk.folder).ok();
    }
}

struct FaultyStorage {
    disk: Disk,
    inner: DiskStorage,
}

impl LogStorage for FaultyStorage {
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        self.disk.writes.fetch_add(1, Ordering::Relaxed);
        let (state, changed) = &*self.disk.state;
        let state = state.lock().expect("the mutex is not poisoned");
        let hangs = |state: &mut DiskState| *state == DiskState::Hangs;
        let state = changed
            .wait_while(state, hangs)
            .expect("the mutex is not poisoned");
        let file = self.disk.folder.clone();
        match *state {
            DiskState::Full => Err(StorageError::Full { file }),
            DiskState::SyncFails => {
                let source = io::Error::other("injected fault");
                Err(StorageError::Sync { file, source })
            }
            DiskState::Healthy | DiskState::Hangs => self.inner.write(writes),
        }
    }

    fn load(&mut self) -> Result<Loaded, StorageError> {
        self.inner.load()
    }
}

fn edit(name: &str) -> Command {
    Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![Change::PutCustomer(Customer {
            name: Name::from(name),
            ..Customer::default()
        })],
    }
}

async fn start(disk: &Disk) -> Controller {
    let settings = ControllerSettings {
        secret: "secret-of-the-tests".to_owned(),
        ..ControllerSettings::default()
    };
    let started = Controller::start_with_storage(settings, disk.open()).await;
    started.expect("the controller starts")
}

async fn wait_for<F>(handle: &ControllerHandle, condition: F) -> ControlStatus
where
    F: Fn(&ControlStatus) -> bool,
{
    let start = Instant::now();
    loop {
        let status = handle.status();
        if condition(&status) {
            return status;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for the status; last status: {status:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

fn is_accepted(result: &Result<Outcome, ControlError>) -> bool {
    matches!(result, Ok(Outcome::Accepted(_)))
}

#[test]
fn a_full_disk_acknowledges_nothing_and_recovers() {
    run(async {
        let disk = Disk::new("full");
        let controller = start(&disk).await;
        let handle = controller.handle();
        assert!(is_accepted(&handle.propose(&edit("before")).await));
        disk.set(DiskState::Full);
        let result = handle.propose(&edit("during")).await;
        assert_eq!(
            result,
            Err(ControlError::Uncertain),
            "it is unknown whether the command was committed"
        );
        let status = wait_for(&handle, |s| s.role == "failed").await;
        assert!(status.disk.contains("the disk is full"), "{}", status.disk);
        assert!(
            handle.leadership().is_none(),
            "a controller without a working disk must not hold a lease"
        );
        let result = handle.propose(&edit("later")).await;
        assert!(
            matches!(result, Err(ControlError::Storage(_))),
            "{result:?}"
        );
        disk.set(DiskState::Healthy);
        wait_for(&handle, |s| s.role == "leader").await;
        assert!(is_accepted(&handle.propose(&edit("after")).await));
        let tables = handle.read().await.expect("the controller leads");
        assert!(tables.customers.contains_key("before"));
        assert!(tables.customers.contains_key("after"));
        assert!(!tables.customers.contains_key("later"));
        controller.stop().await;
    });
}

#[test]
fn a_controller_stays_failed_after_a_failed_sync() {
    run(async {
        let disk = Disk::new("sync");
        let controller = start(&disk).await;
        let handle = controller.handle();
        disk.set(DiskState::SyncFails);
        let result = handle.propose(&edit("during")).await;
        assert_eq!(result, Err(ControlError::Uncertain));
        disk.set(DiskState::Healthy);
        sleep(Duration::from_secs(2)).await;
        let status = wait_for(&handle, |s| s.role == "failed").await;
        assert!(
            status.disk.contains("could not be synced"),
            "{}",
            status.disk
        );
        controller.stop().await;
    });
}

#[test]
fn a_hanging_disk_ends_leadership_and_is_reported() {
    run(async {
        let disk = Disk::new("hangs");
        let controller = start(&disk).await;
        let handle = controller.handle();
        disk.set(DiskState::Hangs);
        let result = handle.propose(&edit("during")).await;
        assert_eq!(
            result,
            Err(ControlError::Uncertain),
            "it is unknown whether the command was committed"
        );
        wait_for(&handle, |s| s.disk == "slow").await;
        assert!(
            handle.leadership().is_none(),
            "a controller whose disk hangs must not hold a lease"
        );
        let result = handle.propose(&edit("later")).await;
        assert!(
            matches!(result, Err(ControlError::NotLeader { .. })),
            "{result:?}"
        );
        disk.set(DiskState::Healthy);
        wait_for(&handle, |s| s.role == "leader").await;
        assert!(is_accepted(&handle.propose(&edit("after")).await));
        controller.stop().await;
    });
}

#[test]
fn routers_keep_the_tables_while_the_disk_is_full() {
    run(async {
        let disk = Disk::new("published");
        let controller = start(&disk).await;
        let handle = controller.handle();
        assert!(is_accepted(&handle.propose(&edit("before")).await));
        let revision = handle.tables().revision;
        disk.set(DiskState::Full);
        handle
            .propose(&edit("during"))
            .await
            .expect_err("the disk is full");
        disk.set(DiskState::Healthy);
        wait_for(&handle, |s| s.role == "leader").await;
        assert!(
            handle.tables().revision >= revision,
            "published revisions must not decrease"
        );
        controller.stop().await;
    });
}

// Guards against a release of many upstreams that costs a slow disk one sync for each.
#[test]
fn departures_that_wait_for_a_disk_share_its_writes() {
    const DEPARTURES: usize = 500;
    run(async {
        let disk = Disk::new("departures");
        let controller = start(&disk).await;
        let handle = controller.handle();
        assert!(is_accepted(&handle.propose(&edit("before")).await));
        let before = disk.writes.load(Ordering::Relaxed);
        disk.set(DiskState::Hangs);
        let departures = (0..DEPARTURES).map(|i| {
            let handle = handle.clone();
            let command = Command::Depart {
                upstream: Name::from(format!("i-{i}").as_str()),
                departure: Departure::of_start(1),
                now: 0,
            };
            spawn(async move { handle.propose(&command).await })
        });
        let departures: Vec<_> = departures.collect();
        sleep(Duration::from_millis(100)).await;
        disk.set(DiskState::Healthy);
        for departure in departures {
            let outcome = departure.await;
            assert!(matches!(outcome, Ok(Outcome::Departed(_))), "{outcome:?}");
        }
        assert_eq!(handle.departures().len(), DEPARTURES);
        let writes = disk.writes.load(Ordering::Relaxed) - before;
        assert!(writes < DEPARTURES / 10, "{writes} writes");
        controller.stop().await;
    });
}
