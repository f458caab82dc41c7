//! Builds sample tables, announcements, messages and commands.

mod relay;

pub(crate) use relay::{
    empty_batch, full_summary, load_delta, moved_summary, relayed_state, renewal, source,
};

use sequoiawing_cell::{CellReply, CellRequest, RequestKind, Version};
use sequoiawing_consensus::{DeploymentId, Entry, Envelope, Message, Payload, Position, ReplicaId};
use sequoiawing_fleet::{CustomerDemand, Demand, Order, OrderKind, UpstreamState};
use sequoiawing_policy::DispatchRequest;
use sequoiawing_tables::{
    Access, BearerKey, Change, Claim, ClaimId, ClaimState, Command, Customer, KeyId, Model, Pool,
    Revision, Route, RouterHost, Tables, Update,
};
use sequoiawing_types::{Name, RequestId, Time};
use std::time::Duration;

/// The number of entries of each kind in sample tables.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TableSizes {
    pub(crate) customers: u32,
    pub(crate) keys: u32,
    pub(crate) withdrawn_keys: u32,
    pub(crate) routes: u32,
    pub(crate) models: u32,
    pub(crate) adapters: u32,
    pub(crate) hosts: u32,
}

fn name(prefix: &str, i: u32) -> Name {
    Name::from(format!("{prefix}-{i:05}"))
}

fn pool_name() -> Name {
    Name::from("captions")
}

/// Builds tables with one pool.
pub(crate) fn tables(sizes: TableSizes) -> Tables {
    let mut tables = Tables::default();
    tables.revision = Revision(8_000);
    for i in 0..sizes.customers {
        let customer = customer(i);
        tables.customers.insert(customer.name.clone(), customer);
    }
    for i in 0..sizes.keys {
        let key = BearerKey::random().to_stored_key(name("customer", i % sizes.customers.max(1)));
        tables.keys.insert(key.id.clone(), key);
    }
    for _ in 0..sizes.withdrawn_keys {
        tables.withdrawn.insert(BearerKey::random().id);
    }
    for i in 0..sizes.routes {
        let route = route(i);
        tables.routes.insert(route.name.clone(), route);
    }
    for i in 0..sizes.hosts {
        let host = host(i);
        tables.hosts.insert(host.host.clone(), host);
    }
    let pool = pool(sizes.models, sizes.adapters);
    tables.pools.insert(pool.name.clone(), pool);
    tables
}

/// Builds a pool whose adapters are distributed evenly over its models.
pub(crate) fn pool(models: u32, adapters: u32) -> Pool {
    let adapter_count = |i: u32| adapters / models.max(1) + u32::from(i < adapters % models.max(1));
    let model = |i: u32| Model {
        name: name("model", i),
        memory: 14_000,
        replicas: 40,
        adapters: (0..adapter_count(i)).map(|a| name("adapter", a)).collect(),
    };
    Pool {
        name: pool_name(),
        models: (0..models).map(model).collect(),
        ..Pool::default()
    }
}

fn customer(i: u32) -> Customer {
    Customer {
        name: name("customer", i),
        ..Customer::default()
    }
}

/// Number of routers per data centre in the samples.
pub(crate) const ROUTERS_PER_CENTRE: u32 = 17;

fn host(i: u32) -> RouterHost {
    RouterHost {
        host: name("entry", i),
        centre: centre(i / ROUTERS_PER_CENTRE),
        address: ([10, 20, 30, 40], 7_000).into(),
    }
}

/// Returns the name of a data centre.
pub(crate) fn centre(i: u32) -> Name {
    Name::from(format!("region-{}-centre-{i}", i / 3))
}

fn route(i: u32) -> Route {
    Route {
        name: name("route", i),
        prefix: format!("/v1/route-{i:05}"),
        access: Access::Customers(vec![name("customer", 0)]),
        pool: pool_name(),
        repeatable: true,
        ..Route::default()
    }
}

/// The number of models, adapters and checkpoints on one runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerContents {
    pub(crate) models: u32,
    pub(crate) adapters: u32,
    pub(crate) checkpoints: u32,
}

/// Number of runners per data centre in the samples.
pub(crate) const RUNNERS_PER_CENTRE: u32 = 177;

/// Builds the announcement of one runner.
pub(crate) fn announcement(i: u32, sequence: u64, contents: RunnerContents) -> UpstreamState {
    let model = |m: u32| name("model", (i + m) % 84);
    let adapter = |a: u32| Name::from(format!("{}:{}", model(a % 2), name("adapter", i + a)));
    UpstreamState {
        name: name("runner", i),
        pool: pool_name(),
        centre: centre(i / RUNNERS_PER_CENTRE),
        address: Some(([10, 20, 30, 40], 8_000).into()),
        epoch: 1_700_000_000_000,
        sequence,
        lifetime: 2_000,
        fenced: true,
        fence: 1_234,
        memory: 80_000,
        slots: 64,
        running: 17,
        loaded: (0..contents.models).map(model).collect(),
        adapters: (0..contents.adapters).map(adapter).collect(),
        active: (0..contents.models).map(model).collect(),
        disk: (0..contents.checkpoints).map(model).collect(),
        cached: (0..contents.models).map(model).collect(),
        ..UpstreamState::default()
    }
}

/// Builds the demand of one router for an adapter.
pub(crate) fn demand() -> Demand {
    Demand {
        host: name("entry", 1),
        pool: pool_name(),
        model: name("model", 1),
        adapter: Some(Name::from("model-00001:adapter-00001")),
        waiting: 3,
        tokens: 1_500,
        deadline: 4_000,
        pace: 50,
        shares: vec![CustomerDemand {
            customer: name("customer", 1),
            weight: 1,
            tokens: 1_500,
            deadline: 4_000,
        }],
        ..Demand::default()
    }
}

/// Builds an order to load an adapter.
pub(crate) fn order() -> Order {
    Order {
        id: 1_234_567,
        fence: 1_234,
        epoch: 1_700_000_000_000,
        kind: OrderKind::LoadAdapter {
            adapter: Name::from("model-00001:adapter-00001"),
        },
    }
}

/// Builds a request for a model that is loaded on the first runners.
pub(crate) fn dispatch_request(id: u64) -> DispatchRequest {
    DispatchRequest {
        id,
        customer: name("customer", 1),
        weight: 1,
        model: Some(name("model", 1)),
        tokens: 512,
        deadline: Time::ZERO + Duration::from_hours(1),
        ..DispatchRequest::default()
    }
}

/// Builds an edit that replaces a route.
pub(crate) fn edit(i: u32, base: Option<Revision>) -> Command {
    let route = Route {
        deadline: 30_000 + u64::from(i),
        ..route(0)
    };
    Command::Edit {
        request: RequestId::random(),
        base,
        changes: vec![Change::PutRoute(route)],
    }
}

/// Builds an edit that grants one more key.
pub(crate) fn grant(_: u32) -> Command {
    let key = BearerKey::random().to_stored_key(name("customer", 0));
    single_change_edit(Change::GrantKey(key))
}

/// Builds an edit that adds a route.
pub(crate) fn new_route(i: u32) -> Command {
    single_change_edit(Change::PutRoute(route(i)))
}

fn single_change_edit(change: Change) -> Command {
    Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![change],
    }
}

/// Builds the update that a follower receives for one change.
pub(crate) fn update(base: Revision, i: u32) -> Update {
    let Command::Edit { changes, .. } = edit(i, None) else {
        unreachable!("`edit` returns `Command::Edit`");
    };
    let revisions = vec![changes.into()];
    Update::Changes { base, revisions }
}

/// Builds a request for a lease promise and its reply.
pub(crate) fn lease() -> (CellRequest, CellReply) {
    let (from, term, epoch, round) = (name("entry", 1), 1_700_000_000_000, 12, 123_456);
    let version = Version {
        term,
        number: 1_234,
    };
    let request = CellRequest {
        from: from.clone(),
        term,
        epoch,
        round,
        kind: RequestKind::Promise,
        has: Some(version),
        record: None,
    };
    let reply = CellReply {
        from: name("entry", 2),
        round,
        granted: true,
        term,
        epoch,
        holder: Some(from),
        has: Some(version),
        newer: None,
    };
    (request, reply)
}

/// Builds the message by which the leader of the log appends entries at a
/// follower; without commands it is a heartbeat.
pub(crate) fn append(commands: &[Command]) -> Vec<Envelope> {
    let position = |index| Position { index, term: 1_234 };
    let entry = |(i, command): (u64, &Command)| Entry {
        index: 123_456 + i,
        term: 1_234,
        payload: Payload::Command(serde_json::to_string(command).unwrap_or_default().into()),
    };
    vec![envelope(Message::Append {
        term: 1_234,
        prev: position(123_455),
        entries: (0..).zip(commands).map(entry).collect(),
        commit: 123_455,
        round: 1_234_567,
    })]
}

/// Builds the follower's reply to [`append`].
pub(crate) fn append_reply() -> Vec<Envelope> {
    vec![envelope(Message::AppendReply {
        term: 1_234,
        round: 1_234_567,
        matched: Some(123_456),
        hint: 123_456,
    })]
}

fn envelope(message: Message) -> Envelope {
    Envelope {
        from: ReplicaId(wide_id(1)),
        address: ([10, 20, 30, 40], 7_003).into(),
        to: Some(ReplicaId(wide_id(2))),
        deployment: Some(DeploymentId(wide_id(3))),
        message,
    }
}

/// Returns an identifier with as many digits as a random one.
fn wide_id(seed: u64) -> u64 {
    u64::MAX / 3 + seed
}

/// Builds the claim of a call that must not be retried.
pub(crate) fn claim(i: u32) -> Command {
    Command::Claim {
        id: claim_id(i),
        claim: Claim {
            until: 0,
            attempt: format!("{i:032x}"),
            digest: format!("{i:064x}"),
            state: ClaimState::Open,
            expiry: u64::MAX,
        },
        now: 1,
    }
}

fn claim_id(i: u32) -> ClaimId {
    ClaimId {
        customer: name("customer", 1),
        route: name("route", 1),
        key: format!("{i:036x}"),
    }
}

/// Builds the command that records the outcome of a claimed call.
pub(crate) fn settle(i: u32) -> Command {
    Command::Settle {
        id: claim_id(i),
        attempt: format!("{i:032x}"),
        state: ClaimState::Ended(sequoiawing_types::Ran::Yes),
    }
}

/// Builds the identifier of a withdrawn key.
pub(crate) fn key_id(i: u32) -> KeyId {
    KeyId::from(format!("{i:016x}").as_str())
}
