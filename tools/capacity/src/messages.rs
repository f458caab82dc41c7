//! Measures messages as encoded on the link.

use crate::{
    Size,
    heap::float,
    samples,
    slopes::{MessageSlopes, entries, holding},
};
use sequoiawing_link::{ExchangeReply, FollowReply, Format};
use sequoiawing_tables::{Revision, Update};
use serde::Serialize;

/// The bytes of the length that stands before each message between processes.
const FRAME_HEAD: f64 = 4.0;

/// The bytes before each saved change: its length and checksum.
const SAVED_HEAD: f64 = 8.0;

/// An envelope as `tarpc` sends it around each call.
#[derive(Serialize)]
enum Call<T> {
    Announce(T),
}

fn json_bytes<T>(value: &T) -> f64
where
    T: Serialize,
{
    float(serde_json::to_vec(value).map_or(0, |v| v.len()))
}

fn call<T>(value: T) -> tarpc::ClientMessage<Call<T>> {
    tarpc::ClientMessage::Request(tarpc::Request {
        context: tarpc::context::current(),
        id: 123_456,
        message: Call::Announce(value),
    })
}

fn reply<T>(value: T) -> tarpc::Response<T> {
    tarpc::Response {
        request_id: 123_456,
        message: Ok(value),
    }
}

fn call_bytes<T>(value: T) -> f64
where
    T: Serialize,
{
    link_bytes(&call(value)) + FRAME_HEAD
}

fn reply_bytes<T>(value: T) -> f64
where
    T: Serialize,
{
    link_bytes(&reply(value)) + FRAME_HEAD
}

/// Returns the bytes of a value on the link between processes of one release.
fn link_bytes<T>(value: &T) -> f64
where
    T: Serialize,
{
    float(Format::Binary.encode(value).map_or(0, |v| v.len()))
}

fn published(update: Update) -> FollowReply {
    FollowReply {
        revision: Revision(8_001),
        update: Some(update),
        age: 0,
    }
}

pub(crate) fn measure_messages(size: &Size) -> MessageSlopes {
    let tables = Box::new(samples::tables(entries(size)));
    let (request, answer) = samples::lease();
    MessageSlopes {
        envelope: call_bytes(()),
        reply: reply_bytes(()),
        relayed: link_bytes(&samples::relayed(holding(size))),
        post: posted(
            "announce",
            &samples::announcement(1_234, 123_456, holding(size)),
        ),
        renewal: posted("renew", &samples::renewal(1_234, holding(size))),
        demand: call_bytes(vec![samples::demand()]),
        order: posted("orders", &samples::order()),
        tables: reply_bytes(published(Update::Full(tables))),
        edit: call_bytes(samples::edit(1, None)),
        update: reply_bytes(published(samples::update(Revision(8_000), 1))) - reply_bytes(()),
        saved: json_bytes(&samples::update(Revision(8_000), 1)) + SAVED_HEAD,
        load: link_bytes(&samples::load(1_234, 123_456, holding(size))),
        heartbeat: call_bytes(samples::append(&[]))
            + call_bytes(samples::append_reply())
            + 2.0 * reply_bytes(()),
        entry: call_bytes(samples::append(&[samples::claim(1)])) - call_bytes(samples::append(&[])),
        lease: call_bytes(request) + reply_bytes(Some(answer)),
        claim: call_bytes(samples::claim(1)),
        settle: call_bytes(samples::settle(1)),
        batch: call_bytes(samples::batch()) + reply_bytes(ExchangeReply::default()),
        moved: link_bytes(&samples::moved_summary()),
        confirmation: link_bytes(&samples::moved_summary().confirmation()),
    }
}

/// Returns the bytes of what an upstream posts, with the answer.
fn posted<T>(path: &str, body: &T) -> f64
where
    T: Serialize,
{
    let body = json_bytes(body);
    body + float(post_head(path, body).len())
}

/// Writes the head of what an upstream posts, and of the answer.
fn post_head(path: &str, body: f64) -> String {
    format!(
        "POST /sequoiawing/{path} HTTP/1.1\r\nhost: 10.20.30.40:8000\r\n\
         authorization: Bearer {}\r\ncontent-length: {body}\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 0\r\ndate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n",
        "c".repeat(32)
    )
}
