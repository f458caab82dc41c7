//! HTTP/1.1 listeners and a client with connection reuse, built on `hyper` and
//! `async-net`.

mod body;
mod body_budget;
mod client;
mod connector;
mod deferred_error;
mod error_response;
mod framing;
mod headers;
mod idle_pool;
mod listener;
mod parts;
mod socket;
mod sse;
mod stall;
mod tunnel;
mod upload;

pub use body::{Body, BodyError, empty, from_bytes, from_stream};
pub use body_budget::BudgetLimits;
pub use client::{Client, ClientBody, ClientError};
pub use connector::{ConnectFuture, Connection, Connector, DirectConnector};
pub use framing::BodyFraming;
pub use headers::remove_hop_headers;
pub use listener::{Handler, HttpListener, HttpSettings};
pub use parts::{BodyParts, read_to_end};
pub use sse::{EventId, EventTooLong, SseEvent, SseSplitter, complete_events};
pub use tunnel::run_tunnel;
pub use upload::{BodyBudget, BudgetCounts, HeldBody, KeptRoom, UploadError};
