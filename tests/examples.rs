//! Checks the example deployments under `examples/`.

use sequoiawing::{
    controller::ControllerSettings,
    ctl::{Deployment, Host, TableFile, read_tables},
    router::RouterSettings,
    settings::{Check, read_file},
    standin::{EngineSettings, ServiceSettings},
    tables::PoolKind,
};
use serde::de::DeserializeOwned;
use std::{
    fs,
    path::{Path, PathBuf},
};

struct Example {
    folder: PathBuf,
    tables: TableFile,
    deployment: Deployment,
    routers: Vec<RouterSettings>,
    controllers: Vec<ControllerSettings>,
}

impl Example {
    fn read(name: &str) -> Self {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(name);
        let tables = read_tables(&folder.join("tables.json")).expect("the tables are valid");
        Self {
            tables,
            deployment: settings(&folder.join("deployment.json")),
            routers: read_all(&folder.join("routers")),
            controllers: read_all(&folder.join("controllers")),
            folder,
        }
    }

    /// Returns the settings of the upstreams of one pool.
    fn upstreams<S>(&self, pool: &str) -> Vec<S>
    where
        S: Check + DeserializeOwned,
    {
        let files = files(&self.folder.join("upstreams")).into_iter();
        let named = |f: &PathBuf| {
            f.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with(pool))
        };
        files.filter(named).map(|f| settings(&f)).collect()
    }

    fn models(&self) -> usize {
        self.tables.pools.iter().map(|p| p.models.len()).sum()
    }

    fn adapters(&self) -> usize {
        let models = self.tables.pools.iter().flat_map(|p| &p.models);
        models.map(|m| m.adapters.len()).sum()
    }
}

fn settings<S>(file: &Path) -> S
where
    S: Check + DeserializeOwned,
{
    read_file(file).unwrap_or_else(|findings| panic!("{findings}"))
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let mut files: Vec<PathBuf> = entries
        .map(|e| e.expect("the entry is readable").path())
        .collect();
    files.sort();
    files
}

fn read_all<S>(folder: &Path) -> Vec<S>
where
    S: Check + DeserializeOwned,
{
    files(folder).iter().map(|f| settings(f)).collect()
}

/// The specified size of an example deployment.
struct ExpectedSize {
    centres: usize,
    runners: usize,
    services: usize,
    models: usize,
    adapters: usize,
}

fn check(name: &str, size: &ExpectedSize) {
    let example = Example::read(name);
    let findings = example.tables.check("tables.json");
    assert!(findings.is_empty(), "{findings}");
    assert_eq!(example.routers.len(), 6);
    assert_eq!(example.tables.customers.len(), 5);
    assert_eq!(example.models(), size.models);
    assert_eq!(example.adapters(), size.adapters);
    let mut centres: Vec<_> = example.routers.iter().map(|r| &r.centre).collect();
    centres.dedup();
    assert_eq!(centres.len(), size.centres);
    check_upstreams(&example, size);
    check_deployment(&example);
}

fn check_upstreams(example: &Example, size: &ExpectedSize) {
    let (runners, services): (Vec<_>, Vec<_>) = example
        .tables
        .pools
        .iter()
        .partition(|p| p.kind == PoolKind::Runners);
    let engines: Vec<EngineSettings> = example.upstreams(runners[0].name.as_str());
    let plain: Vec<ServiceSettings> = example.upstreams(services[0].name.as_str());
    assert_eq!((engines.len(), plain.len()), (size.runners, size.services));
    let announced = engines.iter().map(|e| (&e.centre, &e.routers));
    for (centre, routers) in announced.chain(plain.iter().map(|s| (&s.centre, &s.routers))) {
        let local = example.routers.iter().filter(|r| r.centre == *centre);
        let local: Vec<_> = local.map(|r| r.upstreams).collect();
        assert_eq!(
            *routers, local,
            "an upstream announces itself to the routers of its data centre"
        );
    }
}

fn check_deployment(example: &Example) {
    let to_host = |host, centre, address| Host {
        host,
        centre,
        address,
    };
    let routers = example.routers.iter();
    let routers: Vec<Host> = routers
        .map(|r| to_host(r.host.clone(), r.centre.clone(), r.link))
        .collect();
    let controllers = example.controllers.iter();
    let controllers: Vec<Host> = controllers
        .map(|c| to_host(c.host.clone(), c.centre.clone(), c.link))
        .collect();
    assert_eq!(example.deployment.routers, routers);
    assert_eq!(example.deployment.controllers, controllers);
    for router in &example.routers {
        let links: Vec<_> = controllers.iter().map(|c| c.address).collect();
        assert_eq!(router.controllers, links);
        assert_eq!(router.secret, example.deployment.secret);
        assert_eq!(router.peers.len(), 5);
    }
}

#[test]
fn inkveld_has_the_specified_size() {
    check(
        "inkveld",
        &ExpectedSize {
            centres: 3,
            runners: 10,
            services: 3,
            models: 50,
            adapters: 40,
        },
    );
}

#[test]
fn kommentarwerk_has_the_specified_size() {
    check(
        "kommentarwerk",
        &ExpectedSize {
            centres: 4,
            runners: 20,
            services: 4,
            models: 100,
            adapters: 100,
        },
    );
}
