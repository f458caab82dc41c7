//! Logs and metrics of the daemons.
//!
//! Each component logs under a fixed log target, so that operators can filter by
//! component. Repeated log lines are rate-limited, and the suppressed ones are
//! counted. Metrics follow the OpenTelemetry conventions for names and units, and
//! are scraped over HTTP. See
//! [docs/OPERATORS.md](../../../docs/OPERATORS.md).

mod listener;
mod logs;
mod meters;
mod throttle;

pub use listener::serve_metrics;
pub use logs::{LogFormat, flush_logs, start_logging};
pub use meters::{MeterError, Meters, RequestAttributes, WithinRate};
pub use throttle::{Admission, Throttle, ThrottleSettings};
