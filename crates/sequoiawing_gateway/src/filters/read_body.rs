use crate::{GatewayExchange, GatewayState};
use sequoiawing_http::UploadError;
use sequoiawing_router::{Code, Filter, FilterFuture, Next, Refused};
use std::{sync::Arc, time::Duration};

/// The retry delay for callers for whose body there is no memory. Bodies that are read or
/// sent take about as long.
const NO_ROOM_RETRY: Duration = Duration::from_secs(1);

/// Buffers the request body so that the request can be retried.
pub(crate) struct ReadBody {
    state: Arc<GatewayState>,
}

impl ReadBody {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    async fn read(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        let Some(incoming) = exchange.incoming.take() else {
            return Ok(());
        };
        let bounds = &exchange.index.catalog().bounds;
        let time_limit = Duration::from_millis(bounds.header_wait);
        let budget = &self.state.bodies.budget;
        let read = budget.read(incoming, bounds.body_bytes, time_limit).await;
        if let Err(error) = &read {
            self.state.record_unread_body(error);
        }
        exchange.body = read.map_err(|error| refusal(&error))?;
        Ok(())
    }
}

fn refusal(error: &UploadError) -> Refused {
    let code = match error {
        UploadError::TooLarge(_) => Code::BodyTooLarge,
        UploadError::NoRoom | UploadError::Ended => Code::Overloaded,
        UploadError::TimedOut => Code::BodyTimeout,
        UploadError::Broken(_) => Code::BadRequest,
    };
    let refused = Refused::new(code, error.to_string());
    if code == Code::Overloaded {
        return refused.with_retry_after(NO_ROOM_RETRY);
    }
    refused
}

impl Filter<GatewayExchange> for ReadBody {
    fn name(&self) -> &'static str {
        "read-body"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut GatewayExchange,
        next: Next<'a, GatewayExchange>,
    ) -> FilterFuture<'a> {
        Box::pin(async move {
            self.read(exchange).await?;
            next.run(exchange).await
        })
    }
}
