use crate::{
    Code, Completion, Exchange, Filter, FilterFuture, Next, Refused, RouterState,
    credential::contains_active_key,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use sequoiawing_runtime::timeout;
use sequoiawing_tables::PoolKind;
use sequoiawing_types::Name;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

/// The limit of output tokens when the caller sets none.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The largest limit of output tokens that a caller may set.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// The estimated number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The length of the prompt prefix by which an upstream that has it cached is
/// found, in bytes.
const PREFIX_BYTES: usize = 256;

/// Reads the body within the limits of size and time, and parses the completion
/// request in it.
pub(crate) struct ReadBody {
    state: Arc<RouterState>,
}

impl ReadBody {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    async fn read(&self, exchange: &mut Exchange) -> Result<(), Refused> {
        let Some(incoming) = exchange.incoming.take() else {
            return Ok(());
        };
        let remaining = exchange.response_deadline().since(self.state.now());
        let upload_timeout = Duration::from_millis(self.state.settings.upload).min(remaining);
        let limited = Limited::new(incoming, self.state.settings.body);
        let collected = timeout(upload_timeout, limited.collect()).await;
        let timed_out = || Refused::new(Code::BodyTimeout, "the body did not arrive in time");
        let body = collected
            .ok_or_else(timed_out)?
            .map_err(|e| refuse_body(&*e))?;
        exchange.body = body.to_bytes();
        if contains_active_key(&self.state.tables.get(), &exchange.body) {
            let problem = "the body holds a key, which no upstream may see";
            return Err(Refused::new(Code::BadRequest, problem));
        }
        Ok(())
    }

    fn parse(&self, exchange: &mut Exchange) -> Result<(), Refused> {
        let tables = self.state.tables.get();
        let no_pool = || Refused::new(Code::NotFound, "the route's pool does not exist");
        let pool = tables.pools.get(&exchange.route.pool).ok_or_else(no_pool)?;
        if pool.kind == PoolKind::Services {
            exchange.prompt_tokens = 1;
            return Ok(());
        }
        let completion: Completion = serde_json::from_slice(&exchange.body).map_err(|e| {
            Refused::new(Code::BadRequest, format!("the body is no completion: {e}"))
        })?;
        let output_tokens = output_tokens(&completion)?;
        let model_name = completion.model.split(':').next().unwrap_or_default();
        let allowed = pool
            .model(model_name)
            .filter(|_| exchange.route.allows_model(model_name));
        let no_model = || {
            let problem = format!("the route has no model '{model_name}'");
            Refused::new(Code::NotFound, problem)
        };
        let model = allowed.ok_or_else(no_model)?;
        if let Some((_, adapter)) = completion.model.split_once(':') {
            if !model.adapters.iter().any(|a| a.as_str() == adapter) {
                let problem = format!("the model '{model_name}' has no adapter '{adapter}'");
                return Err(Refused::new(Code::NotFound, problem));
            }
            exchange.adapter = Some(Name::from(completion.model.as_str()));
        }
        exchange.model = Some(model.name.clone());
        exchange.stream = completion.stream;
        exchange.output_tokens = output_tokens;
        let prompt = prompt_text(&completion);
        exchange.prompt_tokens = (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1);
        exchange.prefix_hash = hash_prefix(&prompt);
        Ok(())
    }
}

/// Returns the limit of output tokens, which must be small enough to reserve.
fn output_tokens(completion: &Completion) -> Result<u64, Refused> {
    let (field, requested) = match completion.max_completion_tokens {
        Some(tokens) => ("max_completion_tokens", Some(tokens)),
        None => ("max_tokens", completion.max_tokens),
    };
    let tokens = requested.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    if (1..=MAX_OUTPUT_TOKENS).contains(&tokens) {
        return Ok(tokens);
    }
    let problem = format!("{field} must be 1 to {MAX_OUTPUT_TOKENS}");
    Err(Refused::new(Code::BadRequest, problem))
}

/// Returns all text that the model reads, in order.
fn prompt_text(completion: &Completion) -> String {
    let mut text = value_text(&completion.prompt);
    for message in &completion.messages {
        text.push_str(&message.role);
        text.push_str(&value_text(&message.content));
    }
    text
}

fn value_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn hash_prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = DefaultHasher::new();
    bytes[..bytes.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}

fn refuse_body(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Refused {
    if error.is::<LengthLimitError>() {
        return Refused::new(Code::BodyTooLarge, "the body is larger than the bound");
    }
    Refused::new(Code::BadRequest, format!("the body broke off: {error}"))
}

impl Filter for ReadBody {
    fn name(&self) -> &'static str {
        "read-body"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            self.read(exchange).await?;
            self.parse(exchange)?;
            next.run(exchange).await
        })
    }
}
