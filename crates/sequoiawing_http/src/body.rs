use bytes::Bytes;
use futures_lite::Stream;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// The error of a body that ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes in memory.
pub fn from_bytes<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    let infallible = |e: std::convert::Infallible| match e {};
    Full::new(bytes.into()).map_err(infallible).boxed_unsync()
}

/// Creates an empty body.
pub fn empty() -> Body {
    let infallible = |e: std::convert::Infallible| match e {};
    Empty::new().map_err(infallible).boxed_unsync()
}

/// Creates a body that sends the items of a stream as they arrive.
///
/// An error item aborts the connection, so that the receiver cannot mistake a
/// truncated message for a complete one.
pub fn from_stream<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    use futures_lite::StreamExt;
    StreamBody::new(stream.map(|item| item.map(Frame::data))).boxed_unsync()
}
