use crate::{
    Chain, Code, Exchange, Filter, FilterFuture, Next, Refused, RouterState,
    claim::{claim_id, new_claim, read_key, replay, unix_seconds},
    open_requests::OpenRequestGuard,
};
use bytes::{Bytes, BytesMut};
use futures_lite::stream;
use http_body_util::BodyExt;
use hyper::{Response, header};
use sequoiawing_http::{Body, BodyError, from_bytes, from_stream};
use sequoiawing_runtime::{sleep, spawn, timeout};
use sequoiawing_tables::{Claim, ClaimId, ClaimState, Command, Outcome, StoredAnswer};
use sequoiawing_types::Ran;
use std::{sync::Arc, time::Duration};

/// The largest response body that is stored for replay, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// The longest time that claiming a call may take.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time that the caller waits for the outcome of its call to be
/// recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay between attempts to record the outcome of a call.
const SETTLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The maximum number of later attempts to record the outcome of a call.
const MAX_SETTLE_RETRIES: u32 = 120;

/// The delay after which a call that could not be claimed may be retried.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs calls with an idempotency key at most once across all hosts.
///
/// The claim is committed to the replicated log before anything is sent, and
/// the outcome is recorded before the caller receives it; see
/// [docs/design/idempotency.md](../../../../docs/design/idempotency.md).
pub(crate) struct Idempotency {
    state: Arc<RouterState>,
}

impl Idempotency {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    async fn filter(
        &self,
        exchange: &mut Exchange,
        next: Next<'_>,
    ) -> Result<Response<Body>, Refused> {
        if exchange.route.repeatable {
            return next.run(exchange).await;
        }
        let Some(key) = read_key(exchange)? else {
            return next.run(exchange).await;
        };
        let state = &self.state;
        let now = unix_seconds();
        let remaining = exchange.response_deadline().since(state.now());
        let call = ClaimedCall {
            state: state.clone(),
            id: claim_id(exchange, key),
            claim: new_claim(exchange, remaining, now, state.settings.retention),
            remaining,
            now,
        };
        call.start(exchange.detach(), next.into_chain()).await
    }
}

/// A call from its claim until its outcome is recorded.
struct ClaimedCall {
    state: Arc<RouterState>,
    id: ClaimId,
    claim: Claim,
    remaining: Duration,
    now: u64,
}

impl ClaimedCall {
    /// Runs the call in a separate task, so that its outcome is recorded even if
    /// the caller disconnects.
    async fn start(self, exchange: Exchange, rest: Chain) -> Result<Response<Body>, Refused> {
        let (sender, receiver) = async_channel::bounded(1);
        let open_request = OpenRequestGuard::new(self.state.clone(), exchange.request_id.clone());
        spawn(async move {
            let response = self.run(exchange, rest).await;
            sender.try_send(response).ok();
            drop(open_request);
        })
        .detach();
        receiver.recv().await.unwrap_or_else(|_| {
            let problem = "the call was abandoned";
            Err(Refused::new(Code::Unavailable, problem).with_ran(Ran::Unknown))
        })
    }

    async fn run(self, mut exchange: Exchange, rest: Chain) -> Result<Response<Body>, Refused> {
        if let Some(existing) = self.claim().await? {
            return replay(existing, &self.claim.digest, self.now);
        }
        match rest.run(&mut exchange).await {
            Ok(response) => self.record(response).await,
            Err(refused) => {
                self.settle(ClaimState::Ended(refused.ran)).await;
                Err(refused)
            }
        }
    }

    /// Claims the call, and returns the existing claim if there is one.
    async fn claim(&self) -> Result<Option<Claim>, Refused> {
        let command = Command::Claim {
            id: self.id.clone(),
            claim: self.claim.clone(),
            now: self.now,
        };
        let claim_timeout = CLAIM_TIMEOUT.min(self.remaining);
        match timeout(claim_timeout, self.state.propose(command))
            .await
            .flatten()
        {
            Some(Outcome::Claimed) => Ok(None),
            Some(Outcome::Taken(existing)) => Ok(Some(existing)),
            _ => {
                // The claim may still be committed, but the request is not sent.
                self.settle_later(ClaimState::Ended(Ran::No));
                let problem = "the call could not be claimed, so it was not sent";
                Err(Refused::new(Code::Unavailable, problem).with_retry_after(CLAIM_RETRY_DELAY))
            }
        }
    }

    /// Records the response before returning it to the caller.
    async fn record(&self, response: Response<Body>) -> Result<Response<Body>, Refused> {
        let (parts, body) = response.into_parts();
        match collect(body).await {
            CollectedBody::Complete(bytes) => {
                let content_type = parts.headers.get(header::CONTENT_TYPE);
                let content_type = content_type
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or_default();
                let result = match str::from_utf8(&bytes) {
                    Ok(text) => ClaimState::Answered(StoredAnswer {
                        status: parts.status.as_u16(),
                        content: content_type.to_owned(),
                        body: text.to_owned(),
                    }),
                    Err(_) => ClaimState::Ended(Ran::Yes),
                };
                self.settle(result).await;
                Ok(Response::from_parts(parts, from_bytes(bytes)))
            }
            CollectedBody::TooLarge(body) => {
                self.settle(ClaimState::Ended(Ran::Yes)).await;
                Ok(Response::from_parts(parts, body))
            }
            CollectedBody::Failed(error) => {
                self.settle(ClaimState::Ended(Ran::Unknown)).await;
                let problem = format!("the upstream's answer broke off: {error}");
                Err(Refused::new(Code::UpstreamFailed, problem).with_ran(Ran::Unknown))
            }
        }
    }

    /// Records the outcome of the call, and retries in the background if that
    /// fails.
    async fn settle(&self, result: ClaimState) {
        let command = self.settle_command(result.clone());
        let settled = timeout(SETTLE_TIMEOUT, self.state.propose(command)).await;
        if settled.flatten().is_none() {
            self.settle_later(result);
        }
    }

    fn settle_later(&self, result: ClaimState) {
        let state = self.state.clone();
        let command = self.settle_command(result);
        spawn(async move {
            for _ in 0..MAX_SETTLE_RETRIES {
                sleep(SETTLE_RETRY_DELAY).await;
                if state.propose(command.clone()).await.is_some() {
                    return;
                }
            }
            log::error!(target: "idempotency", "Could not record the outcome of a claimed call; giving up.");
        })
        .detach();
    }

    fn settle_command(&self, state: ClaimState) -> Command {
        Command::Settle {
            id: self.id.clone(),
            attempt: self.claim.attempt.clone(),
            state,
        }
    }
}

/// A response body, read up to the size that can be stored.
enum CollectedBody {
    Complete(Bytes),
    /// Too large to store; the body yields all of the content.
    TooLarge(Body),
    Failed(BodyError),
}

async fn collect(mut body: Body) -> CollectedBody {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(error) => return CollectedBody::Failed(error),
        }
        if bytes.len() > MAX_STORED_BYTES {
            return CollectedBody::TooLarge(prepend(bytes.freeze(), body));
        }
    }
    CollectedBody::Complete(bytes.freeze())
}

fn prepend(buffered: Bytes, rest: Body) -> Body {
    let chunks = stream::unfold((Some(buffered), rest), |(buffered, mut rest)| async move {
        if let Some(buffered) = buffered {
            return Some((Ok(buffered), (None, rest)));
        }
        let frame = rest.frame().await?;
        let chunk = frame.map(|f| f.into_data().unwrap_or_default());
        Some((chunk, (None, rest)))
    });
    from_stream(chunks)
}

impl Filter for Idempotency {
    fn name(&self) -> &'static str {
        "idempotency"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(self.filter(exchange, next))
    }
}
