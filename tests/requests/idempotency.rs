//! Tests that calls with an idempotency key run at most once, also when hosts
//! fail.

use crate::{
    cases,
    fleet::{Call, Fleet, Setup, wait_until},
};
use sequoiawing::{
    router::{Exchange, Filter, FilterFuture, Next, Plugin, RouterBuilder},
    runtime::{sleep, spawn},
    standin::{Fault, ServiceSettings},
};
use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The point at which a host hangs forever, which simulates a killed host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HangPoint {
    BeforeSend,
    BeforeRecord,
}

/// A plugin that hangs a request after its claim and records that it has.
#[derive(Clone)]
struct HangAt(HangPoint, Arc<AtomicBool>);

impl HangAt {
    fn new(point: HangPoint) -> Self {
        Self(point, Arc::default())
    }

    async fn hang<T>(&self) -> T {
        self.1.store(true, Ordering::Relaxed);
        pending().await
    }

    async fn wait(&self) {
        let is_hanging = || std::future::ready(self.1.load(Ordering::Relaxed));
        wait_until("the host hangs", is_hanging).await;
    }
}

impl Filter for HangAt {
    fn name(&self) -> &'static str {
        "hang-at"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            if self.0 == HangPoint::BeforeSend {
                return self.hang().await;
            }
            let response = next.run(exchange).await;
            if self.0 == HangPoint::BeforeRecord {
                return self.hang().await;
            }
            response
        })
    }
}

impl Plugin for HangAt {
    fn build(&self, router: &mut RouterBuilder) {
        router.add_filter_before("limit", self.clone());
    }
}

async fn start(hang: Option<&HangAt>) -> Fleet {
    let hang = hang.map(|h| h as &dyn Plugin);
    Fleet::start(Setup {
        services: 1,
        routers: vec![hang, None],
        ..Setup::default()
    })
    .await
}

fn grant(fleet: &Fleet) -> Call {
    fleet
        .call("/grant")
        .with_header("idempotency-key", "grant-7")
}

cases! {
    a_resend_to_another_host_gets_the_stored_response {
        let fleet = start(None).await;
        let first = grant(&fleet).send().await;
        let second = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(first.text(), "done: grant 7");
        assert_eq!(second.text(), "done: grant 7");
        assert_eq!(second.headers["sequoiawing-replayed"], "true");
        assert_eq!(second.ran(), "yes");
        assert_eq!(fleet.runs(), 1);
    }

    an_idempotency_key_reused_for_another_request_is_refused {
        let fleet = start(None).await;
        grant(&fleet).send().await;
        let other = grant(&fleet).with_body("grant 8").to(&fleet, 1).send().await;
        assert_eq!((other.code().as_str(), other.ran().as_str()), ("key_reused", "no"));
        assert_eq!(fleet.runs(), 1);
    }

    a_resend_during_the_call_is_refused_as_in_progress {
        let fleet = Fleet::start(Setup {
            services: 1,
            routers: vec![None, None],
            service: ServiceSettings { work: 500_000, interval: 50, ..ServiceSettings::default() },
            ..Setup::default()
        }).await;
        let first = spawn(grant(&fleet).send());
        wait_until("the call runs", || std::future::ready(fleet.runs() == 1)).await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(resent.code(), "in_progress");
        assert_eq!(resent.ran(), "unknown");
        assert_eq!(resent.headers["retry-after"], "1");
        assert_eq!(first.await.text(), "done: grant 7");
        let again = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(again.text(), "done: grant 7");
        assert_eq!(fleet.runs(), 1);
    }

    a_host_killed_between_claim_and_send_never_runs_the_call_later {
        let hang = HangAt::new(HangPoint::BeforeSend);
        let fleet = start(Some(&hang)).await;
        spawn(grant(&fleet).begin()).detach();
        hang.wait().await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 0);
    }

    a_host_killed_between_send_and_response_leaves_one_run {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::Freeze);
        spawn(grant(&fleet).begin()).detach();
        wait_until("the call runs", || std::future::ready(fleet.runs() == 1)).await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_host_killed_between_response_and_record_leaves_one_run {
        let hang = HangAt::new(HangPoint::BeforeRecord);
        let fleet = start(Some(&hang)).await;
        spawn(grant(&fleet).begin()).detach();
        hang.wait().await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_call_that_did_not_run_may_be_sent_again {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::Refuse);
        let refused = grant(&fleet).send().await;
        assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("upstream_failed", "no"));
        fleet.services[0].set_fault(Fault::None);
        let again = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(again.text(), "done: grant 7");
        assert_eq!(fleet.runs(), 1);
    }

    a_call_whose_upstream_closed_the_connection_is_not_run_again {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::Disconnect);
        let first = grant(&fleet).send().await;
        assert_eq!((first.code().as_str(), first.ran().as_str()), ("upstream_failed", "unknown"));
        let again = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((again.code().as_str(), again.ran().as_str()), ("outcome_unknown", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_call_continues_when_its_caller_disconnects {
        let fleet = Fleet::start(Setup {
            services: 1,
            routers: vec![None, None],
            service: ServiceSettings { work: 200_000, interval: 50, ..ServiceSettings::default() },
            ..Setup::default()
        }).await;
        let abandoned = spawn(grant(&fleet).begin());
        wait_until("the call runs", || std::future::ready(fleet.runs() == 1)).await;
        drop(abandoned);
        let ended = || async { grant(&fleet).to(&fleet, 1).send().await.status == 200 };
        wait_until("the response is stored", ended).await;
        assert_eq!(fleet.runs(), 1);
    }

    a_large_response_is_relayed_but_not_stored {
        let fleet = start(None).await;
        let body = "x".repeat(100_000);
        let first = grant(&fleet).with_body(body.clone()).send().await;
        assert_eq!(first.text().len(), body.len() + "done: ".len());
        let again = grant(&fleet).with_body(body).to(&fleet, 1).send().await;
        assert_eq!((again.code().as_str(), again.ran().as_str()), ("answer_not_kept", "yes"));
        assert_eq!(fleet.runs(), 1);
    }

    a_call_that_cannot_be_claimed_is_not_sent {
        let mut fleet = start(None).await;
        fleet.controller.take().expect("the controller runs").stop().await;
        sleep(Duration::from_millis(50)).await;
        let refused = grant(&fleet).send().await;
        assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("unavailable", "no"));
        assert_eq!(refused.headers["retry-after"], "1");
        assert_eq!(fleet.runs(), 0);
    }

    a_call_without_an_idempotency_key_is_never_sent_twice {
        let fleet = Fleet::start(Setup { services: 2, ..Setup::default() }).await;
        for service in &fleet.services {
            service.set_fault(Fault::Disconnect);
        }
        let response = fleet.call("/grant").send().await;
        assert_eq!((response.code().as_str(), response.ran().as_str()), ("upstream_failed", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    an_invalid_idempotency_key_is_refused {
        let fleet = start(None).await;
        let response = grant(&fleet).with_header("idempotency-key", "").send().await;
        assert_eq!(response.code(), "bad_request");
        assert!(response.text().contains("idempotency-key"), "{}", response.text());
    }
}
