//! Formats responses as the scripts expect them.

use crate::support::http::Response;

/// Returns the status and, for a refusal, its code and whether the request ran.
pub(crate) fn describe(response: Option<&Response>) -> String {
    let Some(response) = response else {
        return "no answer".to_owned();
    };
    let ran = response.header("sequoiawing-ran").unwrap_or("not said");
    if response.status != 200 {
        let code = code(&response.body);
        return format!("{} {code}, ran: {ran}", response.status);
    }
    match response.header("sequoiawing-replayed") {
        Some(_) => "200, replayed".to_owned(),
        None => format!("200{}", if is_complete(response) { "" } else { ", cut" }),
    }
}

/// Returns whether a response is complete: a stream by its last event, others by
/// their length, which the client has checked.
fn is_complete(response: &Response) -> bool {
    let kind = response.header("content-type").unwrap_or_default();
    !kind.starts_with("text/event-stream") || response.body.ends_with("data: [DONE]\n\n")
}

fn code(body: &str) -> String {
    let error: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    error["error"]["code"].as_str().unwrap_or("none").to_owned()
}
