//! Measures unit costs and computes the tables of
//! [docs/CAPACITY.md](../../../docs/CAPACITY.md) from them.
//!
//! [`CapacityInputs`] describes the deployment to design for. [`Slopes`] holds the
//! cost of one more entry, message or event, measured on this machine.
//! [`role_costs`] combines the two into the cost of each role.

mod cost;
mod heap;
mod inputs;
mod messages;
mod page;
mod probe;
mod roles;
mod samples;
mod slopes;
mod state_machines;
mod timer;
mod times;

pub use cost::{Cost, MechanismCost, RoleCost};
pub use inputs::CapacityInputs;
pub use page::{input_table, render, replace_section};
pub use probe::{encoded_bytes, mean_micros};
pub use roles::role_costs;
pub use slopes::Slopes;
