//! The end of a gateway: until when requests are answered, and which still can be.

use crate::{GatewayExchange, GatewayState, slots::Slot};
use futures_lite::FutureExt;
use sequoiawing_policy::serving::RunTimes;
use sequoiawing_router::{Code, Refused};
use sequoiawing_runtime::{Watch, sleep};
use sequoiawing_types::{Ran, Time};
use std::{future::Future, sync::atomic::Ordering, time::Duration};

/// The time before the end of the drain in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The retry delay for callers that a stopping gateway refuses. Others serve them at once.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// What a gateway knows of its end.
#[derive(Default)]
pub(crate) struct StopState {
    /// When all requests have to be answered; `None` unless the gateway is stopping.
    last_answer: Watch<Option<Time>>,
    run_times: parking_lot::Mutex<RunTimes>,
}

impl GatewayState {
    /// Begins to stop: the readiness check fails, and requests have to be answered before
    /// the drain ends.
    pub(crate) fn begin_stop(&self) {
        let time = Duration::from_millis(self.settings.farewell + self.settings.drain);
        let left = time.saturating_sub(ANSWER_TIME);
        log::info!(
            target: "gateway", open = self.open_requests.load(Ordering::Relaxed),
            answers_for_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            "Stopping."
        );
        self.is_stopping.store(true, Ordering::Relaxed);
        self.stop.last_answer.set(Some(self.now() + left));
    }

    /// Waits until the last answers have to be written.
    async fn wait_for_last_answer(&self) {
        let last = self.stop.last_answer.wait_until(Option::is_some).await;
        sleep(last.unwrap_or_default().since(self.now())).await;
    }

    /// Runs a future; returns `None` if the last answers have to be written before it
    /// completes.
    pub(crate) async fn before_last_answer<F>(&self, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let ended = async {
            self.wait_for_last_answer().await;
            None
        };
        ended.or(async { Some(future.await) }).await
    }

    /// Records how long an upstream took for a complete answer.
    pub(crate) fn record_run_time(&self, exchange: &GatewayExchange, slot: &Slot) {
        let elapsed = self.now().since(slot.assigned);
        self.stop
            .run_times
            .lock()
            .record(&exchange.route.name, elapsed);
    }

    /// Checks that a request may end before this gateway does.
    ///
    /// # Errors
    ///
    /// Returns its refusal if no request of its route ended that fast lately.
    pub(crate) fn check_stop(&self, exchange: &GatewayExchange) -> Result<(), Refused> {
        let Some(last) = self.stop.last_answer.get() else {
            return Ok(());
        };
        let left = last.since(self.now());
        let run_times = self.stop.run_times.lock();
        if run_times.may_end_within(&exchange.route.name, left) {
            return Ok(());
        }
        let problem = format!(
            "this host ends in {} ms, and the request cannot end before",
            left.as_millis()
        );
        Err(Refused::new(Code::Unavailable, problem).with_retry_after(STOPPING_RETRY))
    }

    /// Returns the answer to a request that has none when the last ones are written.
    pub(crate) fn last_answer(exchange: &GatewayExchange) -> Refused {
        if exchange.possible_runs.load(Ordering::Relaxed) > 0 {
            let problem = "the upstream did not answer before this host ends";
            return Refused::new(Code::TimedOut, problem).with_ran(Ran::Unknown);
        }
        let refused = Refused::new(Code::Unavailable, "this host ends");
        refused.with_retry_after(STOPPING_RETRY)
    }
}
