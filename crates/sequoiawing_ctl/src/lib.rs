//! The operators' command line.
//!
//! `sequoiactl` reads a deployment file that names controllers and routers,
//! and calls them over the authenticated link. Each command returns a
//! [`Report`], printed as a table or as JSON. See
//! [docs/OPERATORS.md](../../../docs/OPERATORS.md).

mod apply;
mod budgets;
mod cli;
mod controllers;
mod deployment;
mod diff;
mod dump;
mod edit;
mod error;
mod explain;
mod hosts;
mod keys;
mod operator;
mod problems;
mod report;
mod run;
mod status;
mod table_file;
mod upstreams;

pub use apply::{ApplyOptions, ApplyReport, read_tables};
pub use budgets::BudgetList;
pub use cli::command;
pub use deployment::{Deployment, Host};
pub use diff::{Difference, diff};
pub use error::CtlError;
pub use explain::Explanations;
pub use operator::OperatorClient;
pub use problems::{Problem, Severity, find_problems};
pub use report::{OutputFormat, Report, render};
pub use run::{print_error, run};
pub use status::{HostReport, Overview};
pub use table_file::TableFile;
pub use upstreams::{ListedUpstream, UpstreamList};
