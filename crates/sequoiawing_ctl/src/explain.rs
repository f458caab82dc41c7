use crate::{CtlError, Operator, Report, report::table};
use sequoiawing_link::{ExplainRequest, Explanation, Verdict};
use sequoiawing_types::Name;
use serde::Serialize;

/// What each host would do with a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Explanations(pub Vec<Explanation>);

impl Report for Explanations {
    fn text(&self) -> String {
        let parts: Vec<String> = self.0.iter().map(explain_host).collect();
        parts.join("\n\n")
    }
}

fn explain_host(explanation: &Explanation) -> String {
    let rows = explanation.steps.iter().map(|step| {
        let verdict = match step.verdict {
            Verdict::Passes => "passes",
            Verdict::Waits => "waits",
            Verdict::Refused => "refused",
        };
        vec![step.part.clone(), verdict.to_owned(), step.reason.clone()]
    });
    let head = format!("{} at {}", explanation.host, explanation.revision);
    format!("{head}\n{}", table(["PART", "VERDICT", "REASON"], rows))
}

/// Asks one router, or all of them, what would become of a request.
pub(crate) async fn explain(
    operator: &Operator,
    host: Option<&str>,
    question: ExplainRequest,
) -> Result<Explanations, CtlError> {
    let tables = operator.glance().await;
    let mut hosts = operator.hosts(tables.as_ref());
    if let Some(host) = host {
        hosts.retain(|h| h.host.as_str() == host);
        if hosts.is_empty() {
            return Err(CtlError::UnknownHost(Name::from(host)));
        }
    }
    let answers = operator
        .ask_routers(&hosts, |client, context| {
            let question = question.clone();
            async move { client.explain(context, question).await }
        })
        .await;
    let mut explanations = Vec::new();
    let mut missing = Vec::new();
    for (host, answer) in hosts.iter().zip(answers) {
        match answer {
            Ok(explanation) => explanations.push(explanation),
            Err(error) => missing.push(format!("{} ({error})", host.host)),
        }
    }
    if explanations.is_empty() {
        return Err(CtlError::Unconfirmed(missing.join(", ")));
    }
    Ok(Explanations(explanations))
}
