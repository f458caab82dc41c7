//! The addresses and settings of a deployment's processes.

use super::{
    addresses::{free_address, free_addresses},
    layout::{Layout, merge},
    network::Network,
    process::Process,
};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::Path};

const SECRET: &str = "secret-of-the-tests";

/// How long a runner takes to load a model, in milliseconds.
const LOAD_MS: u64 = 300;

/// A host with its data centre and the address of its process.
struct Host {
    name: String,
    centre: String,
    address: SocketAddr,
}

impl Host {
    fn to_json(&self) -> Value {
        json!({ "host": self.name, "centre": self.centre, "address": self.address })
    }
}

/// A router with its addresses for callers and metrics.
pub(crate) struct RouterProcess {
    pub(crate) process: Process,
    pub(crate) centre: String,
    pub(crate) callers: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// The hosts of a layout.
pub(crate) struct Plan {
    controllers: Vec<Host>,
    routers: Vec<Host>,
    runners: Vec<Host>,
    services: Vec<Host>,
}

impl Plan {
    pub(crate) fn new(layout: &Layout) -> Self {
        let mut plan = Self {
            controllers: Vec::new(),
            routers: Vec::new(),
            runners: Vec::new(),
            services: Vec::new(),
        };
        for (i, centre) in layout.controllers.iter().enumerate() {
            plan.controllers
                .push(host(format!("control-{}", i + 1), *centre));
        }
        for (c, centre) in layout.centres.iter().enumerate() {
            for _ in 0..centre.routers {
                let name = format!("entry-{}", plan.routers.len());
                plan.routers.push(host(name, c));
            }
            let runners = (0..centre.runners).map(|i| host(format!("runner-{c}-{i}"), c));
            plan.runners.extend(runners);
            let services = (0..centre.services).map(|i| host(format!("licences-{c}-{i}"), c));
            plan.services.extend(services);
        }
        plan
    }

    /// Returns the contents of the operator's `deployment.json`.
    pub(crate) fn deployment(&self) -> Value {
        json!({
            "secret": SECRET,
            "controllers": hosts_to_json(&self.controllers),
            "routers": hosts_to_json(&self.routers),
        })
    }

    /// Returns the names of the hosts that have this name or are in the data centre
    /// of this name.
    pub(crate) fn matching_hosts(&self, name: &str) -> Vec<String> {
        let matching = self.all().filter(|h| h.name == name || h.centre == name);
        matching.map(|h| h.name.clone()).collect()
    }

    /// Returns the names of all hosts.
    pub(crate) fn names(&self) -> Vec<String> {
        self.all().map(|h| h.name.clone()).collect()
    }

    fn all(&self) -> impl Iterator<Item = &Host> {
        let hosts = self.controllers.iter().chain(&self.routers);
        hosts.chain(&self.runners).chain(&self.services)
    }

    /// Returns the address translations by which a host reaches all others through
    /// relays.
    fn translations(&self, from: &Host, network: &mut Option<Network>) -> Value {
        let Some(network) = network else {
            return json!([]);
        };
        let others = self.all().filter(|h| h.name != from.name);
        let relayed = others.map(|to| {
            let reach = network.relay(&from.name, &to.name, to.address);
            json!({ "address": to.address, "reach": reach })
        });
        relayed.collect()
    }

    pub(crate) fn controllers(&self, folder: &Path, network: &mut Option<Network>) -> Vec<Process> {
        let voters = match self.controllers.len() {
            1 => json!([]),
            _ => hosts_to_json(&self.controllers),
        };
        let voters: Vec<Value> = voters.as_array().cloned().unwrap_or_default();
        let voters: Vec<Value> = voters
            .into_iter()
            .map(|v| json!({ "host": v["host"], "address": v["address"] }))
            .collect();
        let processes = self.controllers.iter().map(|host| {
            let settings = json!({
                "host": host.name, "centre": host.centre, "link": host.address,
                "secret": SECRET, "data": folder.join(format!("{}.data", host.name)),
                "voters": voters, "translations": self.translations(host, network),
            });
            Process::new(folder, "sequoiawing-controller", &host.name, settings)
        });
        processes.collect()
    }

    pub(crate) fn routers(
        &self,
        folder: &Path,
        layout: &Layout,
        network: &mut Option<Network>,
    ) -> Vec<RouterProcess> {
        let controllers: Vec<SocketAddr> = self.controllers.iter().map(|c| c.address).collect();
        let processes = self.routers.iter().map(|host| {
            let [callers, upstreams, metrics] = free_addresses();
            let others = self.routers.iter().filter(|r| r.name != host.name);
            let peers: Vec<Value> = others.map(Host::to_json).collect();
            let mut settings = json!({
                "host": host.name, "centre": host.centre, "callers": callers,
                "upstreams": upstreams, "link": host.address, "secret": SECRET,
                "credential": SECRET, "controllers": controllers, "peers": peers,
                "metrics": metrics, "translations": self.translations(host, network),
            });
            settings = merge(settings, &layout.router);
            if layout.disks {
                settings["data"] = json!(folder.join(format!("{}.data", host.name)));
            }
            RouterProcess {
                process: Process::new(folder, "sequoiawing-router", &host.name, settings),
                centre: host.centre.clone(),
                callers,
                metrics,
            }
        });
        processes.collect()
    }

    pub(crate) fn upstreams(
        &self,
        folder: &Path,
        layout: &Layout,
        routers: &[RouterProcess],
    ) -> Vec<Process> {
        let common = |host: &Host| {
            let local = routers.iter().filter(|r| r.centre == host.centre);
            let local: Vec<&Value> = local.map(|r| &r.process.settings["upstreams"]).collect();
            json!({
                "name": host.name, "centre": host.centre, "listen": host.address,
                "routers": local, "credential": SECRET,
            })
        };
        let runners = self.runners.iter().map(|host| {
            let extra = json!({ "pool": "captions", "load": LOAD_MS });
            let settings = merge(merge(common(host), &extra), &layout.runner);
            Process::new(folder, "sequoiawing-engine", &host.name, settings)
        });
        let services = self.services.iter().map(|host| {
            let journal = folder.join(format!("{}.journal", host.name));
            let extra = json!({ "pool": "licences", "journal": journal });
            let settings = merge(merge(common(host), &extra), &layout.service);
            Process::new(folder, "sequoiawing-service", &host.name, settings)
        });
        runners.chain(services).collect()
    }
}

fn host(name: String, centre: usize) -> Host {
    Host {
        name,
        centre: format!("centre-{centre}"),
        address: free_address(),
    }
}

fn hosts_to_json(hosts: &[Host]) -> Value {
    hosts.iter().map(Host::to_json).collect()
}
