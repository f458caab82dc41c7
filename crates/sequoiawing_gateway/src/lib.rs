//! HTTP gateway that forwards callers' requests to upstreams.
//!
//! A gateway has no static list of machines and no state on disk. Hubs supply
//! the configuration, the upstreams and the usage that other gateways admitted.
//! Each request passes through a chain of filters; a [`Dialect`] converts
//! between HTTP headers and this crate's types. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod adapter_use;
mod answer_end;
mod attempt;
mod body_metrics;
mod cluster_view;
mod cold;
mod crash_log;
mod daemon;
mod dialect;
mod evacuation;
mod event_numberings;
mod exchange;
mod filters;
mod hedge;
mod hub_sync;
mod incarnation;
mod isolation;
mod load_requests;
mod places;
mod process_watch;
mod quarantine;
mod relay;
mod request_digest;
mod response_body;
mod retry_budget;
mod settings;
mod slots;
mod source;
mod state;
mod stop;
mod stream_origins;
mod stream_position;
mod tunnels;
mod upstream_connector;
mod upstream_limits;

pub use daemon::Gateway;
pub use dialect::{
    Attempt, Dialect, LimitNotice, RequestMeta, ResponseHead, ResponseKind, ToleranceNotice,
    UpstreamNotice,
};
pub use exchange::{GatewayExchange, LEAST_URGENCY};
pub use settings::GatewaySettings;
pub use state::GatewayState;
