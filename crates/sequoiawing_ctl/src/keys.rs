use crate::{CtlError, Host, OperatorClient, Report, report::format_table};
use sequoiawing_tables::{BearerKey, Change, KeyId, Revision};
use sequoiawing_types::{Findings, Name};
use serde::Serialize;

/// A newly granted key; its secret is shown only once, in this report.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct GrantedKey {
    key: String,
    id: KeyId,
    customer: Name,
}

impl Report for GrantedKey {
    fn text(&self) -> String {
        self.key.clone()
    }
}

/// A granted key, without its hash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct KeyRow {
    id: KeyId,
    customer: Name,
}

/// The granted keys and the number of withdrawn keys.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct KeyList {
    revision: Revision,
    keys: Vec<KeyRow>,
    withdrawn: usize,
}

impl Report for KeyList {
    fn text(&self) -> String {
        let rows = self.keys.iter();
        let rows = rows.map(|k| vec![k.id.to_string(), k.customer.to_string()]);
        let granted = self.keys.len();
        let end = format!("{granted} granted, {} withdrawn", self.withdrawn);
        format!("{}\n\n{end}", format_table(["KEY", "CUSTOMER"], rows))
    }
}

/// The hosts that confirmed a withdrawal, and the revision that records it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct WithdrawReport {
    id: KeyId,
    confirmed: Vec<Name>,
    logged: Revision,
}

impl Report for WithdrawReport {
    fn text(&self) -> String {
        format!(
            "{} is withdrawn on {} hosts and in the tables since {}",
            self.id,
            self.confirmed.len(),
            self.logged
        )
    }
}

impl OperatorClient {
    /// Grants a new key to a customer and returns it.
    ///
    /// The tables keep only a hash, so the key cannot be read again.
    ///
    /// # Errors
    ///
    /// Returns an error if the customer does not exist or the grant cannot be
    /// committed.
    pub async fn grant_key(&self, customer: &str) -> Result<BearerKey, CtlError> {
        let key = BearerKey::random();
        let change = Change::GrantKey(key.to_stored_key(Name::from(customer)));
        self.edit(None, vec![change]).await?;
        if self.has_request_id() && !self.read().await?.keys.contains_key(&key.id) {
            let mut findings = Findings::default();
            let problem = "granted another key already, which was shown then; withdraw that one \
                           if it was lost, and grant a new one without it";
            findings.push("--request-id", problem);
            return Err(CtlError::Invalid(findings));
        }
        Ok(key)
    }

    /// Withdraws a key on every router directly and in the replicated log.
    ///
    /// The direct call also reaches routers in a data centre that is disconnected
    /// from the controllers, as long as the operator can reach them. Routers that are
    /// not in the deployment file are called once the tables have been read.
    ///
    /// # Errors
    ///
    /// Returns an error that lists the hosts that have not confirmed the withdrawal.
    pub async fn withdraw_key(&self, key: &str) -> Result<(), CtlError> {
        self.withdraw(key).await.map(|_| ())
    }

    pub(crate) async fn withdraw(&self, key: &str) -> Result<WithdrawReport, CtlError> {
        let id = KeyId::from(key);
        let configured = self.routers(None);
        let committing = self.edit(None, vec![Change::WithdrawKey(id.clone())]);
        let notifying = self.withdraw_on_routers(&configured, &id);
        let (logged, first) = futures::join!(committing, notifying);
        let tables = self.read_any().await;
        let mut joined = self.routers(tables.as_ref());
        joined.retain(|h| !configured.contains(h));
        let second = self.withdraw_on_routers(&joined, &id).await;
        let mut confirmed = Vec::new();
        let mut failures = Vec::new();
        for (host, problem) in first.into_iter().chain(second) {
            match problem {
                None => confirmed.push(host),
                Some(problem) => failures.push(format!("{host} ({problem})")),
            }
        }
        match logged {
            Ok(logged) if failures.is_empty() => Ok(WithdrawReport {
                id,
                confirmed,
                logged,
            }),
            Ok(_) => Err(CtlError::Unconfirmed(failures.join(", "))),
            Err(error) => {
                failures.push(format!("controllers ({error})"));
                Err(CtlError::Unconfirmed(failures.join(", ")))
            }
        }
    }

    async fn withdraw_on_routers(
        &self,
        routers: &[Host],
        id: &KeyId,
    ) -> Vec<(Name, Option<String>)> {
        let replies = self
            .call_routers(routers, |client, context| {
                let keys = vec![id.clone()];
                async move { client.withdraw(context, keys).await }
            })
            .await;
        let names = routers.iter().map(|h| h.host.clone());
        let problems = replies.into_iter().map(|r| r.err().map(|e| e.to_string()));
        names.zip(problems).collect()
    }
}

/// Grants a key.
pub(crate) async fn grant(
    operator: &OperatorClient,
    customer: &str,
) -> Result<GrantedKey, CtlError> {
    let key = operator.grant_key(customer).await?;
    Ok(GrantedKey {
        key: key.reveal(),
        id: key.id,
        customer: Name::from(customer),
    })
}

/// Lists the granted keys.
pub(crate) async fn list(operator: &OperatorClient) -> Result<KeyList, CtlError> {
    let tables = operator.read().await?;
    let keys = tables.keys.values().map(|k| KeyRow {
        id: k.id.clone(),
        customer: k.customer.clone(),
    });
    Ok(KeyList {
        revision: tables.revision,
        keys: keys.collect(),
        withdrawn: tables.withdrawn.len(),
    })
}
