//! Simulated engines, plain services and callers.
//!
//! They implement the interfaces in docs/UPSTREAMS.md and docs/CALLERS.md, so
//! that a deployment can be tested and measured without accelerators.

mod announcer;
mod drain;
mod engine;
mod fault;
mod generate;
mod journal;
mod load;
mod load_report;
mod raw;
mod request_log;
mod service;
mod settings;
mod store;

pub use engine::Engine;
pub use fault::Fault;
pub use load::{LoadCustomer, LoadSettings, run_load};
pub use load_report::{CustomerSummary, LoadReport, TimeSummary};
pub use service::Service;
pub use settings::{EngineSettings, ServiceSettings};
