//! The generated responses of a simulated engine.
//!
//! Every engine generates the same text for a request, so that a stream can be
//! resumed on another engine.

use crate::{Fault, engine::ABORT_DELAY};
use bytes::Bytes;
use futures_lite::stream;
use hyper::{Response, header};
use sequoiawing_http::{Body, BodyError, from_stream};
use sequoiawing_runtime::sleep;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// The number of tokens in a response if the request sets no limit.
const DEFAULT_TOKENS: u64 = 16;

/// The body of a completion request.
#[derive(Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
    messages: Option<Value>,
}

impl CompletionBody {
    pub(crate) fn tokens(&self) -> u64 {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        requested.unwrap_or(DEFAULT_TOKENS)
    }

    fn is_chat(&self) -> bool {
        self.messages.is_some()
    }

    /// Returns the complete response as JSON.
    pub(crate) fn complete_response(&self) -> String {
        let tokens = self.tokens();
        let words: Vec<String> = (0..tokens).map(token_text).collect();
        let text = words.join(" ");
        let choice = if self.is_chat() {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        let response = json!({
            "object": if self.is_chat() { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        });
        response.to_string()
    }
}

/// The timing and size of the events of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventSettings {
    /// The time between events.
    pub(crate) gap: Duration,
    /// The padding of each event, in bytes.
    pub(crate) padding: usize,
}

/// A streamed response that starts at a given event.
pub(crate) struct TokenStream<G> {
    is_chat: bool,
    tokens: u64,
    offset: u64,
    event_settings: EventSettings,
    fault: Fault,
    /// Held until the response has ended.
    _guard: G,
}

impl<G> TokenStream<G>
where
    G: Send + Sync + 'static,
{
    pub(crate) fn new(
        completion: &CompletionBody,
        offset: u64,
        event_settings: EventSettings,
        fault: Fault,
        guard: G,
    ) -> Self {
        Self {
            is_chat: completion.is_chat(),
            tokens: completion.tokens(),
            offset,
            event_settings,
            fault,
            _guard: guard,
        }
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        let first = self.offset;
        let events = stream::unfold((self, first), |(tokens, position)| async move {
            let event = tokens.event(position).await?;
            Some((event, (tokens, position + 1)))
        });
        let mut response = Response::new(from_stream(events));
        let value = header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, value);
        response
    }

    async fn event(&self, position: u64) -> Option<Result<Bytes, BodyError>> {
        if position == self.tokens / 2 {
            match self.fault {
                Fault::Abort => {
                    sleep(ABORT_DELAY).await;
                    return Some(Err("response aborted by an injected fault".into()));
                }
                Fault::Truncate => return None,
                Fault::Stall => std::future::pending().await,
                _ => {}
            }
        }
        if position > self.offset {
            sleep(self.event_settings.gap).await;
        }
        let event = match position.checked_sub(self.tokens) {
            None => json!({ "choices": [self.choice(position)] }),
            Some(0) => json!({ "choices": [], "usage": { "completion_tokens": self.tokens } }),
            Some(1) => return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))),
            Some(_) => return None,
        };
        // JSON parsers ignore trailing spaces.
        let padding = self.event_settings.padding;
        Some(Ok(Bytes::from(format!("data: {event}{:padding$}\n\n", ""))))
    }

    fn choice(&self, position: u64) -> Value {
        if self.is_chat {
            return json!({ "index": 0, "delta": { "content": token_text(position) } });
        }
        json!({ "index": 0, "text": token_text(position) })
    }
}

/// Returns the text of the token at a position.
fn token_text(position: u64) -> String {
    format!("w{position}")
}
