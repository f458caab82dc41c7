use sequoiawing_fleet::{Order, OrderReply, UpstreamState};
use sequoiawing_tables::Pool;
use sequoiawing_types::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The parameters with which a host leads its cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Leadership {
    /// The term, which is the fencing token of all orders.
    pub term: u64,
    /// The identifier that precedes that of the first order. It must exceed all
    /// identifiers used in the term, including those of an earlier run of this
    /// process.
    pub order_base: u64,
    /// How long an order of an earlier leader may still be carried out: the
    /// remainder of its lease plus the maximum lifetime of an order.
    pub order_grace: Duration,
    /// How long upstreams unknown to this host may still hold replicas. Zero if
    /// the host has been listening for the time after which an upstream is
    /// presumed dead, or if there was no earlier leader.
    pub discovery_wait: Duration,
}

/// An input to a placer.
#[derive(Clone, Debug)]
pub enum PlaceEvent {
    /// This host became the cell leader in a term, or stopped leading.
    LeadershipChanged {
        /// The parameters of leadership, or `None` if another host leads.
        leadership: Option<Leadership>,
    },
    /// The pools changed.
    Configured {
        /// All pools.
        pools: Vec<Pool>,
    },
    /// The set of data centres with hosts changed.
    Centres {
        /// All data centres with hosts.
        centres: BTreeSet<Name>,
    },
    /// The cell returned the earlier leader's record of what the data centre
    /// may hold without asking the log.
    Inherited {
        /// The replicas by pool and model.
        counts: BTreeMap<(Name, Name), u32>,
    },
    /// A majority of cell members has stored a record and all earlier ones.
    Recorded {
        /// The number of the record.
        number: u64,
    },
    /// Another data centre needs a replica of a model whose share this one may
    /// hold.
    Recalled {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
    },
    /// An upstream of the data centre announced itself.
    Announced(Arc<UpstreamState>),
    /// An upstream's announcement expired.
    Gone {
        /// The upstream.
        upstream: Name,
    },
    /// The log answered how many replicas the data centre may hold. The driver
    /// sends this once for each [`PlaceAction::Allot`], and not for an earlier
    /// term.
    Allotted {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The number of replicas, or `None` if the log could not be reached.
        count: Option<u32>,
    },
    /// An upstream answered an order. The reply is `None` if it was lost.
    Replied {
        /// The order.
        id: u64,
        /// The reply.
        reply: Option<OrderReply>,
    },
    /// The owner of the fleet's load budget granted a part of it. The first
    /// grant replaces the static share of the settings.
    LoadCredits {
        /// The maximum number of concurrent loads from the weight store.
        slots: u32,
        /// The additional number of loads from the weight store that may be
        /// started.
        starts: u32,
    },
    /// The owner of the fleet's load budget is unreachable. The static share of
    /// the settings applies until the next grant.
    CreditsLost,
    /// The owner of the fleet's budget of adapter loads granted a part of it.
    AdapterCredits {
        /// The maximum number of concurrent adapter loads.
        slots: u32,
    },
    /// Time has passed.
    Tick,
}

/// An output of a placer, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceAction {
    /// Sends an order to an upstream.
    Send {
        /// The upstream.
        upstream: Name,
        /// The order.
        order: Order,
    },
    /// Asks the log for the number of replicas that the data centre may hold.
    Allot {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The total number of replicas requested.
        want: u32,
    },
    /// Stores on a majority of cell members what the data centre may hold.
    /// [`PlaceEvent::Recorded`] follows.
    Record {
        /// The sequence number of the record.
        number: u64,
        /// The replicas by pool and model.
        counts: BTreeMap<(Name, Name), u32>,
    },
    /// Asks the other data centres to release their unused share of a model.
    Recall {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
    },
    /// Reports to the owners of the fleet's budgets how much this data centre
    /// could use now. Sent on change.
    ReportDemand {
        /// The running and waiting loads from the weight store.
        loads: u32,
        /// The running and waiting adapter loads.
        adapters: u32,
    },
}
