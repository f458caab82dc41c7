//! Checks that a cell never has two leaders, under random faults and in
//! scripted scenarios.

mod random;
mod records;
mod scripted;
mod simulation;
