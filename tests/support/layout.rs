//! The layout of a test deployment.

use serde_json::{Value, json};

/// The data centres of a deployment and the settings of its processes that
/// differ from the defaults.
#[derive(Clone)]
pub(crate) struct Layout {
    pub(crate) centres: Vec<Centre>,
    /// The index of the data centre of each controller.
    pub(crate) controllers: Vec<usize>,
    /// The maximum number of replicas of the model.
    pub(crate) replicas: usize,
    /// Whether traffic between hosts can be blocked.
    pub(crate) cuts: bool,
    /// Whether the routers keep state on disk.
    pub(crate) disks: bool,
    /// Additional settings of all routers.
    pub(crate) router: Value,
    /// Additional settings of all runners.
    pub(crate) runner: Value,
    /// Additional settings of all services.
    pub(crate) service: Value,
}

/// The numbers of routers, runners and services in a data centre.
#[derive(Clone, Copy, Default)]
pub(crate) struct Centre {
    pub(crate) routers: usize,
    pub(crate) runners: usize,
    pub(crate) services: usize,
}

impl Layout {
    /// One data centre with a router, a runner and a service.
    pub(crate) fn single() -> Self {
        Self::from_counts(&[(1, 1, 1)])
    }

    /// One data centre with three routers and a runner.
    pub(crate) fn three_routers() -> Self {
        Self::from_counts(&[(3, 1, 0)])
    }

    /// One data centre with two routers and a runner.
    pub(crate) fn two_routers() -> Self {
        Self::from_counts(&[(2, 1, 0)])
    }

    /// Two data centres with a router each, and a runner in the first.
    pub(crate) fn two_centres() -> Self {
        Self::from_counts(&[(1, 1, 0), (1, 0, 0)])
    }

    /// Returns a layout from the numbers of routers, runners and services of each
    /// data centre, with one controller in the first.
    pub(crate) fn from_counts(counts: &[(usize, usize, usize)]) -> Self {
        let centres = counts.iter().map(|(routers, runners, services)| Centre {
            routers: *routers,
            runners: *runners,
            services: *services,
        });
        Self::from_centres(centres.collect())
    }

    /// Returns a layout of the given data centres, with one controller in the
    /// first.
    pub(crate) fn from_centres(centres: Vec<Centre>) -> Self {
        Self {
            centres,
            controllers: vec![0],
            replicas: 1,
            cuts: false,
            disks: false,
            router: json!({ "farewell": 100 }),
            runner: json!({}),
            service: json!({}),
        }
    }
}

/// Returns the tables of a deployment: one pool of runners, one of services,
/// and a customer with access to both.
pub(crate) fn tables(replicas: usize) -> Value {
    json!({
        "customers": [{ "name": "daily" }],
        "pools": [
            {
                "name": "captions",
                "models": [{ "name": "caption", "memory": 8000, "replicas": replicas }],
            },
            { "name": "licences", "kind": "services" },
        ],
        "routes": [
            {
                "name": "captions", "prefix": "/v1", "pool": "captions", "repeatable": true,
                "access": { "customers": ["daily"] },
            },
            {
                "name": "licences", "prefix": "/licences", "pool": "licences",
                "access": { "customers": ["daily"] },
            },
        ],
    })
}

/// Returns the settings with the fields of `overrides` replaced.
pub(crate) fn merge(mut settings: Value, overrides: &Value) -> Value {
    for (field, value) in overrides.as_object().into_iter().flatten() {
        settings[field] = value.clone();
    }
    settings
}
