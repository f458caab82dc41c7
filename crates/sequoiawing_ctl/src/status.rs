use crate::{
    CtlError, Host, OperatorClient, Problem, Report, UpstreamList, find_problems,
    operator::CallResult, report::format_table, upstreams,
};
use sequoiawing_link::{ControlStatus, RouterStatus};
use sequoiawing_tables::{Revision, Tables};
use sequoiawing_types::Name;
use serde::Serialize;

/// The status that a host reported, or the reason that it did not.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostReport<S> {
    /// The name of the host.
    pub host: Name,
    /// The data centre that the host is in.
    pub centre: Name,
    /// The reported status; `None` if the host did not reply.
    pub status: Option<S>,
    /// The reason that the host did not reply.
    pub problem: Option<String>,
}

/// The status of all hosts and the problems of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// The newest revision reported by any host.
    pub revision: Revision,
    /// The reports of the controllers.
    pub controllers: Vec<HostReport<ControlStatus>>,
    /// The reports of the routers.
    pub routers: Vec<HostReport<RouterStatus>>,
    /// The number of live upstreams.
    pub upstreams: usize,
    /// The problems, the most severe first.
    pub problems: Vec<Problem>,
}

impl Overview {
    /// Combines the reports of the hosts and finds the problems.
    pub fn new(
        controllers: Vec<HostReport<ControlStatus>>,
        routers: Vec<HostReport<RouterStatus>>,
        tables: Option<&Tables>,
        upstreams: &UpstreamList,
    ) -> Self {
        let controller_statuses = controllers.iter().filter_map(|c| c.status.as_ref());
        let router_statuses = routers.iter().filter_map(|r| r.status.as_ref());
        let revisions = controller_statuses
            .map(|s| s.revision)
            .chain(router_statuses.map(|s| s.revision));
        let mut overview = Self {
            revision: revisions.max().unwrap_or_default(),
            controllers,
            routers,
            upstreams: upstreams.upstreams.len(),
            problems: Vec::new(),
        };
        overview.problems = find_problems(&overview, tables, upstreams);
        overview
    }
}

impl Report for Overview {
    fn text(&self) -> String {
        let sections = [
            self.problem_text(),
            self.controller_text(),
            self.router_text(),
        ];
        sections.join("\n\n")
    }
}

impl Overview {
    fn problem_text(&self) -> String {
        if self.problems.is_empty() {
            return format!(
                "No problems; {} is in force, {} upstreams are alive.",
                self.revision, self.upstreams
            );
        }
        let mut lines = vec!["PROBLEMS".to_owned()];
        for problem in &self.problems {
            lines.push(format!("  {problem}"));
            lines.push(format!("      {}", problem.hint));
        }
        lines.join("\n")
    }

    fn controller_text(&self) -> String {
        let rows = self.controllers.iter().map(|row| match &row.status {
            Some(s) => vec![
                row.host.to_string(),
                s.role.clone(),
                s.term.to_string(),
                s.commit.to_string(),
                s.revision.to_string(),
                s.disk.clone(),
            ],
            None => vec![row.host.to_string(), "unreachable".to_owned()],
        });
        let header = ["CONTROLLER", "ROLE", "TERM", "COMMIT", "REVISION", "DISK"];
        format_table(header, rows)
    }

    fn router_text(&self) -> String {
        let header = [
            "ROUTER",
            "CENTRE",
            "REVISION",
            "LEADER",
            "OPEN",
            "WAITING",
            "UPSTREAMS",
            "STATE",
        ];
        format_table(header, self.routers.iter().map(router_row))
    }
}

fn router_row(row: &HostReport<RouterStatus>) -> Vec<String> {
    let mut columns = vec![row.host.to_string(), row.centre.to_string()];
    let Some(s) = &row.status else {
        columns.extend(["-", "-", "-", "-", "-", "unreachable"].map(str::to_owned));
        return columns;
    };
    let leader = s.leader.as_ref().map_or("-", |l| l.as_str());
    let state = if s.draining { "draining" } else { "serving" };
    columns.extend([
        s.revision.to_string(),
        leader.to_owned(),
        s.open.to_string(),
        s.waiting.to_string(),
        s.upstreams.to_string(),
        state.to_owned(),
    ]);
    columns
}

/// Fetches the status of all hosts concurrently.
pub(crate) async fn status(operator: &OperatorClient) -> Result<Overview, CtlError> {
    let tables = operator.read_any().await;
    let router_hosts = operator.routers(tables.as_ref());
    let controllers =
        operator.call_controllers(|client, context| async move { client.status(context).await });
    let routers = operator.call_routers(&router_hosts, |client, context| async move {
        client.status(context).await
    });
    let upstreams = upstreams::fetch(operator, &router_hosts);
    let (controllers, routers, upstreams) = futures::join!(controllers, routers, upstreams);
    let controllers = to_host_reports(&operator.deployment.controllers, controllers);
    let routers = to_host_reports(&router_hosts, routers);
    Ok(Overview::new(
        controllers,
        routers,
        tables.as_ref(),
        &upstreams,
    ))
}

fn to_host_reports<S>(hosts: &[Host], replies: Vec<CallResult<S>>) -> Vec<HostReport<S>> {
    let pairs = hosts.iter().zip(replies);
    let rows = pairs.map(|(host, reply)| {
        let problem = reply.as_ref().err().map(ToString::to_string);
        HostReport {
            host: host.host.clone(),
            centre: host.centre.clone(),
            status: reply.ok(),
            problem,
        }
    });
    rows.collect()
}
