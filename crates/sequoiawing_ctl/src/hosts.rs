use crate::{CtlError, OperatorClient, Report, report::format_table};
use sequoiawing_tables::{Command, Outcome, Revision};
use sequoiawing_types::Name;
use serde::Serialize;
use std::net::SocketAddr;

/// A host and the process that it runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct HostRow {
    host: Name,
    centre: Name,
    address: SocketAddr,
    runs: &'static str,
    joined: bool,
}

/// The hosts of the deployment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct HostList {
    hosts: Vec<HostRow>,
}

impl Report for HostList {
    fn text(&self) -> String {
        let rows = self.hosts.iter().map(|h| {
            vec![
                h.host.to_string(),
                h.centre.to_string(),
                h.address.to_string(),
                h.runs.to_owned(),
                if h.joined { "yes" } else { "no" }.to_owned(),
            ]
        });
        format_table(["HOST", "CENTRE", "ADDRESS", "RUNS", "JOINED"], rows)
    }
}

/// Lists the controllers in the deployment file and all routers.
pub(crate) async fn list(operator: &OperatorClient) -> Result<HostList, CtlError> {
    let tables = operator.read_any().await;
    let has_joined = |host: &Name| tables.as_ref().is_some_and(|t| t.hosts.contains_key(host));
    let controllers = operator.deployment.controllers.iter().map(|h| HostRow {
        host: h.host.clone(),
        centre: h.centre.clone(),
        address: h.address,
        runs: "controller",
        joined: true,
    });
    let routers = operator
        .routers(tables.as_ref())
        .into_iter()
        .map(|h| HostRow {
            joined: has_joined(&h.host),
            host: h.host,
            centre: h.centre,
            address: h.address,
            runs: "router",
        });
    Ok(HostList {
        hosts: controllers.chain(routers).collect(),
    })
}

/// The result of retiring a host.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RetireReport {
    host: Name,
    revision: Revision,
}

impl Report for RetireReport {
    fn text(&self) -> String {
        format!("{} is retired from {} on", self.host, self.revision)
    }
}

/// Removes a router from its data centre's cell.
pub(crate) async fn retire(
    operator: &OperatorClient,
    host: &str,
    dead: bool,
) -> Result<RetireReport, CtlError> {
    let host = Name::from(host);
    let tables = operator.read().await?;
    if !tables.hosts.contains_key(&host) {
        return Err(CtlError::UnknownHost(host));
    }
    let command = Command::Retire {
        host: host.clone(),
        dead,
    };
    match operator.propose(&command).await? {
        Outcome::Accepted(revision) => Ok(RetireReport { host, revision }),
        Outcome::Unsettled(centre) => Err(CtlError::Unsettled(centre)),
        other => Err(CtlError::Unexpected(format!("{other:?}"))),
    }
}
