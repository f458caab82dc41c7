use sequoiawing_cell::CellSettings;
use sequoiawing_consensus::Timing;
use sequoiawing_fleet::Renewal;
use sequoiawing_router::intervals;
use sequoiawing_standin::EngineSettings;
use std::time::Duration;

/// Where a fixed input comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// The size that the users gave.
    Users,
    /// A constant or default of the code.
    Code,
    /// An assumption of this page.
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

/// One fixed input of the sums.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Input {
    pub(crate) name: &'static str,
    pub(crate) value: f64,
    pub(crate) unit: &'static str,
    pub(crate) origin: Origin,
}

/// The size to design for, and the limits on what control may cost a node.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The entry hosts.
    pub nodes: f64,
    /// The runners behind them.
    pub runners: f64,
    /// The requests a second at the peak.
    pub requests: f64,
    /// The models.
    pub models: f64,
    /// The adapters.
    pub adapters: f64,
    /// The part of models and adapters that wakes up or falls idle in an hour.
    pub turnover: f64,
    /// The data centres.
    pub centres: f64,
    /// The configuration changes of a day.
    pub changes: f64,
    /// How soon a change is in force everywhere, in seconds.
    pub spread: f64,
    /// The share of a core that control may take on a node.
    pub core: f64,
    /// The memory that control may take on a node, in bytes.
    pub memory: f64,
    /// The traffic that control may take on a node, in bytes a second.
    pub traffic: f64,
    /// The hosts that may be set aside for control.
    pub controllers: f64,
    /// The hosts that fail, are restarted or replaced in a day.
    pub replaced: f64,
    /// How often an upstream renews its announcement, in seconds.
    pub announce: f64,
    /// How often loads go to the routers of the data centre, in seconds.
    pub load: f64,
    /// How often loads go to the other data centres, in seconds.
    pub remote: f64,
    /// How often the cell looks over its decisions, in seconds.
    pub cell: f64,
    /// How often the dispatchers let time pass, in seconds.
    pub registry: f64,
    /// How often a router asks for newer tables when none come, in seconds.
    pub follow: f64,
    /// How often the leader of a cell renews its lease, in seconds.
    pub renewal: f64,
    /// How often the leader of the log shows that it is alive, in seconds.
    pub heartbeat: f64,
    /// The customers.
    pub customers: f64,
    /// The granted keys.
    pub keys: f64,
    /// The withdrawn keys that are remembered.
    pub withdrawn: f64,
    /// The routes.
    pub routes: f64,
    /// The models loaded on one runner.
    pub loaded: f64,
    /// The adapters loaded on one runner.
    pub resident: f64,
    /// The checkpoints on the disk of one runner.
    pub checkpoints: f64,
    /// The claimed calls a second.
    pub claims: f64,
    /// How long a claim is kept, in seconds.
    pub kept: f64,
    /// The changes of the busiest hour against the mean.
    pub busiest: f64,
    /// A round trip between the farthest regions, in seconds.
    pub distance: f64,
    /// How long the queue of a cold model lasts, in seconds.
    pub waking: f64,
    /// How often an upstream announces itself whole, in seconds.
    pub whole: f64,
    /// How often demands would be repeated, in seconds.
    pub repeat: f64,
}

impl Default for Size {
    fn default() -> Self {
        let interval = Duration::from_millis(EngineSettings::default().interval);
        Self {
            nodes: 350.0,
            runners: 3_700.0,
            requests: 27_000.0,
            models: 84.0,
            adapters: 75_000.0,
            turnover: 0.35,
            centres: 21.0,
            changes: 8_000.0,
            spread: 16.0,
            core: 0.045,
            memory: 32_000_000.0,
            traffic: 26_000.0,
            controllers: 9.0,
            replaced: 502.0,
            announce: interval.as_secs_f64(),
            load: intervals::LOAD.as_secs_f64(),
            remote: intervals::REMOTE.as_secs_f64(),
            cell: intervals::CELL.as_secs_f64(),
            registry: intervals::REGISTRY.as_secs_f64(),
            follow: intervals::FOLLOW.as_secs_f64(),
            renewal: CellSettings::default().renewal.as_secs_f64(),
            heartbeat: Timing::default().heartbeat_interval.as_secs_f64(),
            customers: 200.0,
            keys: 2_000.0,
            withdrawn: 20_000.0,
            routes: 300.0,
            loaded: 2.0,
            resident: 8.0,
            checkpoints: 10.0,
            claims: 30.0,
            kept: 3_600.0,
            busiest: 4.0,
            distance: 0.25,
            waking: 3.0,
            whole: Renewal::FULL_INTERVAL.as_secs_f64(),
            repeat: 1.0,
        }
    }
}

/// The seconds of a day.
const DAY: f64 = 86_400.0;

/// The seconds of an hour.
const HOUR: f64 = 3_600.0;

/// The changes by which a host is replaced: one is retired and one joins, and
/// the cell settles after each.
const REPLACEMENT_CHANGES: f64 = 4.0;

impl Size {
    /// Returns the routers of the largest data centre.
    pub fn routers_here(&self) -> f64 {
        (self.nodes / self.centres).ceil()
    }

    /// Returns the runners of the largest data centre.
    pub fn runners_here(&self) -> f64 {
        (self.runners / self.centres).ceil()
    }

    /// Returns the changes of the tables a second in the busiest hour, with
    /// those that the log itself makes when hosts come and go.
    pub fn change_rate(&self) -> f64 {
        (self.changes + self.replaced * REPLACEMENT_CHANGES) / DAY * self.busiest
    }

    /// Returns the models and adapters that wake up or fall idle in a second.
    pub fn turnover_rate(&self) -> f64 {
        (self.models + self.adapters) * self.turnover / HOUR
    }

    /// Returns the hosts that start anew in a second.
    pub fn start_rate(&self) -> f64 {
        self.replaced / DAY
    }

    /// Lists the inputs for the page.
    pub(crate) fn inputs(&self) -> Vec<Input> {
        use Origin::{Assumed, Code, Users};
        let rows = [
            ("entry hosts", self.nodes, "", Users),
            ("runners", self.runners, "", Users),
            ("requests at the peak", self.requests, "1/s", Users),
            ("models", self.models, "", Users),
            ("adapters", self.adapters, "", Users),
            (
                "of these awake or asleep within an hour",
                self.turnover,
                "",
                Users,
            ),
            ("data centres", self.centres, "", Users),
            ("changes of configuration", self.changes, "1/day", Users),
            ("in force everywhere within", self.spread, "s", Users),
            ("control: core", self.core, "cores", Users),
            ("control: memory", self.memory, "B", Users),
            ("control: traffic", self.traffic, "B/s", Users),
            ("control hosts", self.controllers, "", Users),
            (
                "hosts failed, restarted or replaced",
                self.replaced,
                "1/day",
                Users,
            ),
            ("whole announcements every", self.whole, "s", Code),
            ("renewals every", self.announce, "s", Code),
            ("loads inside the data centre every", self.load, "s", Code),
            ("loads to other data centres every", self.remote, "s", Code),
            ("interval of the cell", self.cell, "s", Code),
            ("interval of the dispatchers", self.registry, "s", Code),
            ("longest wait for newer tables", self.follow, "s", Code),
            ("renewal of a cell's lease", self.renewal, "s", Code),
            ("heartbeat of the log", self.heartbeat, "s", Code),
            ("customers", self.customers, "", Assumed),
            ("granted keys", self.keys, "", Assumed),
            ("withdrawn keys", self.withdrawn, "", Assumed),
            ("routes", self.routes, "", Assumed),
            ("models loaded on a runner", self.loaded, "", Assumed),
            ("adapters loaded on a runner", self.resident, "", Assumed),
            (
                "checkpoints on a runner's disk",
                self.checkpoints,
                "",
                Assumed,
            ),
            ("claimed calls", self.claims, "1/s", Assumed),
            ("a claim is kept", self.kept, "s", Assumed),
            ("busiest hour against the mean", self.busiest, "", Assumed),
            ("round trip between regions", self.distance, "s", Assumed),
            ("a cold model's queue lasts", self.waking, "s", Assumed),
        ];
        let input = |(name, value, unit, origin)| Input {
            name,
            value,
            unit,
            origin,
        };
        rows.into_iter().map(input).collect()
    }
}
