use crate::{CtlError, Host, OperatorClient, Report, report::format_table};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_tables::{Change, Revision};
use sequoiawing_types::Name;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// An upstream as known by the routers that answered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// The newest state that the upstream announced.
    pub state: UpstreamState,
    /// The number of routers that know the upstream.
    pub seen: usize,
}

/// All live upstreams.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamList {
    /// The upstreams, sorted by name.
    pub upstreams: Vec<ListedUpstream>,
    /// The number of routers that answered.
    pub answered: usize,
}

impl UpstreamList {
    /// Merges the replies of several routers; the newest state of each upstream is
    /// kept.
    pub fn merge<I>(replies: I) -> Self
    where
        I: IntoIterator<Item = Vec<UpstreamState>>,
    {
        let mut by_name: BTreeMap<Name, ListedUpstream> = BTreeMap::new();
        let mut answered = 0;
        for states in replies {
            answered += 1;
            for state in states {
                merge_state(&mut by_name, state);
            }
        }
        Self {
            upstreams: by_name.into_values().collect(),
            answered,
        }
    }
}

fn merge_state(by_name: &mut BTreeMap<Name, ListedUpstream>, state: UpstreamState) {
    let version = |s: &UpstreamState| (s.epoch, s.sequence);
    let listed = by_name
        .entry(state.name.clone())
        .or_insert_with(|| ListedUpstream {
            state: state.clone(),
            seen: 0,
        });
    listed.seen += 1;
    if version(&state) > version(&listed.state) {
        listed.state = state;
    }
}

const HEADER: [&str; 8] = [
    "UPSTREAM", "POOL", "CENTRE", "STATE", "RUNNING", "MODELS", "ADAPTERS", "SEEN BY",
];

impl Report for UpstreamList {
    fn text(&self) -> String {
        let rows = self.upstreams.iter().map(|u| {
            let s = &u.state;
            vec![
                s.name.to_string(),
                s.pool.to_string(),
                s.centre.to_string(),
                state_label(s).to_owned(),
                format!("{}/{}", s.running, s.slots),
                join_names(&s.loaded),
                s.adapters.len().to_string(),
                format!("{}/{}", u.seen, self.answered),
            ]
        });
        format_table(HEADER, rows)
    }
}

fn state_label(state: &UpstreamState) -> &'static str {
    if state.leaving {
        "leaving"
    } else if !state.loading.is_empty() {
        "loading"
    } else {
        "ready"
    }
}

fn join_names(list: &[Name]) -> String {
    let names: Vec<&str> = list.iter().map(Name::as_str).collect();
    if names.is_empty() {
        "-".to_owned()
    } else {
        names.join(",")
    }
}

/// Fetches the upstreams that the routers know.
pub(crate) async fn fetch(operator: &OperatorClient, routers: &[Host]) -> UpstreamList {
    let replies = operator
        .call_routers(routers, |client, context| async move {
            client.upstreams(context).await
        })
        .await;
    UpstreamList::merge(replies.into_iter().filter_map(Result::ok))
}

/// Lists all upstreams.
pub(crate) async fn list(operator: &OperatorClient) -> Result<UpstreamList, CtlError> {
    let tables = operator.read_any().await;
    let routers = operator.routers(tables.as_ref());
    Ok(fetch(operator, &routers).await)
}

/// The result of a drain command.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DrainReport {
    name: Name,
    kind: &'static str,
    draining: bool,
    revision: Option<Revision>,
}

impl Report for DrainReport {
    fn text(&self) -> String {
        let (kind, name) = (self.kind, &self.name);
        match (self.draining, self.revision) {
            (true, Some(revision)) => {
                format!("the {kind} {name} gets no new work from {revision} on")
            }
            (false, Some(revision)) => format!("the {kind} {name} gets work from {revision} on"),
            (true, None) => format!(
                "the {kind} {name} fails its health check; stop its process once the \
                 balancer has taken it out"
            ),
            (false, None) => format!("the {kind} {name} passes its health check again"),
        }
    }
}

/// Stops new requests to an upstream, or allows them again with `undo`.
pub(crate) async fn drain_upstream(
    operator: &OperatorClient,
    upstream: &str,
    undo: bool,
) -> Result<DrainReport, CtlError> {
    let name = Name::from(upstream);
    let change = if undo {
        Change::Undrain(name.clone())
    } else {
        Change::Drain(name.clone())
    };
    let revision = operator.edit(None, vec![change]).await?;
    Ok(DrainReport {
        name,
        kind: "upstream",
        draining: !undo,
        revision: Some(revision),
    })
}

/// Makes a router's health check fail, or pass again with `undo`.
pub(crate) async fn drain_router(
    operator: &OperatorClient,
    host: &str,
    undo: bool,
) -> Result<DrainReport, CtlError> {
    let tables = operator.read_any().await;
    let routers = operator.routers(tables.as_ref());
    let name = Name::from(host);
    let Some(router) = routers.into_iter().find(|h| h.host == name) else {
        return Err(CtlError::UnknownHost(name));
    };
    let replies = operator
        .call_routers(&[router], move |client, context| async move {
            client.drain(context, !undo).await
        })
        .await;
    let reply = replies.into_iter().next();
    let reply = reply.ok_or(CtlError::NoController)?;
    let status = reply.map_err(|e| CtlError::Unconfirmed(format!("{name} ({e})")))?;
    Ok(DrainReport {
        name,
        kind: "router",
        draining: status.draining,
        revision: None,
    })
}

/// Returns the pools that have an upstream which accepts new requests.
pub(crate) fn served_pools(list: &UpstreamList) -> BTreeSet<&Name> {
    let available = list.upstreams.iter().filter(|u| !u.state.leaving);
    available.map(|u| &u.state.pool).collect()
}
