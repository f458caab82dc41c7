//! A small deployment in one process.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use sequoiawing::{
    controller::{Controller, ControllerSettings},
    ctl::{CtlError, Deployment, Host, OperatorClient, TableFile},
    http::{Client, ClientBody, from_bytes},
    link::{PeerClient, RouterStatus, Secret, Stub},
    router::{Plugin, Router, RouterSettings},
    runtime::{Clock, sleep},
    standin::{Engine, EngineSettings, Service, ServiceSettings},
    tables::BearerKey,
    types::Name,
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

pub(crate) const SECRET: &str = "secret-of-the-tests";

/// How long a test waits for a condition before it fails.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// The configuration of a deployment.
pub(crate) struct Setup<'p> {
    pub(crate) engines: usize,
    pub(crate) services: usize,
    /// The plugin of each router; the length sets the number of routers.
    pub(crate) routers: Vec<Option<&'p dyn Plugin>>,
    pub(crate) settings: RouterSettings,
    pub(crate) engine: EngineSettings,
    pub(crate) service: ServiceSettings,
}

/// Returns router settings with a short stall timeout, after which a silent
/// upstream counts as stalled.
pub(crate) fn short_stall() -> RouterSettings {
    RouterSettings {
        stall: 300,
        farewell: 0,
        ..RouterSettings::default()
    }
}

impl Default for Setup<'_> {
    fn default() -> Self {
        Self {
            engines: 0,
            services: 0,
            routers: vec![None],
            settings: RouterSettings {
                farewell: 0,
                drain: 5_000,
                ..RouterSettings::default()
            },
            engine: EngineSettings {
                load: 20,
                first: 1_000,
                gap: 1_000,
                interval: 50,
                record: true,
                ..EngineSettings::default()
            },
            service: ServiceSettings {
                interval: 50,
                record: true,
                ..ServiceSettings::default()
            },
        }
    }
}

/// A running deployment.
pub(crate) struct Fleet {
    pub(crate) controller: Option<Controller>,
    pub(crate) routers: Vec<Router>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    pub(crate) operator: OperatorClient,
    pub(crate) key: BearerKey,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a deployment and waits until its processes have discovered each other.
    pub(crate) async fn start(setup: Setup<'_>) -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("sequoiawing-requests-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::remove_dir_all(&folder).ok();
        let controller = Controller::start(ControllerSettings {
            host: Name::from("control-1"),
            secret: SECRET.to_owned(),
            data: folder.clone(),
            ..ControllerSettings::default()
        });
        let controller = controller.await.expect("the controller starts");
        let mut routers: Vec<Router> = Vec::new();
        for (i, plugin) in setup.routers.iter().enumerate() {
            let settings = RouterSettings {
                host: Name::from(format!("entry-{i}")),
                secret: SECRET.to_owned(),
                credential: SECRET.to_owned(),
                controllers: vec![controller.link()],
                ..setup.settings.clone()
            };
            let plugins: Vec<&dyn Plugin> = plugin.iter().copied().collect();
            let router = Router::start_with(settings, &plugins).await;
            routers.push(router.expect("the router starts"));
        }
        let operator = operator(&controller, &routers);
        let key = apply_tables(&operator).await;
        let upstreams: Vec<SocketAddr> = routers.iter().map(Router::upstreams).collect();
        let mut fleet = Self {
            controller: Some(controller),
            routers,
            engines: Vec::new(),
            services: Vec::new(),
            operator,
            key,
            folder,
        };
        fleet.wait_for_key().await;
        fleet.wait_for_health().await;
        fleet.add_engines(&setup, &upstreams).await;
        fleet.add_services(&setup, &upstreams).await;
        fleet
            .wait_for_upstreams(setup.engines + setup.services)
            .await;
        fleet
    }

    async fn add_engines(&mut self, setup: &Setup<'_>, routers: &[SocketAddr]) {
        for n in 0..setup.engines {
            let engine = Engine::start(EngineSettings {
                name: Name::from(format!("runner-0-{n}")),
                pool: Name::from("captions"),
                routers: routers.to_vec(),
                credential: SECRET.to_owned(),
                ..setup.engine.clone()
            });
            self.engines.push(engine.await.expect("the engine starts"));
        }
    }

    async fn add_services(&mut self, setup: &Setup<'_>, routers: &[SocketAddr]) {
        for n in 0..setup.services {
            let service = Service::start(ServiceSettings {
                name: Name::from(format!("licences-0-{n}")),
                pool: Name::from("licences"),
                routers: routers.to_vec(),
                credential: SECRET.to_owned(),
                ..setup.service.clone()
            });
            self.services
                .push(service.await.expect("the service starts"));
        }
    }

    async fn wait_for_key(&self) {
        for router in &self.routers {
            let is_known = || router.state().tables.get().keys.contains_key(&self.key.id);
            wait_until("the key is known", || std::future::ready(is_known())).await;
        }
    }

    /// Waits until every router's health check passes.
    async fn wait_for_health(&self) {
        for router in 0..self.routers.len() {
            let health = || async {
                let call = self.call("/sequoiawing/health").to(self, router);
                call.send().await.status == 200
            };
            wait_until("the health check passes", health).await;
        }
    }

    pub(crate) async fn wait_for_upstreams(&self, count: usize) {
        for i in 0..self.routers.len() {
            let counted = || async { self.status(i).await.upstreams == count };
            wait_until("the upstreams are known", counted).await;
        }
    }

    /// Returns a router's status.
    pub(crate) async fn status(&self, router: usize) -> RouterStatus {
        let secret = Secret::from(SECRET);
        let stub: Stub<PeerClient> = Stub::new(self.routers[router].link(), secret);
        let call = stub.call(TIMEOUT, |client, context| async move {
            client.status(context).await
        });
        call.await.expect("the router reports")
    }

    /// Returns a call to a plain service, to be sent by [`Call::send`].
    pub(crate) fn call(&self, path: &str) -> Call {
        Call {
            to: self.routers[0].callers(),
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![(
                "authorization".to_owned(),
                format!("Bearer {}", self.key.reveal()),
            )],
            body: Bytes::from_static(b"grant 7"),
        }
    }

    /// Returns a streamed completion.
    pub(crate) fn completion(&self, path: &str, tokens: u64) -> Call {
        let body =
            json!({ "model": "caption", "prompt": "p", "max_tokens": tokens, "stream": true });
        self.call(path).with_body(body.to_string())
    }

    /// Loads the model by requesting it through each router.
    pub(crate) async fn load_model(&self) {
        for i in 0..self.routers.len() {
            let response = self
                .completion("/v1/completions", 1)
                .to(self, i)
                .send()
                .await;
            assert_eq!(response.status, 200, "{:?}", response.body);
        }
    }

    /// Returns the number of calls that the services have run.
    pub(crate) fn runs(&self) -> usize {
        self.services.iter().map(|s| s.calls().len()).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until<F, R>(what: &str, condition: F)
where
    F: Fn() -> R,
    R: Future<Output = bool>,
{
    let clock = Clock::start();
    while !condition().await {
        assert!(clock.elapsed() < TIMEOUT, "timed out before {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A request to a router.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

/// A response as a caller sees it.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The complete body, or the error that ended it.
    pub(crate) body: Result<String, String>,
}

impl Response {
    /// Returns the code of a refusal.
    pub(crate) fn code(&self) -> String {
        let error = self.error();
        error["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the value of the header that says whether the request ran.
    pub(crate) fn ran(&self) -> String {
        let ran = self.headers.get("sequoiawing-ran");
        let ran = ran.map(|v| v.to_str().expect("the value is valid text"));
        ran.unwrap_or_default().to_owned()
    }

    pub(crate) fn text(&self) -> &str {
        self.body.as_deref().expect("the body is complete")
    }

    fn error(&self) -> Value {
        let value: Value = serde_json::from_str(self.text()).expect("refusals are JSON");
        value["error"].clone()
    }
}

impl Call {
    pub(crate) fn to(mut self, fleet: &Fleet, router: usize) -> Self {
        self.to = fleet.routers[router].callers();
        self
    }

    pub(crate) fn with_method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(n, _)| n != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(n, _)| n != name);
        self
    }

    pub(crate) fn with_body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    /// Sends the call and waits for the head of the response.
    pub(crate) async fn begin(self) -> hyper::Response<ClientBody> {
        let mut request = Request::builder().method(self.method).uri(self.path);
        if !self.headers.iter().any(|(name, _)| name == "host") {
            request = request.header(header::HOST, self.to.to_string());
        }
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(from_bytes(self.body))
            .expect("the request is valid");
        let client = Client::new(TIMEOUT);
        let response = client.send_on_new_connection(self.to, request).await;
        response.expect("the router answers")
    }

    /// Sends the call and reads the complete response.
    pub(crate) async fn send(self) -> Response {
        let (parts, body) = self.begin().await.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string());
        let text = |b: http_body_util::Collected<Bytes>| {
            String::from_utf8(b.to_bytes().to_vec()).expect("the value is valid text")
        };
        Response {
            status: parts.status,
            headers: parts.headers,
            body: body.map(text),
        }
    }
}

fn operator(controller: &Controller, routers: &[Router]) -> OperatorClient {
    let host = |host: String, address| Host {
        host: Name::from(host),
        centre: Name::from("centre"),
        address,
    };
    let named = routers.iter().enumerate();
    OperatorClient::new(Deployment {
        secret: SECRET.to_owned(),
        controllers: vec![host("control-1".to_owned(), controller.link())],
        routers: named
            .map(|(i, r)| host(format!("entry-{i}"), r.link()))
            .collect(),
    })
}

/// Applies the tables and retries on conflicts with routers that join their cell
/// at the same time.
async fn apply_tables(operator: &OperatorClient) -> BearerKey {
    let file: TableFile = serde_json::from_value(tables()).expect("the tables are valid");
    loop {
        let tables = operator.read().await.expect("the controller answers");
        let changes = file.changes_from(&tables, false);
        match operator.edit(Some(tables.revision), changes).await {
            Ok(_) => break,
            Err(CtlError::Conflict { .. }) => {}
            Err(error) => panic!("the tables were not accepted: {error}"),
        }
    }
    operator.grant_key("daily").await.expect("a key is granted")
}

fn tables() -> Value {
    let daily = json!({ "customers": ["daily"] });
    json!({
        "customers": [
            { "name": "daily", "rate": 1_000_000, "burst": 10_000_000 },
            { "name": "weekly", "rate": 1_000_000, "burst": 10_000_000 },
        ],
        "pools": [
            { "name": "captions", "models": [{ "name": "caption", "memory": 8000, "replicas": 8 }] },
            { "name": "licences", "kind": "services" },
        ],
        "routes": [
            {
                "name": "captions", "prefix": "/v1", "pool": "captions", "repeatable": true,
                "access": daily, "deadline": 10_000,
            },
            {
                "name": "resumed", "prefix": "/resumed", "pool": "captions", "repeatable": true,
                "resumable": true, "access": daily, "deadline": 10_000,
            },
            { "name": "grant", "prefix": "/grant", "pool": "licences", "access": daily },
            {
                "name": "look", "prefix": "/look", "pool": "licences", "repeatable": true,
                "access": daily,
            },
            { "name": "open", "prefix": "/open", "pool": "licences", "access": "open" },
            {
                "name": "by-host", "host": "licences.example", "prefix": "/", "pool": "licences",
                "access": daily,
            },
        ],
    })
}
