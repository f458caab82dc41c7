mod demands;
mod dispatcher;
mod event;
mod prefixes;
mod queue;
mod settings;
mod upstream;
mod upstreams;

pub use dispatcher::Dispatcher;
pub use event::{DispatchAction, DispatchEvent};
pub use settings::DispatchSettings;
