//! The adapters of requests at upstreams, which hubs are told of for as long as these last.

use crate::{GatewayExchange, GatewayState};
use parking_lot::Mutex;
use sequoiawing_link::ModelDemand;
use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// How long after the last report of an adapter it is reported again. Loaders take an adapter
/// for unused 4 s after they last heard of it.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

type AdapterKey = (Name, Name, Name);

struct InUse {
    requests: usize,
    /// When hubs were last told; at first by the request itself.
    reported: Time,
}

/// The adapters of open requests, by pool, model and adapter.
#[derive(Clone, Default)]
pub(crate) struct AdaptersInUse {
    adapters: Arc<Mutex<HashMap<AdapterKey, InUse>>>,
}

impl AdaptersInUse {
    fn begin(&self, now: Time, key: AdapterKey) -> AdapterUse {
        let mut adapters = self.adapters.lock();
        let adapter = adapters.entry(key.clone()).or_insert(InUse {
            requests: 0,
            reported: now,
        });
        adapter.requests += 1;
        AdapterUse {
            in_use: self.clone(),
            key,
        }
    }

    /// Returns the adapters that are due to be reported, as demand without new requests.
    pub(crate) fn take_due(&self, now: Time) -> Vec<ModelDemand> {
        let mut adapters = self.adapters.lock();
        let due = adapters
            .iter_mut()
            .filter(|(_, adapter)| now >= adapter.reported + REPORT_INTERVAL);
        let due = due.map(|((pool, model, name), adapter)| {
            adapter.reported = now;
            ModelDemand {
                pool: pool.clone(),
                model: model.clone(),
                adapter: Some(name.clone()),
                ..ModelDemand::default()
            }
        });
        due.collect()
    }
}

/// A request with an adapter at an upstream; ends on drop.
pub(crate) struct AdapterUse {
    in_use: AdaptersInUse,
    key: AdapterKey,
}

impl Drop for AdapterUse {
    fn drop(&mut self) {
        let mut adapters = self.in_use.adapters.lock();
        if let Some(adapter) = adapters.get_mut(&self.key) {
            adapter.requests -= 1;
            if adapter.requests == 0 {
                adapters.remove(&self.key);
            }
        }
    }
}

impl GatewayState {
    /// Counts the adapter that a request needs, if any, as in use.
    pub(crate) fn use_adapter(&self, exchange: &GatewayExchange) -> Option<AdapterUse> {
        let meta = &exchange.meta;
        let (model, adapter) = (meta.model.clone()?, meta.adapter.clone()?);
        let key = (exchange.pool.clone(), model, adapter);
        Some(self.adapters.begin(self.now(), key))
    }
}
