use crate::GatewayExchange;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use sequoiawing_router::{Code, Filter, FilterFuture, Next, Refused};
use sequoiawing_runtime::timeout;
use std::time::Duration;

/// Buffers the request body so that the request can be retried.
pub(crate) struct ReadBody;

async fn read(exchange: &mut GatewayExchange) -> Result<(), Refused> {
    let Some(incoming) = exchange.incoming.take() else {
        return Ok(());
    };
    let bounds = &exchange.index.catalog().bounds;
    let limited = Limited::new(incoming, bounds.body_bytes);
    let time_limit = Duration::from_millis(bounds.header_wait);
    match timeout(time_limit, limited.collect()).await {
        Some(Ok(body)) => {
            exchange.body = body.to_bytes();
            Ok(())
        }
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            let problem = format!("the body is larger than {} bytes", bounds.body_bytes);
            Err(Refused::new(Code::BodyTooLarge, problem))
        }
        Some(Err(error)) => {
            let problem = format!("the body broke off: {error}");
            Err(Refused::new(Code::BadRequest, problem))
        }
        None => Err(Refused::new(
            Code::BodyTimeout,
            "the body did not arrive in time",
        )),
    }
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
            read(exchange).await?;
            next.run(exchange).await
        })
    }
}
