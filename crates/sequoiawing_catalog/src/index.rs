use crate::{Catalog, CatalogCustomer, CatalogPool, CatalogRoute, Engine, ModelSpec};
use sequoiawing_types::Name;
use std::{collections::HashMap, sync::Arc};

/// An index of a catalog for looking up requests.
///
/// It is built once for each version of the catalog, so that the cost of a
/// request does not depend on the number of routes.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    catalog: Arc<Catalog>,
    /// The version of the catalog, if there is one.
    version: Option<u64>,
    /// The routes by host and path prefix.
    routes: HashMap<Box<str>, HashMap<Box<str>, Arc<CatalogRoute>>>,
    customers: HashMap<Arc<str>, Arc<CatalogCustomer>>,
    /// The positions of the pools in the catalog.
    pools: HashMap<Name, usize>,
    /// The positions of the models in their pools, by pool and name.
    models: HashMap<Name, HashMap<Name, usize>>,
    /// The accelerator memory reserved for adapters by pool, in MB.
    reserves: HashMap<Name, u64>,
}

impl CatalogIndex {
    /// Builds the index of a catalog.
    pub fn new(catalog: &Arc<Catalog>) -> Self {
        let mut index = Self {
            catalog: catalog.clone(),
            version: Some(catalog.version),
            ..Self::default()
        };
        for route in &catalog.routes {
            let host = route.host.as_str().to_ascii_lowercase().into_boxed_str();
            let prefixes = index.routes.entry(host).or_default();
            prefixes.insert(route.prefix.as_str().into(), Arc::new(route.clone()));
        }
        for customer in &catalog.customers {
            let shared = Arc::new(customer.clone());
            let keys = customer.keys.iter();
            let keys = keys.map(|key| (key.clone(), shared.clone()));
            index.customers.extend(keys);
        }
        for (i, pool) in catalog.pools.iter().enumerate() {
            index.pools.insert(pool.name.clone(), i);
            let models = pool.engine.iter().flat_map(|e| &e.models).enumerate();
            let models = models.map(|(m, model)| (model.name.clone(), m)).collect();
            index.models.insert(pool.name.clone(), models);
            let reserve = pool.engine.as_ref().map_or(0, Engine::adapter_reserve);
            index.reserves.insert(pool.name.clone(), reserve);
        }
        index
    }

    /// Returns the indexed catalog.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the version of the catalog; `None` if there is none.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the route of a host with the longest matching prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<CatalogRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let mut ends: Vec<usize> = ends.collect();
        ends.reverse();
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Returns the customer that a key belongs to.
    pub fn customer(&self, key: &str) -> Option<&Arc<CatalogCustomer>> {
        self.customers.get(key)
    }

    /// Returns whether requests need a key on routes that are not open.
    pub fn requires_keys(&self) -> bool {
        !self.catalog.customers.is_empty()
    }

    /// Returns the pool of the given name.
    pub fn pool(&self, name: &Name) -> Option<&CatalogPool> {
        let index = self.pools.get(name)?;
        Some(&self.catalog.pools[*index])
    }

    /// Returns the accelerator memory that each engine of a pool reserves for
    /// adapters, in MB.
    pub fn adapter_reserve(&self, pool: &Name) -> u64 {
        self.reserves.get(pool).copied().unwrap_or_default()
    }

    /// Returns the model of the given name in a pool.
    pub fn model(&self, pool: &Name, model: &Name) -> Option<&ModelSpec> {
        let index = self.models.get(pool)?.get(model)?;
        self.pool(pool)?.engine.as_ref()?.models.get(*index)
    }
}
