//! Tests that a service gets no new calls once it has announced that it leaves,
//! according to its own journal.

mod support;

use serde_json::json;
use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};
use support::{Deployment, Layout, wait::wait};

/// The time after which a leaving upstream gets no new calls, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// How long the leaving service still accepts calls, in milliseconds: long enough
/// to detect late ones.
const FAREWELL_MS: u64 = 8_000;

const LEAVING: &str = "licences-0-0";
const STAYING: &str = "licences-0-1";

/// Two data centres with two routers each; the services are in the first.
fn layout() -> Layout {
    let mut layout = Layout::from_counts(&[(2, 0, 2), (2, 0, 0)]);
    layout.service = json!({ "farewell": FAREWELL_MS });
    layout
}

/// Returns the calls that a service ran at or after a time in milliseconds.
fn runs(deployment: &Deployment, service: &str, from: u64) -> Vec<(u64, String)> {
    let mut lines = deployment.journal(service);
    lines.retain(|(at, what)| *at >= from && what.starts_with("run "));
    lines
}

#[test]
fn a_leaving_service_gets_no_new_calls_from_any_router() {
    let mut deployment = Deployment::start_with("leaving", &layout());
    let key = deployment.grant_key("daily");
    let done = AtomicBool::new(false);
    let mut stopping = None;
    let callers: Vec<_> = (0..deployment.routers())
        .map(|r| deployment.callers_of(r))
        .collect();
    thread::scope(|scope| {
        for (router, to) in callers.iter().enumerate() {
            let (key, done) = (&key, &done);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let body = format!("from {router}");
                    let response = support::post(*to, "/licences/grant", key, &body);
                    assert_eq!(response.status, 200, "router {router}: {}", response.body);
                }
            });
        }
        wait("calls from all routers", || {
            let runs = runs(&deployment, LEAVING, 0);
            let from: BTreeSet<String> = runs.into_iter().map(|(_, what)| what).collect();
            (from.len() == callers.len())
                .then_some(())
                .ok_or(json!(from))
        });
        stopping = Some(deployment.terminate(LEAVING));
        stopping
            .take()
            .expect("the process was asked to stop")
            .wait();
        done.store(true, Ordering::Relaxed);
    });
    let journal = deployment.journal(LEAVING);
    let leave = journal.iter().find(|(_, what)| what == "leave");
    let leave = leave.expect("the journal has the announcement to leave").0;
    let late = runs(&deployment, LEAVING, leave + LEAVE_LIMIT_MS);
    assert!(late.is_empty(), "{} late calls: {late:?}", late.len());
    let elsewhere = runs(&deployment, STAYING, leave + LEAVE_LIMIT_MS);
    let from: BTreeSet<String> = elsewhere.into_iter().map(|(_, what)| what).collect();
    assert_eq!(
        from.len(),
        callers.len(),
        "some routers did not call the other service: {from:?}"
    );
}
