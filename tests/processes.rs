//! Tests of the daemons as separate processes on loopback.

mod support;

use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};
use support::{Deployment, Layout, Response, http::post_stream, post, wait::wait};

/// Sends a streamed completion from a new thread.
fn stream(to: SocketAddr, key: &str, model: &str, tokens: u64) -> thread::JoinHandle<Response> {
    let body = json!({ "model": model, "prompt": "p", "max_tokens": tokens, "stream": true });
    let key = key.to_owned();
    thread::spawn(move || post(to, "/v1/completions", &key, &body.to_string()))
}

/// Starts streamed completions in new threads and waits until each of them has
/// received its first event: all of them have then begun at a runner.
fn begin_streams(
    count: usize,
    to: SocketAddr,
    key: &str,
    model: &str,
    tokens: u64,
) -> Vec<thread::JoinHandle<Response>> {
    let body = json!({ "model": model, "prompt": "p", "max_tokens": tokens, "stream": true });
    let body = body.to_string();
    let begun = Arc::new(AtomicUsize::new(0));
    let start = |_| {
        let (key, body, begun) = (key.to_owned(), body.clone(), begun.clone());
        thread::spawn(move || post_stream(to, "/v1/completions", &key, &body, &begun))
    };
    let open = (0..count).map(start).collect();
    wait("the streams to begin", || {
        let begun = begun.load(Ordering::Relaxed);
        (begun == count).then_some(()).ok_or(json!(begun))
    });
    open
}

/// Asserts that a stream is complete.
fn assert_complete(response: &Response, tokens: usize) {
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.body.matches("\"text\":\"w").count(), tokens);
    assert!(response.body.ends_with("data: [DONE]\n\n"));
}

#[test]
fn a_cold_request_is_loaded_and_streamed_whole() {
    let deployment = Deployment::start("cold-request");
    let key = deployment.grant_key("daily");
    let response = deployment.complete(&key, "caption", 8);
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.body.matches("\"text\":\"w").count(), 8);
    assert!(response.body.ends_with("data: [DONE]\n\n"));
}

#[test]
fn a_request_without_a_key_does_not_run() {
    let deployment = Deployment::start("no-key");
    let response = deployment.complete("swk_0_0", "caption", 8);
    assert_eq!(response.status, 401);
    assert!(
        response.body.contains("\"ran\":\"no\""),
        "{}",
        response.body
    );
}

#[test]
fn a_withdrawn_key_stops_working() {
    let deployment = Deployment::start("withdrawn-key");
    let key = deployment.grant_key("daily");
    assert_eq!(deployment.complete(&key, "caption", 1).status, 200);
    let id = key.split('_').nth(1).expect("a key has an identifier");
    deployment.ctl(&["keys", "withdraw", id]);
    assert_eq!(deployment.complete(&key, "caption", 1).status, 401);
}

#[test]
fn a_router_that_stops_cuts_no_stream_and_no_waiting_request() {
    let mut deployment = Deployment::start("router-stops");
    let key = deployment.grant_key("daily");
    assert_complete(&deployment.complete(&key, "caption", 1), 1);
    let open = begin_streams(8, deployment.callers(), &key, "caption", 400);
    let router = deployment.terminate_router();
    for response in open {
        assert_complete(&response.join().expect("the request is answered"), 400);
    }
    let log = router.wait();
    assert!(log.contains("with 0 requests abandoned"), "{log}");
}

#[test]
fn a_router_that_stops_serves_a_request_that_waits_for_a_load() {
    let mut deployment = Deployment::start("router-stops-cold");
    let key = deployment.grant_key("daily");
    let cold = stream(deployment.callers(), &key, "caption", 8);
    thread::sleep(Duration::from_millis(100));
    let router = deployment.terminate_router();
    assert_complete(&cold.join().expect("the request is answered"), 8);
    router.wait();
}

#[test]
fn a_runner_that_stops_cuts_no_stream() {
    let mut deployment = Deployment::start("runner-stops");
    let key = deployment.grant_key("daily");
    assert_complete(&deployment.complete(&key, "caption", 1), 1);
    let open = begin_streams(8, deployment.callers(), &key, "caption", 400);
    let runner = deployment.terminate("runner-0-0");
    for response in open {
        assert_complete(&response.join().expect("the request is answered"), 400);
    }
    runner.wait();
}

#[test]
fn a_runner_that_stops_while_it_loads_cuts_no_request() {
    let mut layout = Layout::from_counts(&[(1, 2, 0)]);
    layout.runner = json!({ "load": 2_000 });
    let mut deployment = Deployment::start_with("runner-stops-cold", &layout);
    let key = deployment.grant_key("daily");
    let cold = stream(deployment.callers(), &key, "caption", 8);
    let loading = deployment.wait_for_load();
    let runner = deployment.terminate(&loading);
    assert_complete(&cold.join().expect("the request is answered"), 8);
    runner.wait();
}

#[test]
fn a_service_that_stops_cuts_no_call() {
    let mut layout = Layout::single();
    layout.service = json!({ "work": 4_000_000 });
    let mut deployment = Deployment::start_with("service-stops", &layout);
    let key = deployment.grant_key("daily");
    let to = deployment.callers();
    let call = |i: usize| {
        let key = key.clone();
        thread::spawn(move || post(to, "/licences/grant", &key, &i.to_string()))
    };
    let open: Vec<_> = (0..8).map(call).collect();
    deployment.wait_for_runs(8);
    let service = deployment.terminate("licences-0-0");
    for response in open {
        let response = response.join().expect("the request is answered");
        assert_eq!(response.status, 200, "{}", response.body);
    }
    service.wait();
}

#[test]
fn a_leader_of_a_cell_that_stops_during_a_load_cuts_no_request() {
    let mut layout = Layout::three_routers();
    layout.runner = json!({ "load": 2_000 });
    let mut deployment = Deployment::start_with("cell-leader-stops", &layout);
    let key = deployment.grant_key("daily");
    let leader = deployment.leader(0);
    let leader_index = deployment.router_index(&leader);
    let at = |router| deployment.callers_of(router);
    let cold: Vec<_> = (0..deployment.routers())
        .map(|r| stream(at(r), &key, "caption", 8))
        .collect();
    deployment.wait_for_load();
    let router = deployment.terminate(&leader);
    for response in cold {
        assert_complete(&response.join().expect("the request is answered"), 8);
    }
    router.wait();
    deployment.wait_for_other_leader((leader_index + 1) % 3, &leader);
}
