use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The streams that upstreams of one software version began.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct StreamOrigin {
    /// The software version as the upstreams announce it, empty if they name none.
    pub software: Name,
    /// The digests of the callers' attempts that brought the first events.
    pub attempts: Vec<u64>,
}
