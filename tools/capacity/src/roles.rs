//! Computes the cost of each role, for the current code and for the planned design.

use crate::{CapacityInputs, RoleCost, Slopes};

/// Returns the cost of every role, first for the current code and then for the
/// planned design.
pub fn role_costs(inputs: &CapacityInputs, slopes: &Slopes) -> Vec<RoleCost> {
    let built = CostModel {
        inputs,
        slopes,
        built: true,
    };
    let planned = CostModel {
        built: false,
        ..built
    };
    [built, planned].iter().flat_map(CostModel::roles).collect()
}

/// Interval at which an operator queries the status, in seconds.
const STATUS_INTERVAL: f64 = 60.0;

/// Interval at which a router repeats a demand in the current code, in seconds.
const DEMAND_INTERVAL: f64 = 0.25;

/// Interval at which the cell leader probes each member, in seconds.
const PROBE_INTERVAL: f64 = 5.0;

/// Interval between ticks of a cell member, in seconds.
const LEASE_TICK_INTERVAL: f64 = 0.02;

/// Number of routers per data centre that follow the controllers directly.
const RELAYS_PER_CENTRE: f64 = 2.0;

/// Number of edit outcomes that the tables retain for resent edits.
const RETAINED_OUTCOMES: f64 = 4_096.0;

/// Size of the saved changes from which the full tables replace them, in bytes.
const COMPACT_BYTES: f64 = 1_048_576.0;

/// Bytes of the status of one router.
const STATUS_BYTES: f64 = 180.0;

#[derive(Clone, Copy)]
struct CostModel<'a> {
    inputs: &'a CapacityInputs,
    slopes: &'a Slopes,
    built: bool,
}

impl CostModel<'_> {
    fn roles(&self) -> Vec<RoleCost> {
        vec![
            self.router(),
            self.cell_leader(),
            self.relay(),
            self.controller_leader(),
            self.controller_follower(),
            self.operator(),
        ]
    }

    /// Returns `built` for the current code and `planned` for the planned design.
    fn built_or_planned(&self, built: f64, planned: f64) -> f64 {
        if self.built { built } else { planned }
    }

    /// Returns the bytes of an empty call and its reply.
    fn empty_call(&self) -> f64 {
        let m = &self.slopes.message;
        m.envelope + m.empty_reply
    }

    /// Returns the bytes per second sent to one follower of the tables, including
    /// every change.
    fn follower_traffic(&self) -> f64 {
        let m = &self.slopes.message;
        let changes = self.inputs.change_rate();
        changes * (m.update + self.empty_call()) + self.empty_call() / self.inputs.follow_timeout
    }

    fn router(&self) -> RoleCost {
        let mut cost = RoleCost::new("router", self.built);
        cost.add("process", self.slopes.process_memory, 0.0, 0.0);
        self.add_announcements(&mut cost);
        self.add_relayed(&mut cost);
        self.add_tables(&mut cost);
        self.add_cell(&mut cost);
        self.add_dispatch(&mut cost);
        cost
    }

    /// Adds the announcements that upstreams post to this router.
    fn add_announcements(&self, cost: &mut RoleCost) {
        let (m, t) = (&self.slopes.message, &self.slopes.time);
        let own_upstreams = self.inputs.runners / self.inputs.nodes;
        let announcements = own_upstreams / self.inputs.announce_interval;
        let renewals = own_upstreams / self.inputs.renew_interval - announcements;
        let core = announcements * (t.decode_announcement + t.apply_announcement);
        cost.add(
            "announcements of own upstreams",
            0.0,
            announcements * m.announcement,
            core,
        );
        let core = renewals * (t.decode_renewal + t.apply_renewal);
        cost.add("renewals between them", 0.0, renewals * m.renewal, core);
    }

    /// Adds the state of upstreams that routers exchange.
    fn add_relayed(&self, cost: &mut RoleCost) {
        let (h, m, t) = (&self.slopes.heap, &self.slopes.message, &self.slopes.time);
        let local = self.inputs.runners_here() * h.local_upstream;
        cost.add("upstreams here", local, 0.0, 0.0);
        let remote = self.inputs.runners - self.inputs.runners_here();
        let remote = remote * h.remote_upstream;
        cost.add("upstreams of other data centres", remote, 0.0, 0.0);
        let own_upstreams = self.inputs.runners / self.inputs.nodes;
        let peers = self.inputs.routers_here() - 1.0;
        let exchanges = 2.0 * peers / self.inputs.load_interval;
        let core = exchanges * own_upstreams * t.apply_load;
        let traffic = exchanges * (own_upstreams * m.load_delta + m.empty_batch);
        cost.add("deltas inside the data centre", 0.0, traffic, core);
        let turnover = self.inputs.turnover_rate() / self.inputs.centres;
        let peer_factor = 2.0 * peers / self.inputs.routers_here();
        let traffic = turnover * peer_factor * (m.relayed_state + m.empty_batch);
        let core = turnover * (t.decode_announcement + t.apply_announcement);
        cost.add("loads and unloads here", 0.0, traffic, core);
        let turnover = self.inputs.turnover_rate() - turnover;
        let confirmations = (self.inputs.centres - 1.0) / self.inputs.remote_interval;
        let received = turnover * (m.summary_move + m.empty_batch)
            + confirmations * (m.confirmation + m.empty_batch);
        let forwarded = received * peers / self.inputs.routers_here();
        let core = (turnover + confirmations) * t.apply_summary;
        cost.add("summaries of other data centres", 0.0, received, core);
        cost.add("the same, passed on in turn", 0.0, forwarded, 0.0);
    }

    /// Adds the current tables and their changes.
    fn add_tables(&self, cost: &mut RoleCost) {
        let (h, m, t) = (&self.slopes.heap, &self.slopes.message, &self.slopes.time);
        let changes = self.inputs.change_rate();
        let compacted = m.saved_update / COMPACT_BYTES * t.encode_tables;
        let core = changes * (t.apply_update + t.encode_update + compacted);
        cost.add(
            "tables in force",
            h.tables + h.table_copy,
            self.follower_traffic(),
            core,
        );
    }

    /// Adds the work of a member of the data centre's cell.
    fn add_cell(&self, cost: &mut RoleCost) {
        let (h, t) = (&self.slopes.heap, &self.slopes.time);
        let core = self.built_or_planned(t.observe_cell / LEASE_TICK_INTERVAL, 0.0);
        cost.add("cell lease", 0.0, self.lease_traffic(), core);
        if self.built {
            let updates = self.inputs.turnover_rate() * t.apply_announcement;
            let review = t.refresh_cell / self.inputs.cell_interval + updates;
            cost.add("cell: upstreams looked over", h.pools_copy, 0.0, review);
        }
    }

    /// Returns the bytes per second by which a leader renews the promise of one
    /// member.
    fn lease_traffic(&self) -> f64 {
        let m = &self.slopes.message;
        m.lease / self.inputs.lease_renewal
    }

    fn add_dispatch(&self, cost: &mut RoleCost) {
        let t = &self.slopes.time;
        let ticks = t.tick / self.inputs.tick_interval;
        let dispatching = self.inputs.request_rate / self.inputs.nodes * t.dispatch;
        cost.add(
            "choice of an upstream for each request",
            0.0,
            0.0,
            ticks + dispatching,
        );
    }

    /// Returns the cost of a cell leader, including that of a router.
    fn cell_leader(&self) -> RoleCost {
        let mut cost = self.router_with_role("cell leader");
        let (m, t) = (&self.slopes.message, &self.slopes.time);
        let members = self.inputs.routers_here() - 1.0;
        cost.add(
            "promises of the other members",
            0.0,
            (members - 1.0) * self.lease_traffic(),
            0.0,
        );
        let probes = members / PROBE_INTERVAL * (self.empty_call() + STATUS_BYTES);
        cost.add("probes of the members", 0.0, probes, 0.0);
        let turnover = self.inputs.turnover_rate() / self.inputs.centres / 2.0;
        let interval = self.built_or_planned(DEMAND_INTERVAL, self.inputs.demand_interval);
        let demand_rate = turnover * self.inputs.routers_here() * self.inputs.cold_wait / interval;
        let demand_bytes = m.demand + m.empty_reply;
        cost.add(
            "demands",
            0.0,
            demand_rate * demand_bytes,
            demand_rate * t.answer_demand,
        );
        let moves = 2.0 * turnover * (m.summary_move + m.empty_batch);
        let confirmations = (m.confirmation + m.empty_batch) / self.inputs.remote_interval;
        let traffic = (self.inputs.centres - 1.0) * (moves + confirmations);
        cost.add("summary to the other data centres", 0.0, traffic, 0.0);
        let orders = 2.0 * turnover;
        cost.add("orders", 0.0, orders * m.order, 0.0);
        if !self.built {
            let rate = self.inputs.runners_here() / self.inputs.announce_interval + orders;
            cost.add(
                "placer, told of what changed",
                0.0,
                0.0,
                rate * t.apply_announcement,
            );
        }
        cost
    }

    /// Returns the cost of a relay: that of a router and of serving the tables.
    fn relay(&self) -> RoleCost {
        let mut cost = self.router_with_role("relay");
        let followers = (self.inputs.routers_here() - RELAYS_PER_CENTRE) / RELAYS_PER_CENTRE;
        let traffic = followers * self.follower_traffic();
        cost.add("changes to the routers here", 0.0, traffic, 0.0);
        cost
    }

    fn router_with_role(&self, name: &'static str) -> RoleCost {
        RoleCost {
            name,
            ..self.router()
        }
    }

    /// Returns the rate of commands in the log, in commands per second, and their
    /// mean size, in bytes.
    fn log_commands(&self) -> (f64, f64) {
        let m = &self.slopes.message;
        let changes = self.inputs.change_rate();
        let claims = self.inputs.claim_rate;
        let claim = m.claim + m.settle;
        let rate = changes + 2.0 * claims;
        let bytes = changes * m.edit + claims * claim;
        (rate, bytes / rate)
    }

    /// Returns the cost that every controller has: its state and the application of
    /// commands.
    fn controller(&self, name: &'static str) -> RoleCost {
        let mut cost = RoleCost::new(name, self.built);
        cost.add("process", self.slopes.process_memory, 0.0, 0.0);
        let (h, m, t) = (&self.slopes.heap, &self.slopes.message, &self.slopes.time);
        let changes = self.inputs.change_rate();
        let tables = h.tables + h.table_copy;
        cost.add("tables and edits", tables, 0.0, changes * t.apply_edit);
        cost.add(
            "outcomes kept for resends",
            RETAINED_OUTCOMES * h.edit_outcome,
            0.0,
            0.0,
        );
        let claims = self.inputs.claim_rate * self.inputs.claim_retention;
        cost.add(
            "claims kept",
            claims * h.claim,
            0.0,
            self.inputs.claim_rate * t.apply_claim,
        );
        let relays = RELAYS_PER_CENTRE * self.inputs.centres / self.inputs.controllers;
        cost.add(
            "changes to its share of the relays",
            0.0,
            relays * self.follower_traffic(),
            0.0,
        );
        let starts = self.inputs.start_rate() / self.inputs.controllers;
        let core = starts * (t.publish + t.encode_tables);
        cost.add(
            "snapshots for routers that start",
            m.tables,
            starts * m.tables,
            core,
        );
        cost
    }

    fn controller_leader(&self) -> RoleCost {
        let mut cost = self.controller("controller leader");
        let t = &self.slopes.time;
        let (rate, bytes) = self.log_commands();
        let traffic = rate * (bytes + self.slopes.message.empty_reply);
        cost.add("proposals", 0.0, traffic, rate * t.decode_edit);
        let others = self.inputs.controllers - 1.0;
        cost.add(
            "log to the followers",
            0.0,
            others * self.log_traffic(rate),
            0.0,
        );
        cost
    }

    /// Returns the bytes per second of the log to one follower: entries and
    /// heartbeats with their replies.
    fn log_traffic(&self, rate: f64) -> f64 {
        let m = &self.slopes.message;
        rate * (m.log_entry + m.heartbeat) + m.heartbeat / self.inputs.heartbeat_interval
    }

    fn controller_follower(&self) -> RoleCost {
        let mut cost = self.controller("controller follower");
        let (rate, _) = self.log_commands();
        let core = rate * self.slopes.time.decode_edit;
        cost.add("log from the leader", 0.0, self.log_traffic(rate), core);
        cost
    }

    /// Returns the cost of an operator who queries the status once a minute.
    fn operator(&self) -> RoleCost {
        let mut cost = RoleCost::new("sequoiactl", self.built);
        let (m, t) = (&self.slopes.message, &self.slopes.time);
        let hosts = self.inputs.nodes + self.inputs.controllers;
        let status = hosts * (self.empty_call() + STATUS_BYTES) / STATUS_INTERVAL;
        cost.add("status of every host once a minute", 0.0, status, 0.0);
        let memory = self.slopes.heap.tables + m.tables;
        let edits = self.inputs.daily_changes / DAY * self.inputs.peak_factor;
        let traffic = edits * (m.tables + m.edit);
        cost.add(
            "tables read before each change",
            memory,
            traffic,
            edits * t.decode_tables,
        );
        cost
    }
}

/// Seconds per day.
const DAY: f64 = 86_400.0;
