use crate::{CtlError, Host, OperatorClient, Report};
use sequoiawing_types::Name;
use serde::Serialize;
use serde_json::Value;

/// The internal state of the processes of one host, without secrets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct HostDump {
    host: Name,
    router: Option<Value>,
    controller: Option<Value>,
}

impl Report for HostDump {
    fn text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// Fetches the internal state of the processes of one host.
pub(crate) async fn dump(operator: &OperatorClient, host: &str) -> Result<HostDump, CtlError> {
    let host = Name::from(host);
    let tables = operator.read_any().await;
    let has_name = |h: &Host| h.host == host;
    let mut routers = operator.routers(tables.as_ref());
    routers.retain(has_name);
    let replies = operator
        .call_routers(&routers, |client, context| async move {
            client.dump(context).await
        })
        .await;
    let router = parse_dump(replies.into_iter().next())?;
    let index = operator.deployment.controllers.iter().position(has_name);
    let controller = match index {
        None => None,
        Some(i) => {
            let mut replies = operator
                .call_controllers(|client, context| async move { client.dump(context).await })
                .await;
            parse_dump(Some(replies.swap_remove(i)))?
        }
    };
    if router.is_none() && controller.is_none() {
        return Err(CtlError::UnknownHost(host));
    }
    Ok(HostDump {
        host,
        router,
        controller,
    })
}

fn parse_dump(
    reply: Option<crate::operator::CallResult<String>>,
) -> Result<Option<Value>, CtlError> {
    let Some(reply) = reply else {
        return Ok(None);
    };
    let text = reply.map_err(CtlError::Unreachable)?;
    let value = serde_json::from_str(&text);
    value
        .map(Some)
        .map_err(|e| CtlError::Unexpected(e.to_string()))
}
