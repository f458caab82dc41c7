use sequoiawing_tables::{Change, Customer, Pool, Route, Store, Tables};
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The tables in the form that operators edit.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct TableFile {
    /// The customers.
    pub customers: Vec<Customer>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The limits of the weight store; unchanged if missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub store: Option<Store>,
}

impl TableFile {
    /// Checks a file that contains all tables by the rules of the controllers.
    pub fn check(&self, place: &str) -> Findings {
        let mut findings = self.check_unique_names(place);
        for finding in &self.to_tables().check() {
            findings.push(format!("{place}: {}", finding.place), &finding.problem);
        }
        findings
    }

    /// Checks that the names in each table are unique.
    pub(crate) fn check_unique_names(&self, place: &str) -> Findings {
        let mut findings = Findings::default();
        check_duplicates(
            &mut findings,
            place,
            "customers",
            self.customers.iter().map(|c| &c.name),
        );
        check_duplicates(
            &mut findings,
            place,
            "pools",
            self.pools.iter().map(|p| &p.name),
        );
        check_duplicates(
            &mut findings,
            place,
            "routes",
            self.routes.iter().map(|r| &r.name),
        );
        findings
    }

    /// Returns tables that contain only the entries of the file.
    fn to_tables(&self) -> Tables {
        let mut tables = Tables::default();
        let customers = self.customers.iter().cloned();
        tables.customers = customers.map(|c| (c.name.clone(), c)).collect();
        let pools = self.pools.iter().cloned();
        tables.pools = pools.map(|p| (p.name.clone(), p)).collect();
        let routes = self.routes.iter().cloned();
        tables.routes = routes.map(|r| (r.name.clone(), r)).collect();
        tables.store = self.store.clone().unwrap_or_default();
        tables
    }

    /// Creates a file that contains the entries of `tables`.
    pub fn from_tables(tables: &Tables) -> Self {
        Self {
            customers: tables.customers.values().cloned().collect(),
            pools: tables.pools.values().cloned().collect(),
            routes: tables.routes.values().cloned().collect(),
            store: Some(tables.store.clone()),
        }
    }

    /// Returns the changes that make `tables` match the file.
    ///
    /// Entries that are missing in the file are deleted only with `prune`.
    pub fn changes_from(&self, tables: &Tables, prune: bool) -> Vec<Change> {
        let mut changes = Vec::new();
        for customer in &self.customers {
            if tables.customers.get(&customer.name) != Some(customer) {
                changes.push(Change::PutCustomer(customer.clone()));
            }
        }
        for pool in &self.pools {
            if tables.pools.get(&pool.name) != Some(pool) {
                changes.push(Change::PutPool(pool.clone()));
            }
        }
        for route in &self.routes {
            if tables.routes.get(&route.name) != Some(route) {
                changes.push(Change::PutRoute(route.clone()));
            }
        }
        if let Some(store) = self.store.as_ref().filter(|s| **s != tables.store) {
            changes.push(Change::PutStore(store.clone()));
        }
        if prune {
            changes.extend(self.deletions_from(tables));
        }
        changes
    }

    fn deletions_from(&self, tables: &Tables) -> Vec<Change> {
        let routes = tables.routes.keys();
        let routes = routes.filter(|n| self.routes.iter().all(|r| r.name != **n));
        let pools = tables.pools.keys();
        let pools = pools.filter(|n| self.pools.iter().all(|p| p.name != **n));
        let customers = tables.customers.keys();
        let customers = customers.filter(|n| self.customers.iter().all(|c| c.name != **n));
        let routes = routes.cloned().map(Change::DeleteRoute);
        let pools = pools.cloned().map(Change::DeletePool);
        let customers = customers.cloned().map(Change::DeleteCustomer);
        routes.chain(pools).chain(customers).collect()
    }
}

/// Reports duplicate names in a table, since only the last entry of each name would
/// be kept.
fn check_duplicates<'n, I>(findings: &mut Findings, place: &str, table: &str, names: I)
where
    I: Iterator<Item = &'n Name>,
{
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            findings.push(format!("{place}: {table}.{name}"), "stands twice");
        }
    }
}
