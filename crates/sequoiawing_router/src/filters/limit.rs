use crate::{
    Answer, Code, Exchange, Filter, Next, Refused, Reservation, RouterState, filters::usage::Usage,
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

/// When to come back after no lender answered before the deadline.
const RETRY: Duration = Duration::from_millis(500);

/// Reserves the tokens of a request, and gives back what it did not use when
/// its answer has ended.
pub(crate) struct Limit {
    state: Arc<RouterState>,
}

impl Limit {
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
        let tokens = exchange.prompt_tokens + exchange.answer_tokens;
        if tokens > customer.burst {
            let problem = format!("{tokens} tokens are more than the burst {}", customer.burst);
            return Err(Refused::new(Code::BadRequest, problem));
        }
        let now = self.state.now();
        let reserving = self.state.limiter.reserve(now, &customer, tokens);
        let left = exchange.latest().since(now);
        let reserved = timeout(left, reserving).await;
        let late = Err(Denial::Unavailable(RETRY));
        let reservation = reserved.unwrap_or(late).map_err(refuse)?;
        let mut meter = Meter {
            state: self.state.clone(),
            reservation: Some(reservation),
            prompt: exchange.prompt_tokens,
            usage: Usage::default(),
            ran: true,
        };
        let answer = next.run(exchange).await;
        meter.ran = answer
            .as_ref()
            .map_or_else(|e| e.ran != sequoiawing_types::Ran::No, |_| true);
        Ok(answer?.map(|body| MeteredBody { body, meter }.boxed_unsync()))
    }
}

impl Filter for Limit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> Answer<'a> {
        Box::pin(self.limit(exchange, next))
    }
}

fn refuse(denial: Denial) -> Refused {
    let (code, problem, retry) = match denial {
        Denial::Exhausted(retry) => {
            let problem = "the customer's rate and burst are used up";
            (Code::RateLimited, problem, retry)
        }
        Denial::Unavailable(retry) => {
            let problem = "no lender of the customer's budget answered in time";
            (Code::Unavailable, problem, retry)
        }
    };
    Refused::new(code, problem).with_retry(retry)
}

/// Settles a reservation when it is dropped with the answer's body.
struct Meter {
    state: Arc<RouterState>,
    reservation: Option<Reservation>,
    prompt: u64,
    usage: Usage,
    ran: bool,
}

impl Drop for Meter {
    fn drop(&mut self) {
        let used = if self.ran {
            self.prompt + self.usage.tokens()
        } else {
            0
        };
        if let (Some(meters), Some(held)) = (&self.state.meters, &self.reservation) {
            meters.record_served_tokens(&held.customer, used);
        }
        if let Some(reservation) = self.reservation.take() {
            self.state
                .limiter
                .settle(self.state.now(), reservation, used);
        }
    }
}

struct MeteredBody {
    body: Body,
    meter: Meter,
}

impl HttpBody for MeteredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(part) = frame.data_ref()
        {
            self.meter.usage.add(part);
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
