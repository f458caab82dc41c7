//! Ways to upstreams that a host cannot reach itself: tunnels through other hosts.
//!
//! See [docs/design/tunnels.md](../../../../../docs/design/tunnels.md).

mod candidates;
mod paths;

pub use candidates::{TunnelCandidate, choose_tunnel_hosts};
pub use paths::{PathSettings, TunnelHost, UpstreamPaths, Via};
