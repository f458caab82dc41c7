//! Calls that run at most once, whatever happens to their hosts.

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

/// Where a host stops for ever, as one that was killed does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    BeforeSend,
    BeforeRecord,
}

/// Stops a host behind its claim, and says when it has.
#[derive(Clone)]
struct StopAt(Stop, Arc<AtomicBool>);

impl StopAt {
    fn new(stop: Stop) -> Self {
        Self(stop, Arc::default())
    }

    async fn stop<T>(&self) -> T {
        self.1.store(true, Ordering::Relaxed);
        pending().await
    }

    async fn wait(&self) {
        let stopped = || std::future::ready(self.1.load(Ordering::Relaxed));
        wait_until("the host stops", stopped).await;
    }
}

impl Filter for StopAt {
    fn name(&self) -> &'static str {
        "stop-at"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            if self.0 == Stop::BeforeSend {
                return self.stop().await;
            }
            let answer = next.run(exchange).await;
            if self.0 == Stop::BeforeRecord {
                return self.stop().await;
            }
            answer
        })
    }
}

impl Plugin for StopAt {
    fn build(&self, router: &mut RouterBuilder) {
        router.add_filter_before("limit", self.clone());
    }
}

async fn start(stop: Option<&StopAt>) -> Fleet {
    let stop = stop.map(|s| s as &dyn Plugin);
    Fleet::start(Setup {
        services: 1,
        routers: vec![stop, None],
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
    a_resend_to_another_host_gets_the_stored_answer {
        let fleet = start(None).await;
        let first = grant(&fleet).send().await;
        let second = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(first.text(), "done: grant 7");
        assert_eq!(second.text(), "done: grant 7");
        assert_eq!(second.headers["sequoiawing-replayed"], "true");
        assert_eq!(second.ran(), "yes");
        assert_eq!(fleet.runs(), 1);
    }

    a_key_on_another_request_is_refused {
        let fleet = start(None).await;
        grant(&fleet).send().await;
        let other = grant(&fleet).with_body("grant 8").to(&fleet, 1).send().await;
        assert_eq!((other.code().as_str(), other.ran().as_str()), ("key_reused", "no"));
        assert_eq!(fleet.runs(), 1);
    }

    a_resend_during_the_call_is_told_to_come_back {
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
        let stop = StopAt::new(Stop::BeforeSend);
        let fleet = start(Some(&stop)).await;
        spawn(grant(&fleet).begin()).detach();
        stop.wait().await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 0);
    }

    a_host_killed_between_send_and_answer_leaves_one_run {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::Freeze);
        spawn(grant(&fleet).begin()).detach();
        wait_until("the call runs", || std::future::ready(fleet.runs() == 1)).await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_host_killed_between_answer_and_record_leaves_one_run {
        let stop = StopAt::new(Stop::BeforeRecord);
        let fleet = start(Some(&stop)).await;
        spawn(grant(&fleet).begin()).detach();
        stop.wait().await;
        let resent = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((resent.code().as_str(), resent.ran().as_str()), ("in_progress", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_call_that_did_not_run_may_be_sent_again {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::Refuse);
        let refused = grant(&fleet).with_header("sequoiawing-deadline-ms", "300").send().await;
        assert_eq!(refused.ran(), "no", "{:?}", refused.body);
        fleet.services[0].set_fault(Fault::None);
        let again = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!(again.text(), "done: grant 7");
        assert_eq!(fleet.runs(), 1);
    }

    a_call_whose_upstream_died_is_not_run_again {
        let fleet = start(None).await;
        fleet.services[0].set_fault(Fault::HangUp);
        let first = grant(&fleet).send().await;
        assert_eq!((first.code().as_str(), first.ran().as_str()), ("upstream_failed", "unknown"));
        let again = grant(&fleet).to(&fleet, 1).send().await;
        assert_eq!((again.code().as_str(), again.ran().as_str()), ("outcome_unknown", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_call_goes_on_when_its_caller_leaves {
        let fleet = Fleet::start(Setup {
            services: 1,
            routers: vec![None, None],
            service: ServiceSettings { work: 200_000, interval: 50, ..ServiceSettings::default() },
            ..Setup::default()
        }).await;
        let left = spawn(grant(&fleet).begin());
        wait_until("the call runs", || std::future::ready(fleet.runs() == 1)).await;
        drop(left);
        let ended = || async { grant(&fleet).to(&fleet, 1).send().await.status == 200 };
        wait_until("the answer is stored", ended).await;
        assert_eq!(fleet.runs(), 1);
    }

    a_large_answer_is_passed_on_and_not_kept {
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
        fleet.controller.take().expect("it runs").stop().await;
        sleep(Duration::from_millis(50)).await;
        let refused = grant(&fleet).send().await;
        assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("unavailable", "no"));
        assert_eq!(refused.headers["retry-after"], "1");
        assert_eq!(fleet.runs(), 0);
    }

    an_unkeyed_call_is_never_sent_twice {
        let fleet = Fleet::start(Setup { services: 2, ..Setup::default() }).await;
        for service in &fleet.services {
            service.set_fault(Fault::HangUp);
        }
        let answer = fleet.call("/grant").send().await;
        assert_eq!((answer.code().as_str(), answer.ran().as_str()), ("upstream_failed", "unknown"));
        assert_eq!(fleet.runs(), 1);
    }

    a_bad_idempotency_key_is_named {
        let fleet = start(None).await;
        let answer = grant(&fleet).with_header("idempotency-key", "").send().await;
        assert_eq!(answer.code(), "bad_request");
        assert!(answer.text().contains("idempotency-key"), "{}", answer.text());
    }
}
