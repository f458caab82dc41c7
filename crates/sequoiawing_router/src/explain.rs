use crate::RouterState;
use sequoiawing_fleet::UpstreamState;
use sequoiawing_link::{ExplainRequest, Explanation, Verdict};
use sequoiawing_tables::{Access, Customer, Pool, PoolKind, Route, Tables};
use sequoiawing_types::Name;
use std::sync::Arc;

/// The request is refused at this step, so the explanation ends.
struct Rejected;

impl RouterState {
    /// Explains to an operator how a request would be handled, according to the
    /// current tables and the upstreams that are known now.
    ///
    /// Nothing is sent or reserved.
    pub(crate) fn explain(&self, request: &ExplainRequest) -> Explanation {
        let tables = self.tables.get();
        let mut explanation = Explanation {
            host: self.settings.host.clone(),
            revision: tables.revision,
            ..Explanation::default()
        };
        self.explain_steps(&tables, request, &mut explanation).ok();
        explanation
    }

    fn explain_steps(
        &self,
        tables: &Tables,
        request: &ExplainRequest,
        explanation: &mut Explanation,
    ) -> Result<(), Rejected> {
        let customer = self.explain_customer(tables, request, explanation)?;
        let route = explain_route(tables, request, customer, explanation)?;
        let Some(pool) = tables.pools.get(&route.pool) else {
            return reject(
                explanation,
                "route",
                format!("the pool '{}' does not exist", route.pool),
            );
        };
        let (model, adapter) = explain_model(pool, route, request, explanation)?;
        explain_limit(customer, request.tokens, explanation)?;
        self.explain_upstream(pool, model.as_ref(), adapter.as_ref(), explanation)
    }

    fn explain_customer<'t>(
        &self,
        tables: &'t Tables,
        request: &ExplainRequest,
        explanation: &mut Explanation,
    ) -> Result<Option<&'t Customer>, Rejected> {
        let part = "authenticate";
        let name = match &request.key {
            None => request.customer.clone(),
            Some(id) => {
                if self.withdrawn.get().contains(id) || tables.is_withdrawn(id) {
                    return reject(explanation, part, format!("the key {id} was withdrawn"));
                }
                let Some(key) = tables.keys.get(id) else {
                    let reason = format!("no key {id} is in force in {}", tables.revision);
                    return reject(explanation, part, reason);
                };
                Some(key.customer.clone())
            }
        };
        let Some(name) = name else {
            explanation.step(part, Verdict::Passes, "no key comes with the request");
            return Ok(None);
        };
        let Some(customer) = tables.customers.get(&name) else {
            return reject(
                explanation,
                part,
                format!("the customer '{name}' does not exist"),
            );
        };
        explanation.step(
            part,
            Verdict::Passes,
            format!("runs for the customer '{name}'"),
        );
        Ok(Some(customer))
    }

    fn explain_upstream(
        &self,
        pool: &Pool,
        model: Option<&Name>,
        adapter: Option<&Name>,
        explanation: &mut Explanation,
    ) -> Result<(), Rejected> {
        let part = "forward";
        let registry = self.registry.lock();
        let members = registry.iter().filter(|u| u.pool == pool.name);
        let members: Vec<&UpstreamState> = members.map(Arc::as_ref).collect();
        let accepting: Vec<&&UpstreamState> = members.iter().filter(|u| !u.leaving).collect();
        if accepting.is_empty() {
            let reason = format!(
                "no upstream of the pool '{}' takes new work; {} are leaving",
                pool.name,
                members.len()
            );
            return reject(explanation, part, reason);
        }
        let ready = accepting
            .iter()
            .filter(|u| has_target(u, model, adapter) && u.running < u.slots);
        let mut ready: Vec<&&&UpstreamState> = ready.collect();
        ready.sort_by_key(|u| u64::from(u.running) * 1_000 / u64::from(u.slots.max(1)));
        if ready.is_empty() {
            let reason = wait_reason(&accepting, model, adapter);
            explanation.step(part, Verdict::Waits, reason);
            return Ok(());
        }
        let describe = |u: &UpstreamState| format!("{} ({} of {})", u.name, u.running, u.slots);
        let names: Vec<String> = ready.iter().map(|u| describe(u)).collect();
        let reason = format!("would go to one of: {}", names.join(", "));
        explanation.step(part, Verdict::Passes, reason);
        Ok(())
    }
}

fn reject<T, S>(explanation: &mut Explanation, part: &str, reason: S) -> Result<T, Rejected>
where
    S: Into<String>,
{
    explanation.step(part, Verdict::Refused, reason);
    Err(Rejected)
}

fn explain_route<'t>(
    tables: &'t Tables,
    request: &ExplainRequest,
    customer: Option<&Customer>,
    explanation: &mut Explanation,
) -> Result<&'t Route, Rejected> {
    let part = "route";
    let Some(route) = tables.route_for(&request.host, &request.path) else {
        let reason = format!("no route matches '{}{}'", request.host, request.path);
        return reject(explanation, part, reason);
    };
    let Access::Customers(admitted) = &route.access else {
        let reason = format!("the route '{}' is open to all", route.name);
        explanation.step(part, Verdict::Passes, reason);
        return Ok(route);
    };
    let Some(customer) = customer else {
        return reject(
            explanation,
            part,
            format!("the route '{}' needs a key", route.name),
        );
    };
    if !admitted.contains(&customer.name) {
        let reason = format!("the route '{}' does not admit the customer", route.name);
        return reject(explanation, part, reason);
    }
    let reason = format!(
        "takes the route '{}' to the pool '{}'",
        route.name, route.pool
    );
    explanation.step(part, Verdict::Passes, reason);
    Ok(route)
}

/// Returns the model and adapter of the request, if the pool has models.
fn explain_model(
    pool: &Pool,
    route: &Route,
    request: &ExplainRequest,
    explanation: &mut Explanation,
) -> Result<(Option<Name>, Option<Name>), Rejected> {
    let part = "model";
    if pool.kind == PoolKind::Services {
        explanation.step(part, Verdict::Passes, "plain services have no models");
        return Ok((None, None));
    }
    let Some(requested) = &request.model else {
        return reject(explanation, part, "the request names no model");
    };
    let (name, adapter) = requested
        .as_str()
        .split_once(':')
        .map_or((requested.as_str(), None), |(model, adapter)| {
            (model, Some(adapter))
        });
    let Some(model) = pool.model(name).filter(|_| route.allows_model(name)) else {
        let reason = format!("the route or its pool does not have the model '{name}'");
        return reject(explanation, part, reason);
    };
    let has_adapter = |a: &str| model.adapters.iter().any(|n| n.as_str() == a);
    if let Some(adapter) = adapter.filter(|a| !has_adapter(a)) {
        let reason = format!("the model '{name}' does not have the adapter '{adapter}'");
        return reject(explanation, part, reason);
    }
    explanation.step(part, Verdict::Passes, format!("asks for '{requested}'"));
    Ok((Some(model.name.clone()), adapter.map(|_| requested.clone())))
}

/// Compares the tokens with the burst; the current balance is known only to the
/// budget that admits the request.
fn explain_limit(
    customer: Option<&Customer>,
    tokens: u64,
    explanation: &mut Explanation,
) -> Result<(), Rejected> {
    let part = "limit";
    let Some(customer) = customer else {
        explanation.step(part, Verdict::Passes, "no customer to limit");
        return Ok(());
    };
    if tokens > customer.burst {
        let reason = format!("{tokens} tokens are more than the burst {}", customer.burst);
        return reject(explanation, part, reason);
    }
    let reason = format!(
        "{tokens} tokens fit the burst {}, unless the rate {}/s is used up",
        customer.burst, customer.rate
    );
    explanation.step(part, Verdict::Passes, reason);
    Ok(())
}

fn has_target(upstream: &UpstreamState, model: Option<&Name>, adapter: Option<&Name>) -> bool {
    let has_model = model.is_none_or(|m| upstream.has_model(m));
    has_model && adapter.is_none_or(|a| upstream.has_adapter(a))
}

/// Returns what a request would wait for.
fn wait_reason(
    accepting: &[&&UpstreamState],
    model: Option<&Name>,
    adapter: Option<&Name>,
) -> String {
    let target = adapter.or(model);
    if accepting.iter().any(|u| has_target(u, model, adapter)) {
        return "every upstream that has it is full; waits for a slot".to_owned();
    }
    let is_loading = |u: &UpstreamState| target.is_some_and(|t| u.loading.contains(t));
    if accepting.iter().any(|u| is_loading(u)) {
        return "is being loaded; waits for the load".to_owned();
    }
    let name = target.map_or("nothing", Name::as_str);
    format!("'{name}' is not loaded anywhere; the cell leader would be asked for it")
}
