use sequoiawing_types::Name;

/// The reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineReply {
    /// The engine has started to execute the order.
    Started,
    /// The engine is already in the ordered state.
    Holds,
    /// Another order is running, or the engine has accepted a different number
    /// of orders than expected.
    Busy,
    /// The engine has seen a higher term.
    Fenced,
    /// The order cannot be executed.
    Rejected,
    /// The address now belongs to another upstream.
    Moved,
    /// No part of the order was sent.
    NotSent,
    /// No reply arrived; the order may still be executed.
    Unknown,
}

/// The state that an engine reports on request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether an order is running.
    pub busy: bool,
    /// The number of orders accepted since the engine started.
    pub accepted: u64,
    /// The loaded models.
    pub loaded: Vec<Name>,
    /// The adapters that are loaded or being fetched, as `model:adapter`.
    pub adapters: Vec<Name>,
}
