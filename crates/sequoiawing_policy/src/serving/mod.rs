//! Request balancing and model loading for deployments whose configuration is
//! replaced as a whole.
//!
//! All types are pure state machines: callers pass in the time and every event.

mod answer_evidence;
mod balancer;
mod brittle;
mod cold;
mod cold_balance;
mod engine;
mod evacuation;
mod event_numbering;
mod fleet_size;
mod handover;
mod hedge;
mod hub_selector;
mod isolation;
mod lateness;
mod loader;
mod prefix_affinity;
mod prefix_cache;
mod quarantine;
mod requested_backoffs;
mod retry_window;
mod run_times;
mod shared_bucket;
mod software;
mod stream_origins;
mod tunnel;
mod upstream;
mod upstream_limit;

pub use answer_evidence::{FramingHistory, IdleTolerance, ProcessChain, Standstills};
pub use balancer::{
    Assignment, AttemptOutcome, Balancer, BalancerRequest, PickResult, PlaceCandidate, UpstreamKey,
};
pub use brittle::{EndedPlace, HeldPlace, PlaceHolder, PlaceKeeper, PlaceSettings};
pub use cold::{ColdBound, ColdGrants, ColdUpstream};
pub use cold_balance::ColdCounts;
pub use engine::{EngineReply, EngineReport};
pub use evacuation::{CentreChange, CentreState, EvacuationWatch, Evacuations};
pub use event_numbering::EventNumbering;
pub use fleet_size::FleetSize;
pub use handover::handover_wait;
pub use hedge::{Hedge, HedgeAction, HedgeAttempt, HedgeEvent, HedgeSettings};
pub use hub_selector::{HubRole, HubSelector, HubStatus};
pub use isolation::IsolationDetector;
pub use lateness::LatenessMeter;
pub use loader::{LoadPlan, LoaderAction, LoaderEvent, LoaderSettings, ModelLoader};
use prefix_affinity::PrefixAffinity;
pub use prefix_cache::{PrefixCache, PromptPart};
pub use quarantine::{
    CrashedAnswer, PoisonDetector, Quarantine, QuarantineDecision, QuarantineSettings,
    QuarantinedCause, RecentSuccesses, shared_causes,
};
pub use retry_window::{RetryDecision, RetryLimits, RetryWindow};
pub use run_times::RunTimes;
pub use shared_bucket::{PeerView, SharedTokenBucket};
pub use software::SoftwareVersion;
pub use stream_origins::StreamOrigins;
pub use tunnel::{
    PathSettings, TunnelCandidate, TunnelHost, UpstreamPaths, Via, choose_tunnel_hosts,
};
pub use upstream::ReportedLoad;
use upstream::Upstream;
pub use upstream_limit::{
    GrantedTokens, HostLimitReport, LimitReport, LimitedUpstream, NamedLimit, NamedRate,
    TokenHolder, TokenIssuer, TokenReport, ToldLimit,
};
