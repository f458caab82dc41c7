use crate::{Overview, UpstreamList, upstreams::served_pools};
use sequoiawing_link::{ControlStatus, RouterStatus};
use sequoiawing_tables::{Revision, Tables};
use sequoiawing_types::Name;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// The severity of a problem.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Requests of callers or commands of operators fail now.
    Error,
    /// Callers are served, but a further failure may make requests fail.
    Warning,
}

/// A problem of a deployment.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Problem {
    /// The severity of the problem.
    pub severity: Severity,
    /// The host, data centre or table entry that has the problem.
    pub place: String,
    /// The description of the problem.
    pub problem: String,
    /// A hint on how an operator can resolve the problem.
    pub hint: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{label:<8}{}: {}", self.place, self.problem)
    }
}

/// The problems found so far.
#[derive(Debug, Default)]
struct ProblemList(Vec<Problem>);

impl ProblemList {
    fn push<P, T>(&mut self, severity: Severity, place: P, problem: T, hint: &str)
    where
        P: fmt::Display,
        T: Into<String>,
    {
        self.0.push(Problem {
            severity,
            place: place.to_string(),
            problem: problem.into(),
            hint: hint.to_owned(),
        });
    }
}

/// The number of revisions that a host may lag behind while changes propagate.
const MAX_REVISION_LAG: u64 = 1;

/// Finds the problems of a deployment, the most severe first.
///
/// `tables` are the newest that a controller returned, if one answered.
pub fn find_problems(
    overview: &Overview,
    tables: Option<&Tables>,
    upstreams: &UpstreamList,
) -> Vec<Problem> {
    let mut problems = ProblemList::default();
    check_controllers(overview, &mut problems);
    check_routers(overview, &mut problems);
    check_centres(overview, &mut problems);
    if let Some(tables) = tables {
        check_tables(tables, upstreams, &mut problems);
    }
    problems.0.sort();
    problems.0
}

fn check_controllers(overview: &Overview, problems: &mut ProblemList) {
    let all = overview.controllers.len();
    let reached = overview
        .controllers
        .iter()
        .filter_map(|c| c.status.as_ref());
    let leaders = reached.clone().filter(|s| s.role == "leader");
    let term = leaders.clone().map(|s| s.term).max();
    let leader_count = leaders.filter(|s| Some(s.term) == term).count();
    if leader_count == 0 {
        let problem = format!(
            "no leader; {} of {all} answer, {} are needed",
            reached.clone().count(),
            all / 2 + 1
        );
        let hint = "nothing can be changed until a majority runs; routers go on serving";
        problems.push(Severity::Error, "controllers", problem, hint);
    }
    if leader_count > 1 {
        let problem = format!("{leader_count} leaders in one term");
        let hint = "never expected; keep the dumps of all controllers and report it";
        problems.push(Severity::Error, "controllers", problem, hint);
    }
    for row in &overview.controllers {
        if let Some(problem) = &row.problem {
            let hint = "start it, or replace the host; see docs/OPERATORS.md";
            problems.push(Severity::Warning, &row.host, problem, hint);
            continue;
        }
        let Some(status) = &row.status else {
            continue;
        };
        check_controller(&row.host, status, problems);
        if is_behind(status.revision, overview) {
            let revision = status.revision;
            let problem = format!("has applied {revision}, behind {}", overview.revision);
            let hint = "catches up by itself; if not, see its log and its disk";
            problems.push(Severity::Warning, &row.host, problem, hint);
        }
    }
}

/// Checks the disk, the bootstrap and the role of a controller.
///
/// A controller whose disk fails does not vote, and a learner does not count
/// towards a majority.
fn check_controller(host: &Name, status: &ControlStatus, problems: &mut ProblemList) {
    if !matches!(status.disk.as_str(), "" | "sound") {
        let problem = format!("its disk: {}", status.disk);
        let hint = "see docs/OPERATORS.md, lost disk";
        problems.push(Severity::Warning, host, problem, hint);
    }
    for obstacle in &status.obstacles {
        let hint = "the first voters form the log once all are started on empty disks";
        problems.push(Severity::Error, host, obstacle, hint);
    }
    if status.role == "learner" {
        let hint = "it votes once it has a seat and has caught up: `sequoiactl controllers seat`";
        problems.push(Severity::Warning, host, "does not vote", hint);
    }
}

fn is_behind(revision: Revision, overview: &Overview) -> bool {
    overview.revision.0.saturating_sub(revision.0) > MAX_REVISION_LAG
}

fn check_routers(overview: &Overview, problems: &mut ProblemList) {
    for row in &overview.routers {
        let Some(status) = &row.status else {
            let problem = row.problem.clone().unwrap_or_default();
            let hint = "its neighbours serve on; a host that stays away is retired by itself, \
                        or by `sequoiactl hosts retire`";
            problems.push(Severity::Warning, &row.host, problem, hint);
            continue;
        };
        check_router(overview, &row.host, status, problems);
    }
}

fn check_router(
    overview: &Overview,
    host: &Name,
    status: &RouterStatus,
    problems: &mut ProblemList,
) {
    if status.revision == Revision(0) {
        let hint = "it serves nobody until it reaches a controller or a neighbour with tables";
        problems.push(Severity::Error, host, "waits for tables", hint);
    } else if is_behind(status.revision, overview) {
        let problem = format!(
            "{} is in force, behind {}",
            status.revision, overview.revision
        );
        let hint = "it may be cut off from the controllers; it catches up by itself";
        problems.push(Severity::Warning, host, problem, hint);
    }
    if status.draining {
        let hint = "expected before a stop; undo by `sequoiactl drain --undo router HOST`";
        problems.push(Severity::Warning, host, "is draining", hint);
    }
}

/// Checks that each data centre has one leader that all its routers agree on.
fn check_centres(overview: &Overview, problems: &mut ProblemList) {
    let mut centres: BTreeMap<&Name, BTreeSet<Option<&Name>>> = BTreeMap::new();
    for row in &overview.routers {
        if let Some(status) = &row.status {
            let leaders = centres.entry(&status.centre).or_default();
            leaders.insert(status.leader.as_ref());
        }
    }
    for (centre, leaders) in centres {
        if leaders.iter().all(Option::is_none) {
            let hint = "loaded models are served, nothing is loaded; start its routers, or \
                        retire those that are gone by `sequoiactl hosts retire`";
            problems.push(Severity::Error, centre, "has no leader", hint);
        } else if leaders.len() > 1 {
            let hint = "usual for a second after a change of leader; else some are cut off";
            problems.push(
                Severity::Warning,
                centre,
                "routers disagree on the leader",
                hint,
            );
        }
    }
}

fn check_tables(tables: &Tables, upstreams: &UpstreamList, problems: &mut ProblemList) {
    let served = served_pools(upstreams);
    for pool in tables.pools.keys().filter(|p| !served.contains(p)) {
        let routes = tables.routes.values().filter(|r| r.pool == *pool).count();
        let problem = format!("no upstream takes work; {routes} routes lead here");
        let hint = "check that its upstreams run and announce this pool and data centre";
        problems.push(Severity::Error, format!("pools.{pool}"), problem, hint);
    }
    for upstream in &tables.drained {
        let hint = "expected before it is stopped; undo by `sequoiactl drain --undo upstream`";
        problems.push(
            Severity::Warning,
            upstream,
            "is drained by an operator",
            hint,
        );
    }
    for (centre, cell) in &tables.cells {
        if !cell.settled && tables.members(centre).next().is_some() {
            let hint = "settles once a leader holds its lease; until then no host joins or leaves";
            problems.push(
                Severity::Warning,
                centre,
                "its members are still changing",
                hint,
            );
        }
    }
}
