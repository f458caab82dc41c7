//! Service discovery and aggregation for upstreams and gateways.
//!
//! A hub runs in the process of each controller. It keeps the roster of
//! announced upstreams and aggregates the customers' usage and the demand for
//! models. The hub of the leading controller also orders engines to load
//! models. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod aggregation;
mod departure;
mod engine;
mod evacuation;
mod handover;
mod hub;
mod load_request;
mod loader;
mod mirror;
mod orders;
mod places;
mod poison;
mod relay;
mod service;
mod stream_origins;
mod upstream_limits;

pub use aggregation::{DemandDeduplicator, UsageAggregator};
pub use departure::DepartureError;
pub use engine::{EngineClient, EngineOrder, LoaderOptions};
pub use hub::{Hub, HubSettings};
