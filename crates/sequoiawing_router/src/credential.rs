//! Removes keys from requests, so that no upstream sees one.

#[cfg(test)]
mod tests;

use crate::{Code, Refused};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderName, HeaderValue, PROXY_AUTHORIZATION},
};
use memchr::memmem;
use percent_encoding::percent_decode_str;
use sequoiawing_tables::{BearerKey, Tables};

/// The headers that are removed as credentials whatever their value.
const CREDENTIAL_HEADERS: [HeaderName; 4] = [
    AUTHORIZATION,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("x-api-key"),
    HeaderName::from_static("api-key"),
];

/// The query parameter that may contain a key.
const KEY_PARAMETER: &str = "api_key";

/// The prefix by which keys are recognised in other places.
const KEY_PREFIX: &str = "swk_";

/// Removes all credentials from the headers and the query, and returns the one
/// that the request presents.
///
/// # Errors
///
/// Refuses a request whose path contains a key, since it cannot be removed.
pub(crate) fn extract_credential(
    headers: &mut HeaderMap,
    path: &mut String,
) -> Result<Option<String>, Refused> {
    let from_headers = header_credential(headers);
    strip_headers(headers);
    let (bare_path, query) = match path.split_once('?') {
        Some((bare_path, query)) => (bare_path.to_owned(), Some(query.to_owned())),
        None => (path.clone(), None),
    };
    if contains_key_prefix(&bare_path) {
        return Err(Refused::new(Code::BadRequest, "the path names a key"));
    }
    let Some(query) = query else {
        return Ok(from_headers);
    };
    let is_secret = |pair: &&str| pair.starts_with(KEY_PARAMETER) || contains_key_prefix(pair);
    let kept: Vec<&str> = query.split('&').filter(|p| !is_secret(p)).collect();
    let from_query = query.split('&').find_map(query_credential);
    *path = if kept.is_empty() {
        bare_path
    } else {
        format!("{bare_path}?{}", kept.join("&"))
    };
    Ok(from_headers.or(from_query))
}

/// Returns whether a body contains an active key.
pub(crate) fn contains_active_key(tables: &Tables, body: &[u8]) -> bool {
    let is_key_byte = |b: &u8| b.is_ascii_alphanumeric() || *b == b'_';
    memmem::find_iter(body, KEY_PREFIX).any(|start| {
        let rest = &body[start..];
        let end = rest.iter().position(|b| !is_key_byte(b));
        let text = str::from_utf8(&rest[..end.unwrap_or(rest.len())]);
        let key = text.ok().and_then(BearerKey::parse);
        key.is_some_and(|k| tables.keys.contains_key(&k.id))
    })
}

fn header_credential(headers: &HeaderMap) -> Option<String> {
    let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
    if let Some(value) = headers.get(AUTHORIZATION) {
        let credential = text(value).unwrap_or_default();
        let bearer = credential
            .get(..7)
            .filter(|s| s.eq_ignore_ascii_case("bearer "));
        return Some(bearer.map_or(String::new(), |_| credential[7..].trim().to_owned()));
    }
    let others = ["x-api-key", "api-key"];
    others
        .iter()
        .find_map(|name| headers.get(*name).and_then(text))
}

fn strip_headers(headers: &mut HeaderMap) {
    let contains_key =
        |v: &HeaderValue| memmem::find(v.as_bytes(), KEY_PREFIX.as_bytes()).is_some();
    let key_headers: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains_key(value))
        .map(|(name, _)| name.clone())
        .collect();
    for name in key_headers.iter().chain(&CREDENTIAL_HEADERS) {
        headers.remove(name);
    }
}

fn query_credential(pair: &str) -> Option<String> {
    let value = pair.strip_prefix(KEY_PARAMETER)?.strip_prefix('=')?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}

/// Decodes the percent-encoded part of a path; returns `None` if the result is not UTF-8.
pub fn decode_percent(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

fn contains_key_prefix(text: &str) -> bool {
    let decoded: Vec<u8> = percent_decode_str(text).collect();
    memmem::find(&decoded, KEY_PREFIX.as_bytes()).is_some()
}
