use crate::{Code, Exchange, Filter, FilterFuture, Next, Refused, headers::DEADLINE_HEADER};
use std::time::Duration;

/// The longest deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60 * 60 * 1_000;

/// Sets the request's deadline from the caller's header.
pub(crate) struct Deadline;

impl Deadline {
    fn parse(exchange: &Exchange) -> Result<Option<Duration>, Refused> {
        let Some(value) = exchange.headers.get(DEADLINE_HEADER) else {
            return Ok(None);
        };
        let parsed = value.to_str().ok().and_then(|v| v.trim().parse().ok());
        match parsed {
            Some(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
                Ok(Some(Duration::from_millis(millis)))
            }
            _ => {
                let problem =
                    format!("{DEADLINE_HEADER} must be a whole number from 1 to {MAX_DEADLINE_MS}");
                Err(Refused::new(Code::BadRequest, problem))
            }
        }
    }
}

impl Filter for Deadline {
    fn name(&self) -> &'static str {
        "deadline"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            if let Some(timeout) = Self::parse(exchange)? {
                exchange.deadline = Some(exchange.arrival + timeout);
            }
            next.run(exchange).await
        })
    }
}
