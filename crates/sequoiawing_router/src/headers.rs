//! The headers exchanged between callers, routers and upstreams.
//!
//! See [docs/UPSTREAMS.md](../../../docs/UPSTREAMS.md).

use hyper::{HeaderMap, header::HeaderName};

/// The identifier of an attempt; the upstream echoes it, so that a response to
/// another attempt is detected.
pub(crate) const ATTEMPT_HEADER: &str = "sequoiawing-attempt";

/// Whether a request ran on an upstream.
pub(crate) const RAN_HEADER: &str = "sequoiawing-ran";

/// The time within which the response must begin, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "sequoiawing-deadline-ms";

/// The identifier of the attempt whose stream is to be resumed.
pub(crate) const RESUME_ATTEMPT_HEADER: &str = "sequoiawing-resume-attempt";

/// The number of events that the caller has received of a stream to be resumed.
pub(crate) const RESUME_OFFSET_HEADER: &str = "sequoiawing-resume-offset";

/// Marks a stored response of a call that ran earlier.
pub(crate) const REPLAYED_HEADER: &str = "sequoiawing-replayed";

/// The common prefix of these headers.
const INTERNAL_PREFIX: &str = "sequoiawing-";

/// Removes the headers that only routers and upstreams may set.
pub(crate) fn remove_internal_headers(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}
