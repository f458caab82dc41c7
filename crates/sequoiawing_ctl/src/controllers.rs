use crate::{CtlError, Operator, Report, report::table};
use sequoiawing_consensus::{Member, MemberChange};
use sequoiawing_types::Name;
use serde::Serialize;

/// The voters and learners of the log, as the leader has them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct MemberList {
    members: Vec<Member>,
}

impl Report for MemberList {
    fn text(&self) -> String {
        let rows = self.members.iter().map(|m| {
            let part = if m.voter { "voter" } else { "learner" };
            vec![m.host.to_string(), m.address.to_string(), part.to_owned()]
        });
        table(["CONTROLLER", "ADDRESS", "PART"], rows)
    }
}

/// Lists the members by the controller whose term is the newest.
pub(crate) async fn list(operator: &Operator) -> Result<MemberList, CtlError> {
    let answers = operator
        .ask_controllers(|client, context| async move { client.status(context).await })
        .await;
    let mut last = CtlError::NoController;
    let mut statuses = Vec::new();
    for answer in answers {
        match answer {
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

/// A change of members that was committed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Changed {
    host: Name,
    seated: bool,
}

impl Report for Changed {
    fn text(&self) -> String {
        let host = &self.host;
        if self.seated {
            format!("{host} has a seat; its learner votes once it has caught up")
        } else {
            format!("{host} is no member any more")
        }
    }
}

/// Gives a host a seat among the voters.
pub(crate) async fn seat(operator: &Operator, host: &str) -> Result<Changed, CtlError> {
    let host = Name::from(host);
    operator
        .change_members(MemberChange::AddVoter(host.clone()))
        .await?;
    let seated = true;
    Ok(Changed { host, seated })
}

/// Takes a host's seat away.
pub(crate) async fn remove(operator: &Operator, host: &str) -> Result<Changed, CtlError> {
    let host = Name::from(host);
    operator
        .change_members(MemberChange::Remove(host.clone()))
        .await?;
    let seated = false;
    Ok(Changed { host, seated })
}
