use crate::{CtlError, Host, Operator, Report, report::table};
use sequoiawing_tables::{BearerKey, Change, KeyId, Revision};
use sequoiawing_types::{Findings, Name};
use serde::Serialize;

/// A key that was just granted; its secret is shown only here.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Granted {
    key: String,
    id: KeyId,
    customer: Name,
}

impl Report for Granted {
    fn text(&self) -> String {
        self.key.clone()
    }
}

/// One granted key, without its hash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct KeyRow {
    id: KeyId,
    customer: Name,
}

/// The granted keys, and the number of the withdrawn.
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
        format!("{}\n\n{end}", table(["KEY", "CUSTOMER"], rows))
    }
}

/// Where a withdrawal is in force.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Withdrawn {
    id: KeyId,
    confirmed: Vec<Name>,
    logged: Revision,
}

impl Report for Withdrawn {
    fn text(&self) -> String {
        format!(
            "{} is withdrawn on {} hosts and in the tables since {}",
            self.id,
            self.confirmed.len(),
            self.logged
        )
    }
}

impl Operator {
    /// Grants a new key to a customer and returns it; it is shown only here.
    ///
    /// # Errors
    ///
    /// Returns an error when the customer does not exist or the grant could
    /// not be committed.
    pub async fn grant_key(&self, customer: &str) -> Result<BearerKey, CtlError> {
        let key = BearerKey::random();
        let change = Change::GrantKey(key.to_stored_key(Name::from(customer)));
        self.edit(None, vec![change]).await?;
        if self.has_request() && !self.read().await?.keys.contains_key(&key.id) {
            let mut findings = Findings::default();
            let problem = "granted another key already, which was shown then; withdraw that one \
                           if it was lost, and grant a new one without it";
            findings.push("--request-id", problem);
            return Err(CtlError::Invalid(findings));
        }
        Ok(key)
    }

    /// Withdraws a key at every router directly, and in the log.
    ///
    /// Routers in a data centre that is cut off from the controllers learn of
    /// it this way too, as long as the operator reaches them. Hosts that the
    /// deployment file does not name are told as soon as the tables name them.
    ///
    /// # Errors
    ///
    /// Returns an error that names the hosts which have not confirmed.
    pub async fn withdraw_key(&self, key: &str) -> Result<(), CtlError> {
        self.withdraw(key).await.map(|_| ())
    }

    pub(crate) async fn withdraw(&self, key: &str) -> Result<Withdrawn, CtlError> {
        let id = KeyId::from(key);
        let listed = self.hosts(None);
        let logging = self.edit(None, vec![Change::WithdrawKey(id.clone())]);
        let telling = self.tell_withdrawn(&listed, &id);
        let (logged, first) = futures::join!(logging, telling);
        let tables = self.glance().await;
        let mut joined = self.hosts(tables.as_ref());
        joined.retain(|h| !listed.contains(h));
        let second = self.tell_withdrawn(&joined, &id).await;
        let mut confirmed = Vec::new();
        let mut missing = Vec::new();
        for (host, problem) in first.into_iter().chain(second) {
            match problem {
                None => confirmed.push(host),
                Some(problem) => missing.push(format!("{host} ({problem})")),
            }
        }
        match logged {
            Ok(logged) if missing.is_empty() => Ok(Withdrawn {
                id,
                confirmed,
                logged,
            }),
            Ok(_) => Err(CtlError::Unconfirmed(missing.join(", "))),
            Err(error) => {
                missing.push(format!("controllers ({error})"));
                Err(CtlError::Unconfirmed(missing.join(", ")))
            }
        }
    }

    async fn tell_withdrawn(&self, hosts: &[Host], id: &KeyId) -> Vec<(Name, Option<String>)> {
        let answers = self
            .ask_routers(hosts, |client, context| {
                let keys = vec![id.clone()];
                async move { client.withdraw(context, keys).await }
            })
            .await;
        let names = hosts.iter().map(|h| h.host.clone());
        let problems = answers.into_iter().map(|a| a.err().map(|e| e.to_string()));
        names.zip(problems).collect()
    }
}

/// Grants a key.
pub(crate) async fn grant(operator: &Operator, customer: &str) -> Result<Granted, CtlError> {
    let key = operator.grant_key(customer).await?;
    Ok(Granted {
        key: key.reveal(),
        id: key.id,
        customer: Name::from(customer),
    })
}

/// Lists the granted keys.
pub(crate) async fn list(operator: &Operator) -> Result<KeyList, CtlError> {
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
