//! The claims of calls that run at most once.

#[cfg(test)]
mod tests;

use crate::{Code, Exchange, Refused, headers::RAN_HEADER, headers::REPLAYED_HEADER};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use sequoiawing_http::{Body, from_bytes};
use sequoiawing_tables::{Claim, ClaimId, ClaimState, StoredAnswer};
use sequoiawing_types::{Name, Ran, RequestId};
use sha2::{Digest, Sha256};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The header with the key that identifies a call when its caller repeats it.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The retry delay returned for a call that is still in progress.
const IN_PROGRESS_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time after its deadline during which a call still counts as in progress,
/// in seconds, since its response may take a while to end.
const DEADLINE_SLACK_SECS: u64 = 30;

/// Returns the idempotency key of a request, if it has one.
///
/// # Errors
///
/// Refuses a key that is empty, too long or not printable ASCII.
pub(crate) fn read_key(exchange: &Exchange) -> Result<Option<String>, Refused> {
    let Some(value) = exchange.headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let problem = format!(
            "{IDEMPOTENCY_KEY_HEADER} must be 1 to {MAX_KEY_BYTES} printable ASCII characters"
        );
        return Err(Refused::new(Code::BadRequest, problem));
    }
    Ok(Some(text.to_owned()))
}

/// Returns the Unix time, in seconds.
pub(crate) fn unix_seconds() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| d.as_secs())
}

/// Returns the identifier by which a repeated call is recognised.
pub(crate) fn claim_id(exchange: &Exchange, key: String) -> ClaimId {
    let customer = exchange.customer.as_ref();
    ClaimId {
        customer: customer.map_or_else(Name::default, |c| c.name.clone()),
        route: exchange.route.name.clone(),
        key,
    }
}

/// Returns a claim of the request for a new, unique attempt.
pub(crate) fn new_claim(
    exchange: &Exchange,
    remaining: Duration,
    now: u64,
    retention: u64,
) -> Claim {
    let until = now + remaining.as_secs() + DEADLINE_SLACK_SECS;
    Claim {
        attempt: RequestId::random().as_str().to_owned(),
        digest: digest(exchange),
        state: ClaimState::Open,
        until,
        expiry: until + retention,
    }
}

fn digest(exchange: &Exchange) -> String {
    let content_type = exchange.headers.get(header::CONTENT_TYPE);
    let parts = [
        exchange.method.as_str().as_bytes(),
        exchange.path.as_bytes(),
        content_type.map_or(&[][..], HeaderValue::as_bytes),
        &exchange.body,
    ];
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex::encode(hasher.finalize())
}

/// Responds to a request whose call was already claimed.
///
/// # Errors
///
/// Refuses the request if its content differs or no response is stored.
pub(crate) fn replay(existing: Claim, digest: &str, now: u64) -> Result<Response<Body>, Refused> {
    if existing.digest != digest {
        let problem = "the idempotency key came with another request before";
        return Err(Refused::new(Code::KeyReused, problem));
    }
    match existing.state {
        ClaimState::Answered(stored) => Ok(stored_response(stored)),
        ClaimState::Open if now < existing.until => {
            let problem = "the call with this idempotency key has not ended";
            let refused = Refused::new(Code::InProgress, problem).with_ran(Ran::Unknown);
            Err(refused.with_retry_after(IN_PROGRESS_RETRY_DELAY))
        }
        ClaimState::Ended(Ran::Yes) => {
            let problem = "the call ran, and its answer was too large to be kept";
            Err(Refused::new(Code::AnswerNotKept, problem).with_ran(Ran::Yes))
        }
        ClaimState::Open | ClaimState::Ended(_) => {
            let problem = "how the call with this idempotency key ended is not known";
            Err(Refused::new(Code::OutcomeUnknown, problem).with_ran(Ran::Unknown))
        }
    }
}

fn stored_response(stored: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(from_bytes(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&stored.content)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(RAN_HEADER, HeaderValue::from_static(Ran::Yes.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}
