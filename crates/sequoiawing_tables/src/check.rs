use crate::{Access, Pool, PoolKind, Route, Store, Tables};
use sequoiawing_budget::Share;
use sequoiawing_types::{Findings, Name};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum deadline of a route, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60 * 60 * 1_000;

/// The maximum configurable load time, in seconds.
const MAX_LOAD_SECONDS: u64 = 60 * 60;

/// Validates the tables and returns all findings.
pub(crate) fn check_tables(tables: &Tables) -> Findings {
    let mut findings = Findings::default();
    for customer in tables.customers.values() {
        let place = format!("customers.{}", customer.name);
        check_name(&mut findings, &place, &customer.name);
        if customer.weight == 0 {
            findings.push(format!("{place}.weight"), "must be at least 1");
        }
        if customer.burst == 0 {
            findings.push(format!("{place}.burst"), "must be at least 1 token");
        }
        check_shares(&mut findings, &place, &customer.shares);
    }
    check_store(&mut findings, &tables.store);
    for pool in tables.pools.values() {
        check_pool(&mut findings, pool);
    }
    for route in tables.routes.values() {
        check_route(&mut findings, tables, route);
    }
    check_keys(&mut findings, tables);
    findings
}

fn check_shares(findings: &mut Findings, place: &str, shares: &BTreeMap<Name, Share>) {
    let shares = shares.values().map(|s| u64::from(s.millionths()));
    if shares.sum::<u64>() > u64::from(Share::WHOLE.millionths()) {
        let problem = "must be at most 1000000 millionths together";
        findings.push(format!("{place}.shares"), problem);
    }
}

fn check_store(findings: &mut Findings, store: &Store) {
    let minimums = [
        ("starts", store.starts),
        ("slots", store.slots),
        ("adapters", store.adapters),
        ("longest", store.longest),
    ];
    for (field, value) in minimums {
        if value == 0 {
            findings.push(format!("store.{field}"), "must be at least 1");
        }
    }
    if store.longest > MAX_LOAD_SECONDS {
        let problem = format!("must be at most {MAX_LOAD_SECONDS} s");
        findings.push("store.longest", problem);
    }
    check_shares(findings, "store", &store.shares);
}

fn check_name(findings: &mut Findings, place: &str, name: &Name) {
    if !name.is_valid() {
        let problem = "name must be 1 to 128 letters, digits, '-', '_', '.' or '/'";
        findings.push(place, problem);
    }
}

fn check_pool(findings: &mut Findings, pool: &Pool) {
    let place = format!("pools.{}", pool.name);
    check_name(findings, &place, &pool.name);
    if pool.kind == PoolKind::Services && !pool.models.is_empty() {
        findings.push(
            format!("{place}.models"),
            "a pool of services has no models",
        );
    }
    let mut names = BTreeSet::new();
    for model in &pool.models {
        let place = format!("{place}.models.{}", model.name);
        check_name(findings, &place, &model.name);
        if !names.insert(&model.name) {
            findings.push(&place, "stands twice");
        }
        if model.memory == 0 {
            findings.push(format!("{place}.memory"), "must be at least 1 MiB");
        }
        if model.replicas == 0 {
            findings.push(format!("{place}.replicas"), "must be at least 1");
        }
    }
}

fn check_route(findings: &mut Findings, tables: &Tables, route: &Route) {
    let place = format!("routes.{}", route.name);
    check_name(findings, &place, &route.name);
    if !route.prefix.starts_with('/') {
        findings.push(format!("{place}.prefix"), "must begin with '/'");
    }
    if !(1..=MAX_DEADLINE_MS).contains(&route.deadline) {
        let problem = format!("must be 1 to {MAX_DEADLINE_MS} ms");
        findings.push(format!("{place}.deadline"), problem);
    }
    check_access(findings, tables, route, &place);
    let Some(pool) = tables.pools.get(&route.pool) else {
        let problem = format!("names the pool '{}', which does not exist", route.pool);
        findings.push(format!("{place}.pool"), problem);
        return;
    };
    for model in &route.models {
        if pool.model(model.as_str()).is_none() {
            let problem = format!(
                "names '{model}', which the pool '{}' does not have",
                pool.name
            );
            findings.push(format!("{place}.models"), problem);
        }
    }
}

fn check_access(findings: &mut Findings, tables: &Tables, route: &Route, place: &str) {
    let Access::Customers(customers) = &route.access else {
        return;
    };
    for customer in customers {
        if !tables.customers.contains_key(customer) {
            let problem = format!("names the customer '{customer}', who does not exist");
            findings.push(format!("{place}.access"), problem);
        }
    }
}

fn check_keys(findings: &mut Findings, tables: &Tables) {
    for key in tables.keys.values() {
        if !tables.customers.contains_key(&key.customer) {
            let problem = format!(
                "belongs to the customer '{}', who does not exist",
                key.customer
            );
            findings.push(format!("keys.{}", key.id), problem);
        }
    }
}
