//! A serving system for many rarely used models.
//!
//! This facade re-exports the crates of the workspace under one name; the
//! daemons are thin wrappers around it. See
//! [docs/ARCHITECTURE.md](../docs/ARCHITECTURE.md).

pub mod daemon;
pub mod demo;

pub use sequoiawing_budget as budget;
pub use sequoiawing_catalog as catalog;
pub use sequoiawing_cell as cell;
pub use sequoiawing_consensus as consensus;
pub use sequoiawing_controller as controller;
pub use sequoiawing_ctl as ctl;
pub use sequoiawing_fleet as fleet;
pub use sequoiawing_gateway as gateway;
pub use sequoiawing_http as http;
pub use sequoiawing_hub as hub;
pub use sequoiawing_link as link;
pub use sequoiawing_policy as policy;
pub use sequoiawing_router as router;
pub use sequoiawing_runtime as runtime;
pub use sequoiawing_settings as settings;
pub use sequoiawing_standin as standin;
pub use sequoiawing_tables as tables;
pub use sequoiawing_telemetry as telemetry;
pub use sequoiawing_types as types;

/// The types that embedding programs import most often.
pub mod prelude {
    pub use sequoiawing_controller::prelude::*;
    pub use sequoiawing_router::prelude::*;
    pub use sequoiawing_tables::prelude::*;
    pub use sequoiawing_types::prelude::*;
}
