use crate::{CtlError, OperatorClient, Report, report::format_table};
use sequoiawing_link::{ExplainRequest, Explanation, Verdict};
use sequoiawing_types::Name;
use serde::Serialize;

/// How each router would handle a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Explanations(pub Vec<Explanation>);

impl Report for Explanations {
    fn text(&self) -> String {
        let texts: Vec<String> = self.0.iter().map(format_explanation).collect();
        texts.join("\n\n")
    }
}

fn format_explanation(explanation: &Explanation) -> String {
    let rows = explanation.steps.iter().map(|step| {
        let verdict = match step.verdict {
            Verdict::Passes => "passes",
            Verdict::Waits => "waits",
            Verdict::Refused => "refused",
        };
        vec![step.part.clone(), verdict.to_owned(), step.reason.clone()]
    });
    let heading = format!("{} at {}", explanation.host, explanation.revision);
    format!(
        "{heading}\n{}",
        format_table(["PART", "VERDICT", "REASON"], rows)
    )
}

/// Asks one router, or all of them, how it would handle a request.
pub(crate) async fn explain(
    operator: &OperatorClient,
    host: Option<&str>,
    request: ExplainRequest,
) -> Result<Explanations, CtlError> {
    let tables = operator.read_any().await;
    let mut routers = operator.routers(tables.as_ref());
    if let Some(host) = host {
        routers.retain(|h| h.host.as_str() == host);
        if routers.is_empty() {
            return Err(CtlError::UnknownHost(Name::from(host)));
        }
    }
    let replies = operator
        .call_routers(&routers, |client, context| {
            let request = request.clone();
            async move { client.explain(context, request).await }
        })
        .await;
    let mut explanations = Vec::new();
    let mut failures = Vec::new();
    for (router, reply) in routers.iter().zip(replies) {
        match reply {
            Ok(explanation) => explanations.push(explanation),
            Err(error) => failures.push(format!("{} ({error})", router.host)),
        }
    }
    if explanations.is_empty() {
        return Err(CtlError::Unconfirmed(failures.join(", ")));
    }
    Ok(Explanations(explanations))
}
