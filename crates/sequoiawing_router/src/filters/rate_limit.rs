use crate::{
    Code, Exchange, Filter, FilterFuture, Next, Refused, Reservation, RouterState,
    filters::token_counter::TokenCounter,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body as HttpBody, Frame, SizeHint},
};
use sequoiawing_budget::Denial;
use sequoiawing_http::{Body, BodyError};
use sequoiawing_runtime::timeout;
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

/// The retry delay returned when no lender answered before the deadline.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reserves tokens for a request, and refunds the unused ones when its response
/// has ended.
pub(crate) struct RateLimit {
    state: Arc<RouterState>,
}

impl RateLimit {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    async fn limit(
        &self,
        exchange: &mut Exchange,
        next: Next<'_>,
    ) -> Result<Response<Body>, Refused> {
        let Some(customer) = exchange.customer.clone() else {
            return next.run(exchange).await;
        };
        let tokens = exchange.prompt_tokens + exchange.output_tokens;
        if tokens > customer.burst {
            let problem = format!("{tokens} tokens are more than the burst {}", customer.burst);
            return Err(Refused::new(Code::BadRequest, problem));
        }
        let now = self.state.now();
        let reserving = self.state.limiter.reserve(now, &customer, tokens);
        let remaining = exchange.response_deadline().since(now);
        let reserved = timeout(remaining, reserving).await;
        let unavailable = Err(Denial::Unavailable(UNAVAILABLE_RETRY_DELAY));
        let reservation = reserved.unwrap_or(unavailable).map_err(refuse)?;
        let mut guard = ReservationGuard {
            state: self.state.clone(),
            reservation: Some(reservation),
            prompt_tokens: exchange.prompt_tokens,
            output: TokenCounter::default(),
            ran: true,
        };
        let response = next.run(exchange).await;
        guard.ran = response
            .as_ref()
            .map_or_else(|e| e.ran != sequoiawing_types::Ran::No, |_| true);
        Ok(response?.map(|body| CountedBody { body, guard }.boxed_unsync()))
    }
}

impl Filter for RateLimit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(self.limit(exchange, next))
    }
}

fn refuse(denial: Denial) -> Refused {
    let (code, problem, retry_after) = match denial {
        Denial::Exhausted(retry_after) => {
            let problem = "the customer's rate and burst are used up";
            (Code::RateLimited, problem, retry_after)
        }
        Denial::Unavailable(retry_after) => {
            let problem = "no lender of the customer's budget answered in time";
            (Code::Unavailable, problem, retry_after)
        }
    };
    Refused::new(code, problem).with_retry_after(retry_after)
}

/// Settles a reservation when it is dropped with the response body.
struct ReservationGuard {
    state: Arc<RouterState>,
    reservation: Option<Reservation>,
    prompt_tokens: u64,
    output: TokenCounter,
    ran: bool,
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let used = if self.ran {
            self.prompt_tokens + self.output.count()
        } else {
            0
        };
        if let (Some(meters), Some(reservation)) = (&self.state.meters, &self.reservation) {
            meters.record_served_tokens(&reservation.customer, used);
        }
        if let Some(reservation) = self.reservation.take() {
            self.state
                .limiter
                .settle(self.state.now(), reservation, used);
        }
    }
}

struct CountedBody {
    body: Body,
    guard: ReservationGuard,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(chunk) = frame.data_ref()
        {
            self.guard.output.add(chunk);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
