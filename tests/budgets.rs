//! Tests that a customer who sends far more than the rate through the routers of
//! several data centres is limited over all of them.

mod support;

use serde_json::json;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};
use support::{
    Deployment,
    layout::{Centre, Layout},
    wait::wait,
};

/// The customer's rate in tokens per second and burst in tokens, as in `TABLES`.
const RATE: u64 = 200;
const BURST: u64 = 1_000;

/// The number of tokens in each response.
const RESPONSE_TOKENS: u64 = 10;

/// The minimum number of tokens charged for a prompt.
const PROMPT_TOKENS: u64 = 1;

const TABLES: &str = r#"{
    "customers": [{ "name": "daily", "rate": 200, "burst": 1000 }],
    "pools": [{ "name": "captions", "models": [{ "name": "caption", "memory": 8000, "replicas": 3 }] }],
    "routes": [{
        "name": "captions", "prefix": "/v1", "pool": "captions", "repeatable": true,
        "access": { "customers": ["daily"] }
    }]
}"#;

/// Three data centres with a runner each; two of them have two routers.
fn layout() -> Layout {
    let centre = |routers| Centre {
        routers,
        runners: 1,
        services: 0,
    };
    Layout::from_centres(vec![centre(2), centre(2), centre(1)])
}

/// Sends requests through every router without a pause for `duration` and returns
/// the tokens of complete responses by router.
fn send_overload(deployment: &Deployment, key: &str, duration: Duration) -> Vec<u64> {
    let start = Instant::now();
    let served: Vec<AtomicU64> = (0..deployment.routers())
        .map(|_| AtomicU64::new(0))
        .collect();
    thread::scope(|scope| {
        for (router, served) in served.iter().enumerate() {
            scope.spawn(move || {
                while start.elapsed() < duration {
                    let response = deployment.complete_at(router, key, "caption", RESPONSE_TOKENS);
                    match response.status {
                        200 => served.fetch_add(RESPONSE_TOKENS + PROMPT_TOKENS, Ordering::Relaxed),
                        429 => {
                            let ran = response.body.contains("\"ran\":\"no\"");
                            assert!(ran, "{}", response.body);
                            thread::sleep(Duration::from_millis(5));
                            0
                        }
                        status => panic!("status {status}: {}", response.body),
                    };
                }
            });
        }
    });
    served.into_iter().map(AtomicU64::into_inner).collect()
}

/// Returns the maximum number of tokens that the customer may have used.
fn max_usage(since: Instant) -> u64 {
    let millis = u64::try_from(since.elapsed().as_millis()).expect("the value fits");
    BURST + RATE * (millis + 1) / 1_000
}

#[test]
fn a_customer_is_limited_over_all_routers_and_without_controllers() {
    let mut deployment = Deployment::start_with("shared-budget", &layout());
    deployment.write(
        "tables.json",
        &serde_json::from_str(TABLES).expect("the tables are valid JSON"),
    );
    deployment.ctl(&["apply", "tables.json"]);
    let start = Instant::now();
    let key = deployment.grant_key("daily");
    let connected = send_overload(&deployment, &key, Duration::from_secs(5));
    let total: u64 = connected.iter().sum();
    println!("connected: {connected:?} of {}", max_usage(start));
    assert!(
        total <= max_usage(start),
        "{total} tokens of {}",
        max_usage(start)
    );
    assert!(total >= BURST, "only {total} tokens: {connected:?}");

    // Only the tokens of the last second and those that accrue until the
    // disconnection is detected are left; then every data centre serves from its
    // own share.
    deployment.kill_controllers();
    thread::sleep(Duration::from_secs(3));
    let disconnected = send_overload(&deployment, &key, Duration::from_secs(6));
    let total: u64 = total + disconnected.iter().sum::<u64>();
    println!(
        "disconnected: {disconnected:?}, {total} of {}",
        max_usage(start)
    );
    assert!(
        total <= max_usage(start),
        "{total} tokens of {}",
        max_usage(start)
    );
    let centres = [&disconnected[..2], &disconnected[2..4], &disconnected[4..]];
    for (c, served) in centres.iter().enumerate() {
        let served: u64 = served.iter().sum();
        assert!(
            served > 0,
            "data centre {c} served nothing: {disconnected:?}"
        );
    }
}

#[test]
fn a_router_without_a_lender_reports_that_it_waits_for_credit() {
    let mut deployment = Deployment::start_with("no-lender", &layout());
    let key = deployment.grant_key("daily");
    deployment.kill_controllers();
    // The restarted router has neither a share nor credit, but gets the tables
    // from its peers.
    deployment.kill_router(4);
    deployment.start_router(4);
    wait("the tables", || {
        let (_, body) = deployment.health(4);
        let has_tables = body.contains("credit");
        has_tables.then_some(()).ok_or(json!(body))
    });
    let response = deployment.complete_at(4, &key, "caption", RESPONSE_TOKENS);
    assert_eq!(response.status, 503, "{}", response.body);
    assert!(
        response.body.contains("\"unavailable\""),
        "{}",
        response.body
    );
    assert!(
        response.body.contains("\"ran\":\"no\""),
        "{}",
        response.body
    );
    let (status, body) = deployment.health(4);
    assert_eq!((status, body.trim()), (503, "waiting for credit"));
}
