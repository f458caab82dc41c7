use crate::{Catalog, CatalogPool, CatalogRoute};
use sequoiawing_types::{Findings, Name, RequestRate};
use std::collections::{BTreeMap, BTreeSet};

/// The longest time that an upstream may stay cold after a start, in milliseconds: a day.
/// Longer ones are errors of the unit.
const MAX_COLD_MS: u64 = 86_400_000;

/// Validates a whole catalog and returns all findings.
pub(crate) fn check(catalog: &Catalog) -> Findings {
    let mut findings = Findings::default();
    let pools: BTreeSet<&Name> = catalog.pools.iter().map(|p| &p.name).collect();
    let mut places = BTreeMap::new();
    for route in &catalog.routes {
        let place = format!("routes.{}", route.name);
        check_route(&mut findings, &place, route, &pools);
        let key = (route.host.as_str().to_ascii_lowercase(), &route.prefix);
        if let Some(other) = places.insert(key, &route.name) {
            let problem = format!("route \"{other}\" has the same host and prefix");
            findings.push(format!("{place}.prefix"), problem);
        }
    }
    for pool in &catalog.pools {
        check_cold(&mut findings, pool);
    }
    check_keys(&mut findings, catalog);
    findings
}

fn check_route(
    findings: &mut Findings,
    place: &str,
    route: &CatalogRoute,
    pools: &BTreeSet<&Name>,
) {
    if route.timeout == 0 {
        findings.push(format!("{place}.timeout"), "must be at least 1 ms");
    }
    for target in route.targets.iter().filter(|t| !pools.contains(&t.pool)) {
        let problem = format!("pool \"{}\" does not exist", target.pool);
        findings.push(format!("{place}.targets"), problem);
    }
    if route.targets.iter().all(|t| t.weight == 0) {
        findings.push(format!("{place}.targets"), "the weights add up to 0");
    }
}

fn check_cold(findings: &mut Findings, pool: &CatalogPool) {
    let place = format!("pools.{}.cold", pool.name);
    if pool.cold.start > MAX_COLD_MS {
        let problem = format!("must be at most {MAX_COLD_MS} ms");
        findings.push(format!("{place}.start"), problem);
    }
    if RequestRate::from_milli(pool.cold.rate).is_none() {
        let problem = "must be at most a billion requests per second";
        findings.push(format!("{place}.rate"), problem);
    }
}

fn check_keys(findings: &mut Findings, catalog: &Catalog) {
    let mut holders = BTreeMap::new();
    for (number, customer) in catalog.customers.iter().enumerate() {
        for key in &customer.keys {
            let previous = holders.insert(key, number);
            if let Some(other) = previous.filter(|other| *other != number) {
                let other = &catalog.customers[other].name;
                // The key itself is a secret and must not appear in the finding.
                let problem = format!("customer \"{other}\" has one of these keys");
                findings.push(format!("customers.{}.keys", customer.name), problem);
            }
        }
    }
}
