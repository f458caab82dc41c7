mod allotment_log;
mod runner;
mod store;

pub(crate) use allotment_log::AllotmentLog;
pub use runner::RunnerSpec;
pub(crate) use runner::{FakeRunner, StartedWork};
pub(crate) use store::FakeStore;
pub use store::StoreSpec;
