use crate::RouterState;
use sequoiawing_fleet::UpstreamState;
use sequoiawing_link::{ExplainRequest, Explanation, Verdict};
use sequoiawing_tables::{Access, Customer, Pool, PoolKind, Route, Tables};
use sequoiawing_types::Name;
use std::sync::Arc;

/// What stands in the way of an explanation: the steps so far decide.
struct Decided;

impl RouterState {
    /// Tells an operator what would become of a request, by the tables in force
    /// and the upstreams that are known now. Nothing is sent or reserved.
    pub(crate) fn explain(&self, question: &ExplainRequest) -> Explanation {
        let tables = self.tables.get();
        let mut steps = Explanation {
            host: self.settings.host.clone(),
            revision: tables.revision,
            ..Explanation::default()
        };
        self.follow(&tables, question, &mut steps).ok();
        steps
    }

    fn follow(
        &self,
        tables: &Tables,
        question: &ExplainRequest,
        steps: &mut Explanation,
    ) -> Result<(), Decided> {
        let customer = self.identify(tables, question, steps)?;
        let route = select(tables, question, customer, steps)?;
        let Some(pool) = tables.pools.get(&route.pool) else {
            return refuse(
                steps,
                "route",
                format!("the pool '{}' does not exist", route.pool),
            );
        };
        let (model, adapter) = find_model(pool, route, question, steps)?;
        limit(customer, question.tokens, steps)?;
        self.choose(pool, model.as_ref(), adapter.as_ref(), steps)
    }

    fn identify<'t>(
        &self,
        tables: &'t Tables,
        question: &ExplainRequest,
        steps: &mut Explanation,
    ) -> Result<Option<&'t Customer>, Decided> {
        let part = "authenticate";
        let name = match &question.key {
            None => question.customer.clone(),
            Some(id) => {
                if self.withdrawn.get().contains(id) || tables.is_withdrawn(id) {
                    return refuse(steps, part, format!("the key {id} was withdrawn"));
                }
                let Some(key) = tables.keys.get(id) else {
                    let reason = format!("no key {id} is in force in {}", tables.revision);
                    return refuse(steps, part, reason);
                };
                Some(key.customer.clone())
            }
        };
        let Some(name) = name else {
            steps.step(part, Verdict::Passes, "no key comes with the request");
            return Ok(None);
        };
        let Some(customer) = tables.customers.get(&name) else {
            return refuse(steps, part, format!("the customer '{name}' does not exist"));
        };
        steps.step(
            part,
            Verdict::Passes,
            format!("runs for the customer '{name}'"),
        );
        Ok(Some(customer))
    }

    fn choose(
        &self,
        pool: &Pool,
        model: Option<&Name>,
        adapter: Option<&Name>,
        steps: &mut Explanation,
    ) -> Result<(), Decided> {
        let part = "forward";
        let registry = self.registry.lock();
        let joined = registry.iter().filter(|u| u.pool == pool.name);
        let joined: Vec<&UpstreamState> = joined.map(Arc::as_ref).collect();
        let taking: Vec<&&UpstreamState> = joined.iter().filter(|u| !u.leaving).collect();
        if taking.is_empty() {
            let reason = format!(
                "no upstream of the pool '{}' takes new work; {} are leaving",
                pool.name,
                joined.len()
            );
            return refuse(steps, part, reason);
        }
        let ready = taking
            .iter()
            .filter(|u| holds(u, model, adapter) && u.running < u.slots);
        let mut ready: Vec<&&&UpstreamState> = ready.collect();
        ready.sort_by_key(|u| u64::from(u.running) * 1_000 / u64::from(u.slots.max(1)));
        if ready.is_empty() {
            let reason = waiting(&taking, model, adapter);
            steps.step(part, Verdict::Waits, reason);
            return Ok(());
        }
        let load = |u: &UpstreamState| format!("{} ({} of {})", u.name, u.running, u.slots);
        let names: Vec<String> = ready.iter().map(|u| load(u)).collect();
        let reason = format!("would go to one of: {}", names.join(", "));
        steps.step(part, Verdict::Passes, reason);
        Ok(())
    }
}

fn refuse<T, S>(steps: &mut Explanation, part: &str, reason: S) -> Result<T, Decided>
where
    S: Into<String>,
{
    steps.step(part, Verdict::Refused, reason);
    Err(Decided)
}

fn select<'t>(
    tables: &'t Tables,
    question: &ExplainRequest,
    customer: Option<&Customer>,
    steps: &mut Explanation,
) -> Result<&'t Route, Decided> {
    let part = "route";
    let Some(route) = tables.route_for(&question.host, &question.path) else {
        let reason = format!("no route matches '{}{}'", question.host, question.path);
        return refuse(steps, part, reason);
    };
    let Access::Customers(admitted) = &route.access else {
        let reason = format!("the route '{}' is open to all", route.name);
        steps.step(part, Verdict::Passes, reason);
        return Ok(route);
    };
    let Some(customer) = customer else {
        return refuse(
            steps,
            part,
            format!("the route '{}' needs a key", route.name),
        );
    };
    if !admitted.contains(&customer.name) {
        let reason = format!("the route '{}' does not admit the customer", route.name);
        return refuse(steps, part, reason);
    }
    let reason = format!(
        "takes the route '{}' to the pool '{}'",
        route.name, route.pool
    );
    steps.step(part, Verdict::Passes, reason);
    Ok(route)
}

/// Returns the model and adapter of the question, in a pool that has models.
fn find_model(
    pool: &Pool,
    route: &Route,
    question: &ExplainRequest,
    steps: &mut Explanation,
) -> Result<(Option<Name>, Option<Name>), Decided> {
    let part = "model";
    if pool.kind == PoolKind::Services {
        steps.step(part, Verdict::Passes, "plain services have no models");
        return Ok((None, None));
    }
    let Some(asked) = &question.model else {
        return refuse(steps, part, "the request names no model");
    };
    let (name, adapter) = asked
        .as_str()
        .split_once(':')
        .map_or((asked.as_str(), None), |(model, adapter)| {
            (model, Some(adapter))
        });
    let Some(model) = pool.model(name).filter(|_| route.allows_model(name)) else {
        let reason = format!("the route or its pool does not have the model '{name}'");
        return refuse(steps, part, reason);
    };
    let known = |a: &str| model.adapters.iter().any(|n| n.as_str() == a);
    if let Some(adapter) = adapter.filter(|a| !known(a)) {
        let reason = format!("the model '{name}' does not have the adapter '{adapter}'");
        return refuse(steps, part, reason);
    }
    steps.step(part, Verdict::Passes, format!("asks for '{asked}'"));
    Ok((Some(model.name.clone()), adapter.map(|_| asked.clone())))
}

/// Compares the tokens with the burst; what is left of the rate now is known
/// only to the budget that admits the request.
fn limit(customer: Option<&Customer>, tokens: u64, steps: &mut Explanation) -> Result<(), Decided> {
    let part = "limit";
    let Some(customer) = customer else {
        steps.step(part, Verdict::Passes, "no customer to limit");
        return Ok(());
    };
    if tokens > customer.burst {
        let reason = format!("{tokens} tokens are more than the burst {}", customer.burst);
        return refuse(steps, part, reason);
    }
    let reason = format!(
        "{tokens} tokens fit the burst {}, unless the rate {}/s is used up",
        customer.burst, customer.rate
    );
    steps.step(part, Verdict::Passes, reason);
    Ok(())
}

fn holds(upstream: &UpstreamState, model: Option<&Name>, adapter: Option<&Name>) -> bool {
    let has_model = model.is_none_or(|m| upstream.has_model(m));
    has_model && adapter.is_none_or(|a| upstream.has_adapter(a))
}

/// Says what a request would wait for.
fn waiting(taking: &[&&UpstreamState], model: Option<&Name>, adapter: Option<&Name>) -> String {
    let target = adapter.or(model);
    if taking.iter().any(|u| holds(u, model, adapter)) {
        return "every upstream that has it is full; waits for a slot".to_owned();
    }
    let loads = |u: &UpstreamState| target.is_some_and(|t| u.loading.contains(t));
    if taking.iter().any(|u| loads(u)) {
        return "is being loaded; waits for the load".to_owned();
    }
    let name = target.map_or("nothing", Name::as_str);
    format!("'{name}' is not loaded anywhere; the cell leader would be asked for it")
}
