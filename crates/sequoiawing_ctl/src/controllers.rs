use crate::{CtlError, OperatorClient, Report, report::format_table};
use sequoiawing_consensus::{Member, MemberChange};
use sequoiawing_types::Name;
use serde::Serialize;

/// The voters and learners of the replicated log, as the leader knows them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct MemberList {
    members: Vec<Member>,
}

impl Report for MemberList {
    fn text(&self) -> String {
        let rows = self.members.iter().map(|m| {
            let role = if m.voter { "voter" } else { "learner" };
            vec![m.host.to_string(), m.address.to_string(), role.to_owned()]
        });
        format_table(["CONTROLLER", "ADDRESS", "PART"], rows)
    }
}

/// Lists the members as reported by the controller with the highest term.
pub(crate) async fn list(operator: &OperatorClient) -> Result<MemberList, CtlError> {
    let replies = operator
        .call_controllers(|client, context| async move { client.status(context).await })
        .await;
    let mut last = CtlError::NoController;
    let mut statuses = Vec::new();
    for reply in replies {
        match reply {
            Ok(status) => statuses.push(status),
            Err(error) => last = CtlError::Unreachable(error),
        }
    }
    let newest = statuses
        .into_iter()
        .max_by_key(|s| (s.term, s.role == "leader"));
    let members = newest.ok_or(last)?.members;
    Ok(MemberList { members })
}

/// A committed change of the members.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MemberChangeReport {
    host: Name,
    seated: bool,
}

impl Report for MemberChangeReport {
    fn text(&self) -> String {
        let host = &self.host;
        if self.seated {
            format!("{host} has a seat; its learner votes once it has caught up")
        } else {
            format!("{host} is no member any more")
        }
    }
}

/// Adds the controller of a host to the voters.
pub(crate) async fn add_voter(
    operator: &OperatorClient,
    host: &str,
) -> Result<MemberChangeReport, CtlError> {
    let host = Name::from(host);
    operator
        .change_members(MemberChange::AddVoter(host.clone()))
        .await?;
    let seated = true;
    Ok(MemberChangeReport { host, seated })
}

/// Removes the controller of a host from the members.
pub(crate) async fn remove_member(
    operator: &OperatorClient,
    host: &str,
) -> Result<MemberChangeReport, CtlError> {
    let host = Name::from(host);
    operator
        .change_members(MemberChange::Remove(host.clone()))
        .await?;
    let seated = false;
    Ok(MemberChangeReport { host, seated })
}
