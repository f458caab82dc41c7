use crate::{Exchange, Refused};
use hyper::Response;
use sequoiawing_http::Body;
use std::{fmt, future::Future, pin::Pin, sync::Arc};

/// The future that a filter returns: an upstream's response or a refusal.
pub type FilterFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Response<Body>, Refused>> + Send + 'a>>;

/// One step in the processing of a request between callers and upstreams.
///
/// `E` is the type that holds the state of a request.
pub trait Filter<E = Exchange>: Send + Sync {
    /// Returns the name of the filter in the state dump.
    fn name(&self) -> &'static str;

    /// Responds to the request, or modifies it and runs the rest of the chain.
    fn handle<'a>(&'a self, exchange: &'a mut E, next: Next<'a, E>) -> FilterFuture<'a>;
}

/// The filters of a router, in the order in which requests pass them.
pub struct Chain<E = Exchange> {
    filters: Vec<Arc<dyn Filter<E>>>,
}

impl<E> Clone for Chain<E> {
    fn clone(&self) -> Self {
        let filters = self.filters.clone();
        Self { filters }
    }
}

impl<E> Default for Chain<E> {
    fn default() -> Self {
        let filters = Vec::new();
        Self { filters }
    }
}

impl<E> Chain<E> {
    /// Adds a filter at the end.
    pub fn push<F>(&mut self, filter: F)
    where
        F: Filter<E> + 'static,
    {
        self.filters.push(Arc::new(filter));
    }

    /// Adds a filter before the one with the given name, or at the end if there is
    /// none.
    pub(crate) fn insert_before(&mut self, name: &str, filter: Arc<dyn Filter<E>>) {
        let index = self.filters.iter().position(|f| f.name() == name);
        self.filters
            .insert(index.unwrap_or(self.filters.len()), filter);
    }

    /// Returns the names of the filters in order.
    pub fn names(&self) -> Vec<&'static str> {
        self.filters.iter().map(|f| f.name()).collect()
    }

    /// Runs a request through all filters.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the filter that stopped the request.
    pub async fn run(&self, exchange: &mut E) -> Result<Response<Body>, Refused> {
        let next = Next {
            filters: &self.filters,
        };
        next.run(exchange).await
    }
}

impl<E> fmt::Debug for Chain<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.names()).finish()
    }
}

/// The filters that a request has not passed yet.
pub struct Next<'a, E = Exchange> {
    filters: &'a [Arc<dyn Filter<E>>],
}

impl<E> Clone for Next<'_, E> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<E> Copy for Next<'_, E> {}

impl<'a, E> Next<'a, E> {
    /// Returns the rest of the chain, for a request that continues even if its
    /// caller disconnects.
    pub(crate) fn into_chain(self) -> Chain<E> {
        let filters = self.filters.to_vec();
        Chain { filters }
    }

    /// Runs the rest of the chain.
    pub fn run(self, exchange: &'a mut E) -> FilterFuture<'a> {
        let Some((first, rest)) = self.filters.split_first() else {
            let refused = Refused::new(crate::Code::NoUpstream, "no filter answers requests");
            return Box::pin(async { Err(refused) });
        };
        first.handle(exchange, Next { filters: rest })
    }
}

impl<E> fmt::Debug for Next<'_, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.filters.iter().map(|filter| filter.name());
        f.debug_list().entries(names).finish()
    }
}
