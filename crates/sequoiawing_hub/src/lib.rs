//! Where upstreams announce themselves and gateways learn of them.
//!
//! A hub stands beside each controller. It keeps the roster of upstreams, adds
//! up what customers use and what models are asked for, and, beside the
//! controller that leads the log, orders engines to load models. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod boards;
mod engine;
mod handover;
mod hub;
mod loader;
mod mirror;
mod relay;
mod service;

pub use boards::{DemandBoard, UsageBoard};
pub use engine::{EngineClient, EngineOrder, Ordering};
pub use hub::{Hub, HubSettings};
