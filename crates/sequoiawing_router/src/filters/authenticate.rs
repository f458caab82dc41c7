use crate::{Answer, Credential, Exchange, Filter, Next, RouterState, credential::take_credential};
use sequoiawing_tables::BearerKey;
use std::sync::Arc;

/// Finds the customer whose key came with a request, and takes the key out so
/// that no upstream sees it.
///
/// Whether the request needs a key is decided by its route.
pub(crate) struct Authenticate {
    state: Arc<RouterState>,
}

impl Authenticate {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn identify(&self, shown: &str) -> Credential {
        let Some(shown) = BearerKey::parse(shown) else {
            return Credential::Invalid;
        };
        let tables = self.state.tables.get();
        let withdrawn = self.state.withdrawn.get().contains(&shown.id);
        let key = tables.keys.get(&shown.id);
        let Some(key) = key.filter(|k| !withdrawn && k.matches_secret(&shown.secret)) else {
            return Credential::Invalid;
        };
        if !self.state.confirms_keys() {
            return Credential::Unconfirmed;
        }
        let customer = tables.customers.get(&key.customer).cloned();
        customer.map_or(Credential::Invalid, |c| Credential::Valid(shown.id, c))
    }
}

impl Filter for Authenticate {
    fn name(&self) -> &'static str {
        "authenticate"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> Answer<'a> {
        Box::pin(async move {
            let shown = take_credential(&mut exchange.headers, &mut exchange.path)?;
            if let Some(shown) = shown {
                exchange.credential = self.identify(&shown);
            }
            next.run(exchange).await
        })
    }
}
