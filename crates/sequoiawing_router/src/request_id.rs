//! The identifier by which a request is found in the logs of all hosts.

use hyper::{HeaderMap, header::HeaderValue};
use sequoiawing_types::{Name, RequestId};

/// The header with the identifier, on requests and responses.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The maximum length of an identifier from a caller, in bytes.
const MAX_BYTES: usize = 128;

/// Returns the caller's identifier, or `generated` if there is none that is safe
/// to log, and sets it in the headers for the upstream.
pub(crate) fn assign(headers: &mut HeaderMap, generated: &RequestId) -> Name {
    let from_caller = headers.get(REQUEST_ID_HEADER).and_then(parse);
    let request_id = from_caller.unwrap_or_else(|| Name::from(generated.as_str()));
    set_header(headers, &request_id);
    request_id
}

/// Sets the identifier in the headers.
pub(crate) fn set_header(headers: &mut HeaderMap, request_id: &Name) {
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

fn parse(value: &HeaderValue) -> Option<Name> {
    let text = value.to_str().ok()?;
    let is_plain = text.bytes().all(|b| b.is_ascii_graphic());
    (is_plain && !text.is_empty() && text.len() <= MAX_BYTES).then(|| Name::from(text))
}
