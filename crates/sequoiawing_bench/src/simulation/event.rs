use sequoiawing_fleet::{DemandStatus, Order, OrderReply};
use sequoiawing_types::{Name, Time};
use std::cmp::Ordering;

/// A fault injected into a simulation. Numbers are indexes into the
/// deployment's lists.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A runner's process dies.
    Kill(usize),
    /// A runner's process dies in the middle of its next load.
    KillInLoad(usize),
    /// A runner restarts.
    Restart(usize),
    /// A runner stops responding while its process stays alive.
    Freeze(usize),
    /// A frozen runner resumes.
    Thaw(usize),
    /// A runner's loads never complete.
    Hang(usize),
    /// A runner's loads fail.
    FailLoads(usize),
    /// A runner's replies to orders are lost.
    Mute(usize),
    /// Orders to a runner are lost.
    LoseOrders(usize),
    /// A runner announces that it is leaving and must get no new work.
    Leave(usize),
    /// A runner's loads, replies and orders work again.
    Recover(usize),
    /// The weight store's speed changes to this fraction of full speed.
    StoreSpeed(f64),
    /// A data centre is disconnected.
    Cut(usize),
    /// A data centre is reconnected.
    Heal(usize),
    /// Another host becomes leader of a data centre. It has received all
    /// announcements but knows no pending orders.
    NewLeader(usize),
    /// A customer's keys are withdrawn.
    Withdraw(usize),
}

/// An event of a simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Retry {
        request: usize,
        avoid: Name,
    },
    Fault(Fault),
    Announce {
        runner: usize,
        epoch: u64,
    },
    Expire {
        runner: usize,
        sequence: u64,
    },
    TickPlacer(usize),
    TickRouter(usize),
    Order {
        runner: usize,
        centre: usize,
        order: Order,
    },
    Reply {
        centre: usize,
        id: u64,
        reply: Option<OrderReply>,
    },
    DemandAnswered {
        router: usize,
        target: Name,
        state: DemandStatus,
    },
    Allot {
        centre: usize,
        term: u64,
        target: (Name, Name),
        want: u32,
    },
    Recorded {
        centre: usize,
        term: u64,
        number: u64,
    },
    Recall {
        centre: usize,
        target: (Name, Name),
    },
    TransferStart {
        runner: usize,
        epoch: u64,
        model: Name,
        memory: u64,
    },
    TransferEnd {
        version: u64,
    },
    LoadEnd {
        runner: usize,
        epoch: u64,
        model: Name,
    },
    AdapterEnd {
        runner: usize,
        epoch: u64,
        adapter: Name,
    },
    RequestEnd {
        runner: usize,
        epoch: u64,
        request: usize,
        attempt: u32,
    },
    End,
}

/// An event with its time. The ordering is reversed so that a max-heap yields
/// the earliest event first.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at: Time,
    pub(crate) sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
