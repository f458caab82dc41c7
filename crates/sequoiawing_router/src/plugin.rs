use crate::{Chain, Controller, Filter, RouterState};
use std::sync::Arc;

/// Adds filters and controllers to a router.
pub trait Plugin {
    /// Adds the plugin's filters and controllers.
    fn build(&self, router: &mut RouterBuilder);
}

/// Collects the filters and controllers of a router before it starts.
pub struct RouterBuilder {
    state: Arc<RouterState>,
    chain: Chain,
    insertions: Vec<(&'static str, Arc<dyn Filter>)>,
    pub(crate) controllers: Vec<Box<dyn Controller>>,
}

impl RouterBuilder {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let chain = Chain::default();
        let insertions = Vec::new();
        let controllers = Vec::new();
        Self {
            state,
            chain,
            insertions,
            controllers,
        }
    }

    /// Returns the state that filters and controllers share.
    pub fn state(&self) -> Arc<RouterState> {
        self.state.clone()
    }

    /// Adds a plugin.
    pub fn add_plugin<P>(&mut self, plugin: &P) -> &mut Self
    where
        P: Plugin,
    {
        plugin.build(self);
        self
    }

    /// Appends a filter to the chain.
    pub fn add_filter<F>(&mut self, filter: F) -> &mut Self
    where
        F: Filter + 'static,
    {
        self.chain.push(filter);
        self
    }

    /// Inserts a filter before the filter with the given name, which may be added
    /// later. If there is no such filter, it is appended to the chain.
    pub fn add_filter_before<F>(&mut self, name: &'static str, filter: F) -> &mut Self
    where
        F: Filter + 'static,
    {
        self.insertions.push((name, Arc::new(filter)));
        self
    }

    /// Takes the chain with all insertions applied.
    pub(crate) fn take_chain(&mut self) -> Chain {
        let mut chain = std::mem::take(&mut self.chain);
        for (name, filter) in self.insertions.drain(..) {
            chain.insert_before(name, filter);
        }
        chain
    }

    /// Adds a controller.
    pub fn add_controller<C>(&mut self, controller: C) -> &mut Self
    where
        C: Controller + 'static,
    {
        self.controllers.push(Box::new(controller));
        self
    }
}
