//! The embedded demo: controller, router and simulated upstreams in one process.

use crate::{
    controller::{Controller, ControllerSettings},
    ctl::{CtlError, Deployment, Host, OperatorClient, TableFile},
    router::{Router, RouterSettings},
    runtime::{Clock, sleep, wait_for_signal},
    standin::{Engine, EngineSettings, LoadSettings, Service, ServiceSettings, run_load},
    tables::{Access, Customer, Model, Pool, PoolKind, Route},
    types::Name,
};
use std::{io, net::SocketAddr, time::Duration};

/// The secret of the demo, which listens only on loopback.
const SECRET: &str = "embedded-demo-secret";

/// The interval at which the demo checks whether its parts are connected.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo and, if `keep_running` is set, serves until the process is
/// interrupted.
///
/// # Errors
///
/// Returns an error if a part cannot start, the operator's calls fail or signals
/// cannot be received.
pub async fn run(keep_running: bool) -> Result<(), Box<dyn std::error::Error>> {
    let data = std::env::temp_dir().join(format!("sequoiawing-demo-{}", std::process::id()));
    let result = serve(keep_running, data.clone()).await;
    std::fs::remove_dir_all(&data).ok();
    result
}

async fn serve(
    keep_running: bool,
    data: std::path::PathBuf,
) -> Result<(), Box<dyn std::error::Error>> {
    let controller = Controller::start(ControllerSettings {
        host: Name::from("control-1"),
        secret: SECRET.to_owned(),
        data,
        ..ControllerSettings::default()
    });
    let controller = controller.await?;
    let router = start_router(controller.link()).await?;
    let operator = operator(&controller, &router);
    let key = configure(&operator).await?;
    println!("Created a customer, a key, two pools and two routes.");

    let engine = start_engine(router.upstreams()).await?;
    let service = start_service(router.upstreams()).await?;
    wait_until_ready(&router, 2).await;
    println!("Registered a runner and a plain service.\n");

    let requests = LoadSettings {
        routers: vec![router.callers()],
        key: key.clone(),
        rate: 1_000,
        span: 1,
        ..LoadSettings::default()
    };
    send_request("cold, loaded on request", &requests, "caption").await;
    send_request("warm", &requests, "caption").await;
    send_request("warm, with an adapter", &requests, "caption:oshiwambo").await;
    send_request("cold, another model", &requests, "translate").await;
    let service_request = LoadSettings {
        path: "/licences/grant".to_owned(),
        ..requests.clone()
    };
    send_request("a plain service", &service_request, "").await;
    println!(
        "\nThe runner loaded {} models and served {} requests; the service handled {} requests.",
        engine.started_loads(),
        engine.started_requests(),
        service.calls().len()
    );
    if keep_running {
        print_example(router.callers(), &key);
        wait_for_signal().await?;
    }
    engine.stop();
    service.stop();
    router.stop().await;
    controller.stop().await;
    Ok(())
}

/// Waits until the router knows the leader of its data centre and the given
/// number of upstreams.
async fn wait_until_ready(router: &Router, upstreams: usize) {
    loop {
        let status = router.status();
        if status.leader.is_some() && status.upstreams >= upstreams {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn start_router(controller: SocketAddr) -> io::Result<Router> {
    Router::start(RouterSettings {
        host: Name::from("entry-1"),
        secret: SECRET.to_owned(),
        credential: SECRET.to_owned(),
        controllers: vec![controller],
        farewell: 100,
        drain: 5_000,
        ..RouterSettings::default()
    })
    .await
}

async fn start_engine(router: SocketAddr) -> io::Result<Engine> {
    Engine::start(EngineSettings {
        name: Name::from("runner-1"),
        pool: Name::from("captions"),
        routers: vec![router],
        credential: SECRET.to_owned(),
        ..EngineSettings::default()
    })
    .await
}

async fn start_service(router: SocketAddr) -> io::Result<Service> {
    Service::start(ServiceSettings {
        name: Name::from("licences-1"),
        pool: Name::from("licences"),
        routers: vec![router],
        credential: SECRET.to_owned(),
        ..ServiceSettings::default()
    })
    .await
}

fn operator(controller: &Controller, router: &Router) -> OperatorClient {
    let host = |host: &str, address| Host {
        host: Name::from(host),
        centre: Name::from("centre"),
        address,
    };
    OperatorClient::new(Deployment {
        secret: SECRET.to_owned(),
        controllers: vec![host("control-1", controller.link())],
        routers: vec![host("entry-1", router.link())],
    })
}

async fn configure(operator: &OperatorClient) -> Result<String, CtlError> {
    let file = demo_tables();
    let tables = operator.read().await?;
    let changes = file.changes_from(&tables, false);
    operator.edit(Some(tables.revision), changes).await?;
    let key = operator.grant_key("daily").await?;
    Ok(key.reveal())
}

fn demo_tables() -> TableFile {
    let model = |name: &str, adapters: &[&str]| Model {
        name: Name::from(name),
        memory: 8_000,
        adapters: adapters.iter().map(|a| Name::from(*a)).collect(),
        ..Model::default()
    };
    let access = Access::Customers(vec![Name::from("daily")]);
    TableFile {
        store: None,
        customers: vec![Customer {
            name: Name::from("daily"),
            ..Customer::default()
        }],
        pools: vec![
            Pool {
                name: Name::from("captions"),
                models: vec![model("caption", &["oshiwambo"]), model("translate", &[])],
                ..Pool::default()
            },
            Pool {
                name: Name::from("licences"),
                kind: PoolKind::Services,
                ..Pool::default()
            },
        ],
        routes: vec![
            Route {
                name: Name::from("captions"),
                prefix: "/v1".to_owned(),
                access: access.clone(),
                pool: Name::from("captions"),
                repeatable: true,
                ..Route::default()
            },
            Route {
                name: Name::from("licences"),
                prefix: "/licences".to_owned(),
                access,
                pool: Name::from("licences"),
                ..Route::default()
            },
        ],
    }
}

async fn send_request(label: &str, settings: &LoadSettings, model: &str) {
    let settings = LoadSettings {
        models: vec![model.to_owned()],
        ..settings.clone()
    };
    let clock = Clock::start();
    let report = run_load(settings).await;
    let elapsed = clock.elapsed();
    let status = report.statuses().keys().next().copied().unwrap_or(0);
    println!(
        "{label:<28} {model:<18} status {status} after {} ms",
        elapsed.as_millis()
    );
}

fn print_example(callers: SocketAddr, key: &str) {
    println!("\nServing until interrupted. Try:\n");
    println!("  curl -N http://{callers}/v1/completions \\");
    println!("    -H 'Authorization: Bearer {key}' \\");
    println!(
        "    -d '{{\"model\":\"caption\",\"prompt\":\"hello\",\"max_tokens\":8,\"stream\":true}}'"
    );
}
