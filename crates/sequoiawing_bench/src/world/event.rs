use sequoiawing_fleet::{DemandStatus, Order, OrderReply};
use sequoiawing_types::{Name, Time};
use std::cmp::Ordering;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A runner's process dies.
    Kill(usize),
    /// A runner's process dies as soon as it loads something.
    KillInLoad(usize),
    /// A runner is started anew.
    Restart(usize),
    /// A runner stops doing anything, without its process ending.
    Freeze(usize),
    /// A frozen runner goes on.
    Thaw(usize),
    /// A runner's loads never end.
    Hang(usize),
    /// A runner's loads fail.
    FailLoads(usize),
    /// A runner's answers to orders are lost.
    Mute(usize),
    /// Orders to a runner are lost.
    LoseOrders(usize),
    /// A runner wants no new work.
    Leave(usize),
    /// A runner's loads, answers and orders work again.
    Recover(usize),
    /// The weight store's speed changes.
    StoreSpeed(f64),
    /// A data centre is cut off.
    Cut(usize),
    /// A data centre is reached again.
    Heal(usize),
    /// Another host leads a data centre, which has heard all announcements but
    /// knows of no order.
    NewLeader(usize),
    /// A customer's keys are withdrawn.
    Withdraw(usize),
}

/// What happens next in a world.
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
    Decided {
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
    StoreStart {
        runner: usize,
        epoch: u64,
        model: Name,
        memory: u64,
    },
    StoreEnd {
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
    Served {
        runner: usize,
        epoch: u64,
        request: usize,
        attempt: u32,
    },
    End,
}

/// An event at its time; the earliest is the greatest, for a heap.
#[derive(Clone, Debug)]
pub(crate) struct Due {
    pub(crate) at: Time,
    pub(crate) order: u64,
    pub(crate) event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
