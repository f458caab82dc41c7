use crate::{
    Attempt, Dialect, GatewayExchange, GatewaySettings, GatewayState, RequestMeta, ResponseHead,
    ResponseKind,
};
use hyper::{HeaderMap, Response, StatusCode};
use sequoiawing_http::{Body, empty};
use sequoiawing_link::{QuarantineEntry, QuarantineUpdate};
use sequoiawing_router::Refused;
use sequoiawing_runtime::{run, sleep};
use sequoiawing_types::Name;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A dialect that knows no headers.
struct NoHeaders;

impl Dialect for NoHeaders {
    fn parse_request(&self, _: &HeaderMap) -> Result<RequestMeta, Refused> {
        Ok(RequestMeta::default())
    }

    fn strip_headers(&self, _: &mut HeaderMap) {}

    fn add_attempt_headers(&self, _: &mut HeaderMap, _: &Attempt<'_>) {}

    fn add_liveness_headers(&self, _: &mut HeaderMap) {}

    fn classify(&self, _: &RequestMeta, _: &Name, _: StatusCode, _: &HeaderMap) -> ResponseHead {
        ResponseHead {
            kind: ResponseKind::Answer,
            notice: crate::UpstreamNotice::default(),
        }
    }

    fn refusal_response(&self, _: &Refused, _: Option<&Name>) -> Response<Body> {
        Response::new(empty())
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// Ends a quarantine of the request that has just begun.
async fn hold(state: &GatewayState, exchange: &GatewayExchange) {
    let cause = exchange.own_cause();
    let entry = QuarantineEntry {
        id: cause.id,
        kind: cause.kind,
        term: 1,
        remaining: 20,
        ..QuarantineEntry::default()
    };
    let update = QuarantineUpdate {
        quarantined: vec![entry],
        ..QuarantineUpdate::default()
    };
    let hub = SocketAddr::from(([127, 0, 0, 1], 1));
    state.apply_quarantine(hub, &update);
    sleep(Duration::from_millis(40)).await;
}

// Guards against copies of a request that wait for an upstream while it is held back,
// and are all sent afterwards.
#[test]
fn copies_that_waited_through_a_quarantine_do_not_all_pass() {
    run(async {
        let state = GatewayState::new(GatewaySettings::default(), Arc::new(NoHeaders));
        let copies: Vec<_> = (0..20).map(|_| GatewayExchange::default()).collect();
        for copy in &copies {
            assert!(state.check_quarantine(copy).is_ok());
        }
        hold(&state, &copies[0]).await;
        let is_sent = |copy: &&GatewayExchange| state.recheck_quarantine(copy, false).is_ok();
        let passed = copies.iter().filter(is_sent).count();
        assert!(passed <= 1, "{passed} copies passed");
    });
}

// Guards against a stream that is left at a silent upstream because another one has
// crashed under it before.
#[test]
fn a_suspected_request_may_be_hedged_but_not_repeated() {
    let state = GatewayState::new(GatewaySettings::default(), Arc::new(NoHeaders));
    let exchange = GatewayExchange::default();
    let update = QuarantineUpdate {
        suspects: vec![exchange.own_cause().id],
        ..QuarantineUpdate::default()
    };
    state.apply_quarantine(SocketAddr::from(([127, 0, 0, 1], 1)), &update);
    assert!(state.recheck_quarantine(&exchange, true).is_err());
    assert!(state.may_hedge(&exchange));
}
