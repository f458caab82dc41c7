//! A soak of the real programs as separate processes on loopback.
//!
//! Faults come from a seed: signals, restarts in series and runners that misbehave. The
//! judge holds what callers received against what runners received and made. See
//! `docs/SOAK.md`.

mod caller;
mod event_ids;
mod judge;
mod links;
mod plan;
mod processes;
mod record;
mod report;
mod run;
mod runner;
mod wire;

pub use judge::{Bounds, Finding, Promise, Verdict, judge};
pub use links::LinkState;
pub use plan::{Fault, Size, Step, plan};
pub use processes::leash;
pub use record::{End, Record, Sent, now_ms};
pub use run::{Settings, run};
pub use runner::{Brittle, Mode, run_runner};
