//! Logs and metrics of the daemons.
//!
//! Each part logs short sentences under a fixed prefix, its log target, so that
//! an operator can filter by part; a fault that repeats is logged a few times
//! and then counted. Metrics have the names and units of the OpenTelemetry
//! conventions and are scraped over HTTP. See
//! [docs/OPERATORS.md](../../../docs/OPERATORS.md).

mod listener;
mod logs;
mod meters;
mod throttle;

pub use listener::serve_metrics;
pub use logs::{LogFormat, finish_logging, start_logging};
pub use meters::{Asked, MeterError, Meters, Within};
pub use throttle::{Admitted, Throttle, ThrottleSettings};
