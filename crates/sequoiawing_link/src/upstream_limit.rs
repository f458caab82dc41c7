use sequoiawing_types::{Name, RequestRate};
use serde::{Deserialize, Serialize};

/// What an answer of an upstream said of its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ObservedLimit {
    /// The limit; `None` if the answer named none.
    pub rate: Option<RequestRate>,
    /// The time since the answer arrived, in milliseconds.
    pub age: u64,
}

/// What a gateway reports of a limited upstream.
///
/// Tokens are counted in total since the issuer's term began, so that lost and
/// repeated reports do no harm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct TokenUse {
    /// The upstream.
    pub upstream: Name,
    /// When the upstream started.
    pub epoch: u64,
    /// What its last answer to the gateway said; `None` if there was none.
    pub named: Option<ObservedLimit>,
    /// The term of the issuer of the tokens.
    pub term: u64,
    /// The tokens that the gateway knows to be granted to it.
    pub granted: u64,
    /// The tokens that it has used.
    pub used: u64,
    /// The tokens that it has returned unused.
    pub returned: u64,
    /// The number of tokens that it could use now.
    pub wanted: u32,
}

/// The tokens that a gateway has been granted for an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct TokenGrant {
    /// The gateway's host.
    pub host: Name,
    /// Identifies the run of the gateway process.
    pub incarnation: u64,
    /// The tokens, in total since the issuer's term began.
    pub granted: u64,
    /// Those of them that the gateway has reported as used or returned.
    pub settled: u64,
}

/// The limit of an upstream, and the tokens granted for it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct UpstreamLimit {
    /// The upstream.
    pub upstream: Name,
    /// When the upstream started.
    pub epoch: u64,
    /// What its last answer to any gateway said.
    pub named: ObservedLimit,
    /// The number of requests of all gateways that found no token lately.
    pub unmet: u32,
    /// The gateways that have tokens; in a reply to a gateway, only its own.
    pub grants: Vec<TokenGrant>,
}

/// The limits of upstreams, as the issuer of tokens knows them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LimitUpdate {
    /// The term of the issuer.
    pub term: u64,
    /// The limited upstreams, and those whose limits were withdrawn lately.
    pub limits: Vec<UpstreamLimit>,
}
