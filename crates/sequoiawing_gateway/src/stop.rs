//! The end of a gateway: until when requests are answered, and which still can be.

use crate::{GatewayExchange, GatewayState, slots::Slot};
use parking_lot::Mutex;
use sequoiawing_policy::serving::RunTimes;
use sequoiawing_router::{Code, Refused};
use sequoiawing_runtime::Countdown;
use sequoiawing_types::Ran;
use std::{sync::atomic::Ordering, time::Duration};

/// The time before the end of the drain in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The retry delay for callers that a stopping gateway refuses. Others serve them at once.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// What a gateway knows of its end.
#[derive(Default)]
pub(crate) struct StopState {
    /// Ends when all requests have to be answered.
    pub(crate) last_answer: Countdown,
    run_times: Mutex<RunTimes>,
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
        self.stop.last_answer.begin(left);
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
        let Some(left) = self.stop.last_answer.left() else {
            return Ok(());
        };
        let run_times = self.stop.run_times.lock();
        if !left.is_zero() && run_times.may_end_within(&exchange.route.name, left) {
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
