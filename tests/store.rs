//! Tests that three data centres with a shared weight store do not exceed its
//! limit of concurrent loads.

mod support;

use serde_json::{Value, json};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};
use support::{
    Deployment,
    layout::{Centre, Layout},
    store::StoreCounter,
};

/// The limit of concurrent loads over all data centres.
const SLOTS: u32 = 4;

/// The number of models in each of the two bursts.
const MODELS: usize = 20;

/// The number of tokens in each response.
const RESPONSE_TOKENS: u64 = 1;

fn tables() -> Value {
    let model = |i: usize| json!({ "name": format!("model-{i}"), "memory": 500, "replicas": 1 });
    let models: Vec<Value> = (0..MODELS * 2).map(model).collect();
    json!({
        "customers": [{ "name": "daily", "rate": 10_000, "burst": 100_000 }],
        "pools": [{ "name": "captions", "models": models }],
        "routes": [{
            "name": "captions", "prefix": "/v1", "pool": "captions", "repeatable": true,
            "deadline": 60_000, "access": { "customers": ["daily"] },
        }],
        "store": { "starts": 20, "slots": SLOTS },
    })
}

fn layout(store: &StoreCounter) -> Layout {
    let centre = |routers| Centre {
        routers,
        runners: 2,
        services: 0,
    };
    Layout {
        runner: json!({ "store": store.address }),
        ..Layout::from_centres(vec![centre(3), centre(1), centre(1)])
    }
}

/// Requests models concurrently through the given routers and returns how many
/// requests were answered.
fn request_models(deployment: &Deployment, key: &str, first: usize, routers: &[usize]) -> usize {
    let answered = AtomicUsize::new(0);
    thread::scope(|scope| {
        for i in 0..MODELS {
            let router = routers[i % routers.len()];
            let answered = &answered;
            scope.spawn(move || {
                let model = format!("model-{}", first + i);
                let response = deployment.complete_at(router, key, &model, RESPONSE_TOKENS);
                assert_eq!(response.status, 200, "{model}: {}", response.body);
                answered.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    answered.into_inner()
}

#[test]
fn data_centres_share_the_slots_of_one_store() {
    let store = StoreCounter::start();
    let mut deployment = Deployment::start_with("store", &layout(&store));
    deployment.write("tables.json", &tables());
    deployment.ctl(&["apply", "tables.json"]);
    let key = deployment.grant_key("daily");
    let answered = request_models(&deployment, &key, 0, &[0, 1, 2, 3, 4]);
    println!("connected: {answered} of {MODELS}, {:?}", store.counts());
    assert_eq!(answered, MODELS);
    assert!(store.counts().peak <= SLOTS, "{:?}", store.counts());

    // A leader is killed while loads run; its successor must count them.
    let leader = deployment.router_index(&deployment.leader(0));
    let others: Vec<usize> = (0..5).filter(|r| *r != leader).collect();
    let loads_before = store.counts().started;
    thread::scope(|scope| {
        let requests = scope.spawn(|| request_models(&deployment, &key, MODELS, &others));
        while store.counts().started == loads_before {
            thread::sleep(Duration::from_millis(5));
        }
        deployment.send_kill(leader);
        let answered = requests.join().expect("all requests are answered");
        println!(
            "leader killed: {answered} of {MODELS}, {:?}",
            store.counts()
        );
        assert_eq!(answered, MODELS);
    });
    deployment.kill_router(leader);
    assert!(store.counts().peak <= SLOTS, "{:?}", store.counts());
}
