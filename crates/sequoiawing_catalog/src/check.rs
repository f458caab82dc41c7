use crate::{Catalog, CatalogRoute};
use sequoiawing_types::{Findings, Name};
use std::collections::{BTreeMap, BTreeSet};

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

fn check_keys(findings: &mut Findings, catalog: &Catalog) {
    let mut holders = BTreeMap::new();
    for customer in &catalog.customers {
        for key in &customer.keys {
            let previous = holders.insert(key, &customer.name);
            if let Some(other) = previous.filter(|other| **other != customer.name) {
                // The key itself is a secret and must not appear in the finding.
                let problem = format!("customer \"{other}\" has one of these keys");
                findings.push(format!("customers.{}.keys", customer.name), problem);
            }
        }
    }
}
