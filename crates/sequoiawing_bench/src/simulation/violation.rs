use sequoiawing_types::{Name, Time};
use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// The models of a runner use more memory than it has.
    Overcommit {
        /// The time of the violation.
        at: Time,
        /// The runner.
        runner: Name,
        /// The memory of its models, in MiB.
        used: u64,
    },
    /// More replicas of a model are loaded than allotted.
    Surplus {
        /// The time of the violation.
        at: Time,
        /// The model.
        model: Name,
        /// The replicas that are loaded or loading.
        held: u32,
        /// The allotted replicas.
        allotted: u32,
    },
    /// A request was started while another attempt was still running.
    DuplicateRun {
        /// The time of the violation.
        at: Time,
        /// The request.
        request: usize,
    },
    /// A request was neither started nor refused by its deadline.
    Dropped {
        /// The request.
        request: usize,
    },
    /// A leaving runner was given a request or a load.
    WorkWhileLeaving {
        /// The time of the violation.
        at: Time,
        /// The runner.
        runner: Name,
    },
    /// An order identifier was reused in one term, other than by a resend of
    /// the latest order.
    RepeatedOrder {
        /// The time of the violation.
        at: Time,
        /// The identifier.
        id: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overcommit { at, runner, used } => {
                write!(
                    f,
                    "{at} {runner}: models use {used} MiB, more than its memory"
                )
            }
            Self::Surplus {
                at,
                model,
                held,
                allotted,
            } => write!(
                f,
                "{at} {model}: {held} replicas loaded or loading, {allotted} allotted"
            ),
            Self::DuplicateRun { at, request } => write!(
                f,
                "{at} request {request} started while another attempt was running"
            ),
            Self::Dropped { request } => write!(f, "request {request} got no answer"),
            Self::WorkWhileLeaving { at, runner } => {
                write!(f, "{at} {runner} was given work while leaving")
            }
            Self::RepeatedOrder { at, id } => {
                write!(f, "{at} order {id}: identifier was reused")
            }
        }
    }
}

/// The maximum number of recorded violations; all are counted.
const MAX_RECORDED: usize = 50;

/// Records and counts violations.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViolationLog {
    pub(crate) recorded: Vec<Violation>,
    pub(crate) overcommits: u64,
    pub(crate) surpluses: u64,
    pub(crate) doubles: u64,
    pub(crate) others: u64,
}

impl ViolationLog {
    pub(crate) fn record(&mut self, violation: Violation) {
        match violation {
            Violation::Overcommit { .. } => self.overcommits += 1,
            Violation::Surplus { .. } => self.surpluses += 1,
            Violation::DuplicateRun { .. } => self.doubles += 1,
            _ => self.others += 1,
        }
        if self.recorded.len() < MAX_RECORDED {
            self.recorded.push(violation);
        }
    }
}
