//! Tests of keys that are granted and withdrawn while requests run.

use crate::{
    cases,
    fleet::{Fleet, Response, Setup, wait_until},
};
use http_body_util::BodyExt;
use sequoiawing::{
    router::RouterSettings,
    runtime::{Clock, sleep, spawn, timeout},
    standin::{Engine, EngineSettings, Fault, Service},
};
use serde_json::Value;
use std::time::Duration;

/// The time within which a withdrawn key must stop working.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The message of the refusal after the grace period. Other refusals of a
/// disconnected router have the same status and code.
const UNCONFIRMED_MESSAGE: &str = "the router is cut off and cannot confirm the key any longer";

async fn start(settings: RouterSettings) -> Fleet {
    Fleet::start(Setup {
        engines: 1,
        services: 1,
        routers: vec![None, None],
        settings: RouterSettings {
            farewell: 0,
            ..settings
        },
        engine: EngineSettings {
            load: 20,
            gap: 5_000,
            interval: 50,
            record: true,
            ..EngineSettings::default()
        },
        ..Setup::default()
    })
    .await
}

async fn withdraw(fleet: &Fleet) {
    let key = fleet.key.id.as_str();
    let withdrawn = fleet.operator.withdraw_key(key).await;
    withdrawn.expect("all hosts confirm");
}

/// Returns the message of a refusal.
fn refusal_message(response: &Response) -> String {
    let body: Value = serde_json::from_str(response.text()).expect("refusals are JSON");
    let message = body["error"]["message"].as_str();
    message.unwrap_or_default().to_owned()
}

cases! {
    a_withdrawn_key_ends_open_streams_and_is_refused_on_all_hosts {
        let fleet = start(RouterSettings::default()).await;
        fleet.load_model().await;
        let mut streams = Vec::new();
        for i in 0..2 {
            let call = fleet.completion("/v1/completions", 100_000).to(&fleet, i);
            streams.push(call.begin().await.into_body());
        }
        let clock = Clock::start();
        withdraw(&fleet).await;
        for stream in streams {
            let ended = timeout(WITHDRAWAL_TIMEOUT, stream.collect()).await.expect("the request ends");
            assert!(ended.is_err(), "the stream did not end with an error");
        }
        for i in 0..2 {
            let refused = fleet.call("/look").to(&fleet, i).send().await;
            assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("unauthorized", "no"));
        }
        assert!(clock.elapsed() < WITHDRAWAL_TIMEOUT);
        let idle = || std::future::ready(fleet.engines.iter().all(|e| e.running() == 0));
        wait_until("the engines are idle", idle).await;
    }

    a_withdrawn_key_ends_waiting_requests {
        let fleet = start(RouterSettings::default()).await;
        fleet.services[0].set_fault(Fault::Freeze);
        let call = spawn(fleet.call("/grant").send());
        wait_until("the request runs", || std::future::ready(fleet.runs() == 1)).await;
        withdraw(&fleet).await;
        let ended = timeout(WITHDRAWAL_TIMEOUT, call).await.expect("the request ends");
        assert_eq!((ended.code().as_str(), ended.ran().as_str()), ("unauthorized", "unknown"));
    }

    a_key_withdrawn_at_one_router_reaches_the_log_and_all_others {
        let fleet = start(RouterSettings::default()).await;
        let secret = sequoiawing::link::Secret::from("secret-of-the-tests");
        let stub: sequoiawing::link::Stub<sequoiawing::link::PeerClient> =
            sequoiawing::link::Stub::new(fleet.routers[0].link(), secret);
        let keys = vec![fleet.key.id.clone()];
        let call = stub.call(WITHDRAWAL_TIMEOUT, |client, context| async move {
            client.withdraw(context, keys).await
        });
        assert_eq!(call.await.expect("the router answers"), 1);
        let refused = || async { fleet.call("/look").to(&fleet, 1).send().await.status == 401 };
        wait_until("the other router refuses the key", refused).await;
        let entered = || async {
            let tables = fleet.operator.read().await.expect("the controller answers");
            tables.is_withdrawn(&fleet.key.id)
        };
        wait_until("the key is withdrawn in the log", entered).await;
    }

    no_upstream_sees_a_key {
        let fleet = start(RouterSettings::default()).await;
        let key = fleet.key.reveal();
        let secret = fleet.key.secret.clone();
        let bare = || fleet.call("/look").without("authorization");
        let bearer = format!("Bearer {key}");
        let calls = [
            fleet.call("/look"),
            bare().with_header("x-api-key", &key),
            bare().with_header("api-key", &key),
            fleet.call(&format!("/look?x=1&api_key={key}")),
            fleet.call(&format!("/look?token={key}&y=2")),
            fleet.call("/look").with_header("cookie", &format!("key={key}")),
            fleet.call("/open"),
            fleet.call("/open").with_header("authorization", "Bearer swk_0_wrong"),
            fleet.call("/open").without("authorization").with_header("proxy-authorization", &bearer),
        ];
        for call in calls {
            let response = call.clone().send().await;
            assert_eq!(response.status, 200, "{call:?}: {:?}", response.body);
        }
        let in_body = fleet.call("/look").with_body(format!("mine is {key}.")).send().await;
        assert_eq!((in_body.code().as_str(), in_body.ran().as_str()), ("bad_request", "no"));
        let in_path = fleet.call(&format!("/look/{key}")).send().await;
        assert_eq!(in_path.code(), "bad_request");
        fleet.load_model().await;
        let service_requests: Vec<String> = fleet.services.iter().flat_map(Service::recorded_requests).collect();
        let engine_requests: Vec<String> = fleet.engines.iter().flat_map(Engine::recorded_requests).collect();
        assert_eq!(service_requests.len(), 9);
        assert!(!engine_requests.is_empty());
        for request in service_requests.iter().chain(&engine_requests) {
            assert!(!request.contains(&secret), "{request}");
            assert!(!request.contains("swk_"), "{request}");
        }
    }

    a_route_open_to_all_needs_no_customer {
        let fleet = start(RouterSettings::default()).await;
        let anonymous = fleet.call("/open").without("authorization").send().await;
        assert_eq!(anonymous.text(), "done: grant 7");
        withdraw(&fleet).await;
        assert_eq!(fleet.call("/open").send().await.text(), "done: grant 7");
    }

    a_disconnected_router_accepts_keys_for_the_grace_period_only {
        let mut fleet = start(RouterSettings { key_grace: 1, ..RouterSettings::default() }).await;
        assert_eq!(fleet.call("/look").send().await.status, 200);
        fleet.controller.take().expect("the controller runs").stop().await;
        let unconfirmed = || async {
            let response = fleet.call("/look").send().await;
            response.status == 503 && refusal_message(&response) == UNCONFIRMED_MESSAGE
        };
        wait_until("the grace period has passed", unconfirmed).await;
        let refused = fleet.call("/look").send().await;
        assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("unavailable", "no"));
        assert_eq!(refusal_message(&refused), UNCONFIRMED_MESSAGE);
        let anonymous = fleet.call("/open").without("authorization").send().await;
        assert_eq!(anonymous.status, 200);
    }

    a_disconnected_router_accepts_keys_without_limit_if_the_grace_period_is_zero {
        let mut fleet = start(RouterSettings { key_grace: 0, ..RouterSettings::default() }).await;
        fleet.controller.take().expect("the controller runs").stop().await;
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(fleet.call("/look").send().await.status, 200);
    }
}
