use crate::{
    Credential, Exchange, Filter, FilterFuture, Next, RouterState, credential::extract_credential,
};
use sequoiawing_tables::BearerKey;
use std::sync::Arc;

/// Identifies the customer by the request's key, and removes the key so that
/// no upstream sees it.
///
/// The route decides whether the request needs a key.
pub(crate) struct Authenticate {
    state: Arc<RouterState>,
}

impl Authenticate {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn identify(&self, presented: &str) -> Credential {
        let Some(presented) = BearerKey::parse(presented) else {
            return Credential::Invalid;
        };
        let tables = self.state.tables.get();
        let withdrawn = self.state.withdrawn.get().contains(&presented.id);
        let key = tables.keys.get(&presented.id);
        let Some(key) = key.filter(|k| !withdrawn && k.matches_secret(&presented.secret)) else {
            return Credential::Invalid;
        };
        if !self.state.confirms_keys() {
            return Credential::Unconfirmed;
        }
        let customer = tables.customers.get(&key.customer).cloned();
        customer.map_or(Credential::Invalid, |c| Credential::Valid(presented.id, c))
    }
}

impl Filter for Authenticate {
    fn name(&self) -> &'static str {
        "authenticate"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            let presented = extract_credential(&mut exchange.headers, &mut exchange.path)?;
            if let Some(presented) = presented {
                exchange.credential = self.identify(&presented);
            }
            next.run(exchange).await
        })
    }
}
