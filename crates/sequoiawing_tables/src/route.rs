use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The callers that may use a route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Any caller; no key is required.
    Open,
    /// Callers with a key of one of these customers.
    Customers(Vec<Name>),
}

impl Default for Access {
    fn default() -> Self {
        Self::Customers(Vec::new())
    }
}

/// A rule that maps requests to the models or services of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Route {
    /// The name, unique among routes.
    pub name: Name,
    /// The path prefix that the route matches.
    pub prefix: String,
    /// The `Host` header that the route matches; any if empty.
    pub host: String,
    /// The models that callers may request; all models of the pool if empty.
    pub models: Vec<Name>,
    /// The callers that may use the route.
    pub access: Access,
    /// The pool that serves the route.
    pub pool: Name,
    /// Whether calls are idempotent, so that they may run more than once.
    pub repeatable: bool,
    /// Whether an interrupted stream is resumed at its offset.
    pub resumable: bool,
    /// The deadline of a request that does not set one, in milliseconds.
    pub deadline: u64,
}

/// The deadline of requests if neither caller nor route sets one, in
/// milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

impl Default for Route {
    fn default() -> Self {
        Self {
            name: Name::default(),
            prefix: "/".to_owned(),
            host: String::new(),
            models: Vec::new(),
            access: Access::default(),
            pool: Name::default(),
            repeatable: false,
            resumable: false,
            deadline: DEFAULT_DEADLINE_MS,
        }
    }
}

impl Route {
    /// Returns whether the route matches a host and path.
    ///
    /// A prefix matches whole path segments only: `/act` does not match
    /// `/action`.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        let host_matches = self.host.is_empty() || self.host.eq_ignore_ascii_case(host);
        host_matches && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&self.prefix) else {
            return false;
        };
        rest.is_empty() || rest.starts_with(['/', '?']) || self.prefix.ends_with('/')
    }

    /// Returns whether callers may request the model on this route.
    pub fn allows_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|m| m.as_str() == model)
    }
}
