use crate::{Code, Credential, Exchange, Filter, FilterFuture, Next, Refused, RouterState};
use hyper::{Method, header::HOST};
use sequoiawing_tables::{Access, PoolKind, Route, Tables};
use std::{sync::Arc, time::Duration};

/// The retry delay returned when a disconnected router cannot confirm a key.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Selects the route of a request and checks that its customer may use it.
pub(crate) struct SelectRoute {
    state: Arc<RouterState>,
}

impl SelectRoute {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn select(&self, exchange: &mut Exchange) -> Result<(), Refused> {
        let tables = self.state.tables.get();
        let route = find_route(&tables, exchange)?;
        authorize(route, exchange)?;
        check_method(&tables, route, &exchange.method)?;
        let timeout = Duration::from_millis(route.deadline);
        exchange.deadline.get_or_insert(exchange.arrival + timeout);
        exchange.route = Arc::new(route.clone());
        Ok(())
    }
}

fn find_route<'t>(tables: &'t Tables, exchange: &Exchange) -> Result<&'t Route, Refused> {
    let host = exchange.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or_default();
    let route = tables.route_for(host, &exchange.path);
    route.ok_or_else(|| Refused::new(Code::NotFound, "no route matches the request"))
}

/// Sets the customer for whom the request runs: that of its key, or none on
/// routes that are open to all.
fn authorize(route: &Route, exchange: &mut Exchange) -> Result<(), Refused> {
    let Access::Customers(customers) = &route.access else {
        return Ok(());
    };
    match std::mem::take(&mut exchange.credential) {
        Credential::Valid(key, customer) if customers.contains(&customer.name) => {
            exchange.key = Some(key);
            exchange.customer = Some(customer);
            Ok(())
        }
        Credential::Valid(_, customer) => {
            let problem = format!("the customer '{}' may not use the route", customer.name);
            Err(Refused::new(Code::Forbidden, problem))
        }
        Credential::Missing => Err(Refused::new(Code::Unauthorized, "the route needs a key")),
        Credential::Invalid => Err(Refused::new(Code::Unauthorized, "the key is not in force")),
        Credential::Unconfirmed => {
            let problem = "the router is cut off and cannot confirm the key any longer";
            Err(Refused::new(Code::Unavailable, problem).with_retry_after(UNCONFIRMED_RETRY_DELAY))
        }
    }
}

/// Checks that the pool supports the method.
fn check_method(tables: &Tables, route: &Route, method: &Method) -> Result<(), Refused> {
    let pool = tables.pools.get(&route.pool);
    let runs_models = pool.is_some_and(|p| p.kind == PoolKind::Runners);
    if runs_models && method != Method::POST {
        let problem = "completions are asked for by POST";
        return Err(Refused::new(Code::MethodNotAllowed, problem));
    }
    Ok(())
}

impl Filter for SelectRoute {
    fn name(&self) -> &'static str {
        "route"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            self.select(exchange)?;
            next.run(exchange).await
        })
    }
}
