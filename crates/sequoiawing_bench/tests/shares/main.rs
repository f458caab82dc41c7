//! Simulation of allotments across the log, the cells and the placers.

mod checker;
mod network;
mod random;
mod runner;
mod simulation;
