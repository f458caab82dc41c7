//! Measures the policies of `sequoiawing_policy` against their baselines.
//!
//! The placers and dispatchers of the daemons run here in virtual time.
//! Runners, the weight store, the log's allotments and the budgets are replaced
//! by small fakes. Networks and processes are not modelled. See
//! [docs/design](../../../docs/design).

mod bound;
mod breakdown;
mod budget;
mod deployment;
mod fakes;
mod figures;
mod plot;
mod policies;
mod run;
mod simulation;
mod table;
mod workload;

pub use breakdown::ColdStartBreakdown;
pub use deployment::Deployment;
pub use fakes::{RunnerSpec, StoreSpec};
pub use figures::{Figures, RequestFigures, WaitSummary};
pub use plot::{draw_cold_starts, draw_idle_hours};
pub use policies::{Policy, RateScope};
pub use run::{Comparison, Plan};
pub use simulation::{
    ColdLoad, ColdRequest, Counters, Fault, RequestOutcome, RequestStatus, Simulation,
    SimulationSettings, Violation,
};
pub use table::{write_breakdowns, write_table};
pub use workload::{Request, Scenario, Workload};
