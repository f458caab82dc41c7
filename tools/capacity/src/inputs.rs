use sequoiawing_cell::CellSettings;
use sequoiawing_consensus::Timing;
use sequoiawing_fleet::Renewal;
use sequoiawing_router::intervals;
use sequoiawing_standin::EngineSettings;
use std::time::Duration;

/// The origin of a fixed input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A requirement stated by the users.
    Users,
    /// A constant or default of the code.
    Code,
    /// An assumption of the capacity model.
    Assumed,
}

impl Origin {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Users => "users",
            Self::Code => "code",
            Self::Assumed => "assumed",
        }
    }
}

/// One row of the table of fixed inputs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InputRow {
    pub(crate) name: &'static str,
    pub(crate) value: f64,
    pub(crate) unit: &'static str,
    pub(crate) origin: Origin,
}

/// The fixed inputs of the capacity model: the deployment to design for and the
/// limits on what the control plane may cost a node.
#[derive(Clone, Copy, Debug)]
pub struct CapacityInputs {
    /// Number of entry hosts.
    pub nodes: f64,
    /// Number of runners behind the entry hosts.
    pub runners: f64,
    /// Peak request rate, in requests per second.
    pub request_rate: f64,
    /// Number of models.
    pub models: f64,
    /// Number of adapters.
    pub adapters: f64,
    /// Fraction of the models and adapters that become active or idle per hour.
    pub hourly_turnover: f64,
    /// Number of data centres.
    pub centres: f64,
    /// Configuration changes per day.
    pub daily_changes: f64,
    /// Time within which a change must be in effect everywhere, in seconds.
    pub propagation_limit: f64,
    /// Limit on the processor time of the control plane on a node, in cores.
    pub core_limit: f64,
    /// Limit on the memory of the control plane on a node, in bytes.
    pub memory_limit: f64,
    /// Limit on the traffic of the control plane on a node, in bytes per second.
    pub traffic_limit: f64,
    /// Number of hosts that may be dedicated to the control plane.
    pub controllers: f64,
    /// Hosts that fail, are restarted or are replaced per day.
    pub daily_replacements: f64,
    /// Interval at which an upstream renews its announcement, in seconds.
    pub renew_interval: f64,
    /// Interval of load updates to the routers of the same data centre, in seconds.
    pub load_interval: f64,
    /// Interval of load updates to the other data centres, in seconds.
    pub remote_interval: f64,
    /// Interval at which the cell reviews its decisions, in seconds.
    pub cell_interval: f64,
    /// Interval between ticks of the dispatchers, in seconds.
    pub tick_interval: f64,
    /// Longest time a router waits for newer tables before it asks again, in
    /// seconds.
    pub follow_timeout: f64,
    /// Interval at which the leader of a cell renews its lease, in seconds.
    pub lease_renewal: f64,
    /// Interval between heartbeats of the leader of the replicated log, in seconds.
    pub heartbeat_interval: f64,
    /// Number of customers.
    pub customers: f64,
    /// Number of granted keys.
    pub keys: f64,
    /// Number of withdrawn keys that are retained.
    pub withdrawn_keys: f64,
    /// Number of routes.
    pub routes: f64,
    /// Number of models loaded on one runner.
    pub loaded_models: f64,
    /// Number of adapters loaded on one runner.
    pub loaded_adapters: f64,
    /// Number of checkpoints on the disk of one runner.
    pub checkpoints: f64,
    /// Rate of calls that take a claim, in calls per second.
    pub claim_rate: f64,
    /// Time for which a claim is retained, in seconds.
    pub claim_retention: f64,
    /// Ratio of the change rate in the busiest hour to the mean.
    pub peak_factor: f64,
    /// Round-trip time between the most distant regions, in seconds.
    pub round_trip: f64,
    /// Time for which requests for an unloaded model are queued, in seconds.
    pub cold_wait: f64,
    /// Interval at which an upstream sends its full announcement, in seconds.
    pub announce_interval: f64,
    /// Planned interval at which a router repeats a demand, in seconds.
    pub demand_interval: f64,
}

impl Default for CapacityInputs {
    fn default() -> Self {
        let interval = Duration::from_millis(EngineSettings::default().interval);
        Self {
            nodes: 350.0,
            runners: 3_700.0,
            request_rate: 27_000.0,
            models: 84.0,
            adapters: 75_000.0,
            hourly_turnover: 0.35,
            centres: 21.0,
            daily_changes: 8_000.0,
            propagation_limit: 16.0,
            core_limit: 0.045,
            memory_limit: 32_000_000.0,
            traffic_limit: 26_000.0,
            controllers: 9.0,
            daily_replacements: 502.0,
            renew_interval: interval.as_secs_f64(),
            load_interval: intervals::LOAD.as_secs_f64(),
            remote_interval: intervals::REMOTE.as_secs_f64(),
            cell_interval: intervals::CELL.as_secs_f64(),
            tick_interval: intervals::REGISTRY.as_secs_f64(),
            follow_timeout: intervals::FOLLOW.as_secs_f64(),
            lease_renewal: CellSettings::default().renewal.as_secs_f64(),
            heartbeat_interval: Timing::default().heartbeat_interval.as_secs_f64(),
            customers: 200.0,
            keys: 2_000.0,
            withdrawn_keys: 20_000.0,
            routes: 300.0,
            loaded_models: 2.0,
            loaded_adapters: 8.0,
            checkpoints: 10.0,
            claim_rate: 30.0,
            claim_retention: 3_600.0,
            peak_factor: 4.0,
            round_trip: 0.25,
            cold_wait: 3.0,
            announce_interval: Renewal::FULL_INTERVAL.as_secs_f64(),
            demand_interval: 1.0,
        }
    }
}

/// Seconds per day.
const DAY: f64 = 86_400.0;

/// Seconds per hour.
const HOUR: f64 = 3_600.0;

/// Changes of the tables per replaced host: one host is retired and one joins,
/// and the cell settles a new epoch after each.
const REPLACEMENT_CHANGES: f64 = 4.0;

impl CapacityInputs {
    /// Returns the number of routers in the largest data centre.
    pub fn routers_here(&self) -> f64 {
        (self.nodes / self.centres).ceil()
    }

    /// Returns the number of runners in the largest data centre.
    pub fn runners_here(&self) -> f64 {
        (self.runners / self.centres).ceil()
    }

    /// Returns the table changes per second in the busiest hour, including
    /// those caused by hosts that join or leave.
    pub fn change_rate(&self) -> f64 {
        (self.daily_changes + self.daily_replacements * REPLACEMENT_CHANGES) / DAY
            * self.peak_factor
    }

    /// Returns the models and adapters that become active or idle per second.
    pub fn turnover_rate(&self) -> f64 {
        (self.models + self.adapters) * self.hourly_turnover / HOUR
    }

    /// Returns the hosts that start per second.
    pub fn start_rate(&self) -> f64 {
        self.daily_replacements / DAY
    }

    /// Returns the rows of the page's table of inputs.
    pub(crate) fn rows(&self) -> Vec<InputRow> {
        use Origin::{Assumed, Code, Users};
        let rows = [
            ("entry hosts", self.nodes, "", Users),
            ("runners", self.runners, "", Users),
            ("requests at the peak", self.request_rate, "1/s", Users),
            ("models", self.models, "", Users),
            ("adapters", self.adapters, "", Users),
            (
                "of these awake or asleep within an hour",
                self.hourly_turnover,
                "",
                Users,
            ),
            ("data centres", self.centres, "", Users),
            (
                "changes of configuration",
                self.daily_changes,
                "1/day",
                Users,
            ),
            (
                "in force everywhere within",
                self.propagation_limit,
                "s",
                Users,
            ),
            ("control: core", self.core_limit, "cores", Users),
            ("control: memory", self.memory_limit, "B", Users),
            ("control: traffic", self.traffic_limit, "B/s", Users),
            ("control hosts", self.controllers, "", Users),
            (
                "hosts failed, restarted or replaced",
                self.daily_replacements,
                "1/day",
                Users,
            ),
            (
                "whole announcements every",
                self.announce_interval,
                "s",
                Code,
            ),
            ("renewals every", self.renew_interval, "s", Code),
            (
                "loads inside the data centre every",
                self.load_interval,
                "s",
                Code,
            ),
            (
                "loads to other data centres every",
                self.remote_interval,
                "s",
                Code,
            ),
            ("interval of the cell", self.cell_interval, "s", Code),
            ("interval of the dispatchers", self.tick_interval, "s", Code),
            (
                "longest wait for newer tables",
                self.follow_timeout,
                "s",
                Code,
            ),
            ("renewal of a cell's lease", self.lease_renewal, "s", Code),
            ("heartbeat of the log", self.heartbeat_interval, "s", Code),
            ("customers", self.customers, "", Assumed),
            ("granted keys", self.keys, "", Assumed),
            ("withdrawn keys", self.withdrawn_keys, "", Assumed),
            ("routes", self.routes, "", Assumed),
            ("models loaded on a runner", self.loaded_models, "", Assumed),
            (
                "adapters loaded on a runner",
                self.loaded_adapters,
                "",
                Assumed,
            ),
            (
                "checkpoints on a runner's disk",
                self.checkpoints,
                "",
                Assumed,
            ),
            ("claimed calls", self.claim_rate, "1/s", Assumed),
            ("a claim is kept", self.claim_retention, "s", Assumed),
            (
                "busiest hour against the mean",
                self.peak_factor,
                "",
                Assumed,
            ),
            ("round trip between regions", self.round_trip, "s", Assumed),
            ("a cold model's queue lasts", self.cold_wait, "s", Assumed),
        ];
        let row = |(name, value, unit, origin)| InputRow {
            name,
            value,
            unit,
            origin,
        };
        rows.into_iter().map(row).collect()
    }
}
