//! A small deployment as separate processes.

use super::{
    http::{Response, post_with, try_post},
    layout::{Layout, tables},
    network::Network,
    plan::{Plan, RouterProcess},
    process::{Process, Stopping, print_logs},
    wait::wait,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
};

/// A running deployment, killed on drop.
pub(crate) struct Deployment {
    pub(super) folder: PathBuf,
    plan: Plan,
    network: Option<Network>,
    routers: Vec<RouterProcess>,
    controllers: Vec<Process>,
    upstreams: Vec<Process>,
}

impl Deployment {
    /// Starts a controller, a router, a runner and a service, and waits until
    /// they have discovered each other.
    pub(crate) fn start(name: &str) -> Self {
        Self::start_with(name, &Layout::single())
    }

    /// Starts the processes of a layout and waits until they have discovered each
    /// other.
    pub(crate) fn start_with(name: &str, layout: &Layout) -> Self {
        let folder =
            std::env::temp_dir().join(format!("sequoiawing-{name}-{}", std::process::id()));
        fs::remove_dir_all(&folder).ok();
        fs::create_dir_all(&folder).expect("the folder can be created");
        let plan = Plan::new(layout);
        let mut network = layout.cuts.then(Network::default);
        let controllers = plan.controllers(&folder, &mut network);
        let routers = plan.routers(&folder, layout, &mut network);
        let upstreams = plan.upstreams(&folder, layout, &routers);
        let mut deployment = Self {
            folder,
            plan,
            network,
            routers,
            controllers,
            upstreams,
        };
        deployment.controllers.iter_mut().for_each(Process::start);
        (0..deployment.routers.len()).for_each(|i| deployment.start_router(i));
        deployment.write("deployment.json", &deployment.plan.deployment());
        deployment.write("tables.json", &tables(layout.replicas));
        deployment.apply_initial_tables();
        deployment.upstreams.iter_mut().for_each(Process::start);
        deployment.wait_until_ready();
        deployment
    }

    /// Applies the tables and retries until the controllers have a leader.
    fn apply_initial_tables(&self) {
        wait("the tables to be accepted", || {
            let (code, errors) = self.try_ctl(&["apply", "tables.json"]);
            (code == Some(0)).then_some(()).ok_or(json!(errors))
        });
    }

    /// Returns the number of routers.
    pub(crate) fn routers(&self) -> usize {
        self.routers.len()
    }

    /// Starts or restarts a router at its fixed addresses.
    pub(crate) fn start_router(&mut self, router: usize) {
        self.routers[router].process.start();
    }

    /// Kills a router.
    pub(crate) fn kill_router(&mut self, router: usize) {
        self.routers[router].process.kill();
    }

    /// Sends SIGKILL to a router without waiting for its exit, so that other
    /// threads can go on using the deployment.
    pub(crate) fn send_kill(&self, router: usize) {
        self.routers[router].process.signal(Signal::KILL);
    }

    /// Kills the controllers.
    pub(crate) fn kill_controllers(&mut self) {
        self.controllers.iter_mut().for_each(Process::kill);
    }

    fn process(&mut self, name: &str) -> &mut Process {
        let routers = self.routers.iter_mut().map(|r| &mut r.process);
        let mut all = routers
            .chain(&mut self.controllers)
            .chain(&mut self.upstreams);
        let found = all.find(|p| p.name == name);
        found.unwrap_or_else(|| panic!("no process is named {name}"))
    }

    /// Starts or restarts a process by name.
    pub(crate) fn start_process(&mut self, name: &str) {
        self.process(name).start();
    }

    /// Starts a process and, if it is a router, waits until it responds.
    pub(crate) fn start_and_wait(&mut self, name: &str) {
        self.start_process(name);
        let router = self.routers.iter().position(|r| r.process.name == name);
        let Some(router) = router else {
            return;
        };
        wait("the router to respond", || {
            let status = self.status(router);
            status.is_object().then_some(()).ok_or(status)
        });
    }

    /// Kills a process with SIGKILL.
    pub(crate) fn kill(&mut self, name: &str) {
        self.process(name).kill();
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&mut self, name: &str, signal: Signal) {
        self.process(name).signal(signal);
    }

    /// Sends SIGTERM to a process and returns a handle to wait for its exit.
    pub(crate) fn terminate(&mut self, name: &str) -> Stopping {
        self.process(name).terminate()
    }

    /// Blocks traffic from the hosts named `from` to those named `to`; each name
    /// is a host or a data centre.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        let network = self.network.as_ref().expect("the layout allows cuts");
        for from in self.plan.matching_hosts(from) {
            for to in self.plan.matching_hosts(to) {
                network.cut(&from, &to);
            }
        }
    }

    /// Blocks all traffic between a host or data centre and all other hosts.
    pub(crate) fn isolate(&self, name: &str) {
        let network = self.network.as_ref().expect("the layout allows cuts");
        let members = self.plan.matching_hosts(name);
        assert!(
            !members.is_empty(),
            "no host or data centre is named {name}"
        );
        let all = self.plan.names();
        for other in all.iter().filter(|n| !members.contains(n)) {
            for host in &members {
                network.cut(host, other);
                network.cut(other, host);
            }
        }
    }

    /// Unblocks all traffic.
    pub(crate) fn heal(&self) {
        let network = self.network.as_ref().expect("the layout allows cuts");
        network.heal();
    }

    /// Returns a router's full state.
    pub(crate) fn dump(&self, router: usize) -> Value {
        let dump = self.ctl(&["dump", &self.routers[router].process.name]);
        let dump: Value = serde_json::from_str(&dump).expect("the dump is JSON");
        dump["router"].clone()
    }

    /// Waits until a router knows a leader of its data centre and returns the
    /// leader's host.
    pub(crate) fn leader(&self, router: usize) -> String {
        wait("a leader", || {
            let status = self.status(router);
            let leader = status["leader"].as_str().map(str::to_owned);
            leader.ok_or(status)
        })
    }

    /// Waits until a router knows a leader other than `excluded`.
    pub(crate) fn wait_for_other_leader(&self, router: usize, excluded: &str) {
        wait("another leader", || {
            let status = self.status(router);
            let leader = status["leader"].as_str();
            leader
                .is_some_and(|l| l != excluded)
                .then_some(())
                .ok_or(status)
        });
    }

    /// Returns the index of the router that runs on a host.
    pub(crate) fn router_index(&self, host: &str) -> usize {
        let position = self.routers.iter().position(|r| r.process.name == host);
        position.unwrap_or_else(|| panic!("no router runs on {host}"))
    }

    /// Grants a key and waits until every router knows it.
    pub(crate) fn grant_key(&self, customer: &str) -> String {
        let key = self.ctl(&["keys", "grant", customer]).trim().to_owned();
        for router in 0..self.routers.len() {
            self.wait_for_key(router, &key);
        }
        key
    }

    /// Returns the metrics of the first router.
    pub(crate) fn scrape(&self) -> String {
        let mut stream =
            TcpStream::connect(self.routers[0].metrics).expect("the router serves metrics");
        let request = "GET /metrics HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
        stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .expect("the response is readable");
        text
    }

    /// Waits until a router responds, has loaded its tables and accepts the key.
    ///
    /// A router looks up the route, then checks the key, then the model, so only
    /// the refusal of the unknown model shows that the key was accepted. A router
    /// without tables also responds with 404, because no route matches.
    pub(crate) fn wait_for_key(&self, router: usize, key: &str) {
        const REFUSAL: &str = "the route has no model 'no-such-model'";
        let body = json!({ "model": "no-such-model", "prompt": "p", "max_tokens": 1 }).to_string();
        wait("the key", || {
            let to = self.routers[router].callers;
            let response = try_post(to, "/v1/completions", key, &[], &body);
            let is_accepted = response
                .as_ref()
                .is_some_and(|r| r.status == 404 && r.body.contains(REFUSAL));
            let seen = || json!(response.map(|r| r.body));
            is_accepted.then_some(()).ok_or_else(seen)
        });
    }

    /// Sends a streamed completion to the first router and reads the complete
    /// response.
    pub(crate) fn complete(&self, key: &str, model: &str, tokens: u64) -> Response {
        self.complete_at(0, key, model, tokens)
    }

    /// Sends a streamed completion to a router and reads the complete response.
    pub(crate) fn complete_at(
        &self,
        router: usize,
        key: &str,
        model: &str,
        tokens: u64,
    ) -> Response {
        let body = json!({ "model": model, "prompt": "p", "max_tokens": tokens, "stream": true });
        self.post(router, "/v1/completions", key, &body.to_string())
    }

    /// Sends a request to a router and reads the complete response.
    pub(crate) fn post(&self, router: usize, path: &str, key: &str, body: &str) -> Response {
        post_with(self.routers[router].callers, path, key, &[], body)
    }

    /// Returns the address for callers of the first router.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.callers_of(0)
    }

    /// Returns the address for callers of a router.
    pub(crate) fn callers_of(&self, router: usize) -> SocketAddr {
        self.routers[router].callers
    }

    /// Sends SIGTERM to the first router and returns a handle to wait for its exit.
    pub(crate) fn terminate_router(&mut self) -> Stopping {
        self.routers[0].process.terminate()
    }

    /// Returns the entries of a service's journal, each with its time in
    /// milliseconds.
    pub(crate) fn journal(&self, service: &str) -> Vec<(u64, String)> {
        let file = self.folder.join(format!("{service}.journal"));
        let text = fs::read_to_string(file).unwrap_or_default();
        let line = |l: &str| {
            let (millis, what) = l.split_once(' ').expect("the line has a time");
            (
                millis.parse().expect("the value is a number"),
                what.to_owned(),
            )
        };
        text.lines().map(line).collect()
    }

    /// Returns the number of calls that the services have run.
    pub(crate) fn runs(&self) -> usize {
        let runs = |p: &Process| {
            let journal = self.journal(&p.name);
            journal
                .iter()
                .filter(|(_, w)| w.starts_with("run "))
                .count()
        };
        self.upstreams.iter().map(runs).sum()
    }

    /// Waits until the services have run at least `count` calls.
    pub(crate) fn wait_for_runs(&self, count: usize) {
        wait("the calls to start", || {
            let runs = self.runs();
            (runs >= count).then_some(()).ok_or(json!(runs))
        });
    }

    /// Waits until a runner is loading a model and returns the name of the runner.
    pub(crate) fn wait_for_load(&self) -> String {
        let host = &self.routers[0].process.name;
        wait("a load to start", || {
            let dump: Value =
                serde_json::from_str(&self.ctl(&["dump", host])).expect("the dump is JSON");
            let upstreams = dump["router"]["upstreams"].as_array().cloned();
            let upstreams = upstreams.unwrap_or_default();
            let is_loading = |u: &&Value| u["loading"].as_array().is_some_and(|l| !l.is_empty());
            let name = upstreams
                .iter()
                .find(is_loading)
                .and_then(|u| u["name"].as_str());
            name.map(str::to_owned)
                .ok_or(json!("no runner is loading a model"))
        })
    }

    /// Waits until a router's health check passes, as the platform's load
    /// balancer does.
    pub(crate) fn wait_for_health(&self, router: usize) {
        wait("a health check that passes", || {
            let (status, body) = self.health(router);
            let is_serving = status == 200;
            is_serving.then_some(()).ok_or(json!(body))
        });
    }

    /// Returns the status and body of a router's health check.
    pub(crate) fn health(&self, router: usize) -> (u16, String) {
        let callers = self.routers[router].callers;
        let Ok(mut stream) = TcpStream::connect(callers) else {
            return (0, "not listening".to_owned());
        };
        let request = "GET /sequoiawing/health HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        let is_sent = stream.write_all(request.as_bytes()).is_ok();
        if !is_sent || stream.read_to_string(&mut text).is_err() {
            return (0, "incomplete response".to_owned());
        }
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        (status.unwrap_or(0), body.to_owned())
    }

    /// Waits until all routers are healthy and know a leader and all upstreams.
    fn wait_until_ready(&self) {
        let upstreams = self.upstreams.len();
        for router in 0..self.routers.len() {
            self.wait_for_health(router);
            wait("the processes to discover each other", || {
                let status = self.status(router);
                let found = status["upstreams"] == upstreams && status["leader"].is_string();
                found.then_some(()).ok_or(status)
            });
        }
    }

    /// Returns a router's status.
    pub(crate) fn status(&self, router: usize) -> Value {
        self.full_status()["routers"][router]["status"].clone()
    }

    /// Returns the output of `sequoiactl status` for all hosts.
    pub(crate) fn full_status(&self) -> Value {
        let status = self.ctl(&["status", "--output", "json"]);
        serde_json::from_str(&status).expect("status prints JSON")
    }

    pub(crate) fn write(&self, name: &str, value: &Value) -> PathBuf {
        let path = self.folder.join(name);
        fs::write(&path, value.to_string()).expect("the file is writable");
        path
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let routers = self.routers.iter_mut().map(|r| &mut r.process);
        routers
            .chain(&mut self.controllers)
            .chain(&mut self.upstreams)
            .for_each(Process::kill);
        if std::thread::panicking() {
            print_logs(&self.folder);
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}
