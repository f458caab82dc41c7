//! A simulation of owners, cell leaders and routers on a lossy network in
//! virtual time, with a checker for the total.

mod checker;
mod clock;
mod events;
mod faults;
pub(crate) mod loads;
mod network;
mod settings;
mod world;

pub(crate) use checker::Checker;
pub(crate) use network::{Network, Node};
pub(crate) use settings::{InjectedFault, Settings};
pub(crate) use world::World;
