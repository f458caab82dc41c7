//! Measures the encoded size of messages.

use crate::{
    CapacityInputs,
    heap::to_f64,
    samples,
    slopes::{MessageSlopes, runner_contents, table_sizes},
};
use sequoiawing_link::{ExchangeReply, FollowReply, Format};
use sequoiawing_tables::{Revision, Update};
use serde::Serialize;

/// Bytes of the length prefix of each message between processes.
const FRAME_HEADER_BYTES: f64 = 4.0;

/// Bytes of the header of each saved change: its length and checksum.
const RECORD_HEADER_BYTES: f64 = 8.0;

/// The envelope that `tarpc` adds to each call.
#[derive(Serialize)]
enum CallEnvelope<T> {
    Announce(T),
}

fn json_bytes<T>(value: &T) -> f64
where
    T: Serialize,
{
    to_f64(serde_json::to_vec(value).map_or(0, |v| v.len()))
}

fn call<T>(value: T) -> tarpc::ClientMessage<CallEnvelope<T>> {
    tarpc::ClientMessage::Request(tarpc::Request {
        context: tarpc::context::current(),
        id: 123_456,
        message: CallEnvelope::Announce(value),
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
    link_bytes(&call(value)) + FRAME_HEADER_BYTES
}

fn reply_bytes<T>(value: T) -> f64
where
    T: Serialize,
{
    link_bytes(&reply(value)) + FRAME_HEADER_BYTES
}

/// Returns the encoded bytes of a value sent between processes of the same
/// release.
fn link_bytes<T>(value: &T) -> f64
where
    T: Serialize,
{
    to_f64(Format::Binary.encode(value).map_or(0, |v| v.len()))
}

fn follow_reply(update: Update) -> FollowReply {
    FollowReply {
        revision: Revision(8_001),
        update: Some(update),
        age: 0,
    }
}

pub(crate) fn measure_messages(inputs: &CapacityInputs) -> MessageSlopes {
    let tables = Box::new(samples::tables(table_sizes(inputs)));
    let (request, reply) = samples::lease();
    MessageSlopes {
        envelope: call_bytes(()),
        empty_reply: reply_bytes(()),
        relayed_state: link_bytes(&samples::relayed_state(runner_contents(inputs))),
        announcement: posted_bytes(
            "announce",
            &samples::announcement(1_234, 123_456, runner_contents(inputs)),
        ),
        renewal: posted_bytes("renew", &samples::renewal(1_234, runner_contents(inputs))),
        demand: call_bytes(vec![samples::demand()]),
        order: posted_bytes("orders", &samples::order()),
        tables: reply_bytes(follow_reply(Update::Full(tables))),
        edit: call_bytes(samples::edit(1, None)),
        update: reply_bytes(follow_reply(samples::update(Revision(8_000), 1))) - reply_bytes(()),
        saved_update: json_bytes(&samples::update(Revision(8_000), 1)) + RECORD_HEADER_BYTES,
        load_delta: link_bytes(&samples::load_delta(
            1_234,
            123_456,
            runner_contents(inputs),
        )),
        heartbeat: call_bytes(samples::append(&[]))
            + call_bytes(samples::append_reply())
            + 2.0 * reply_bytes(()),
        log_entry: call_bytes(samples::append(&[samples::claim(1)]))
            - call_bytes(samples::append(&[])),
        lease: call_bytes(request) + reply_bytes(Some(reply)),
        claim: call_bytes(samples::claim(1)),
        settle: call_bytes(samples::settle(1)),
        empty_batch: call_bytes(samples::empty_batch()) + reply_bytes(ExchangeReply::default()),
        summary_move: link_bytes(&samples::moved_summary()),
        confirmation: link_bytes(&samples::moved_summary().confirmation()),
    }
}

/// Returns the bytes of a request posted by an upstream and of its response.
fn posted_bytes<T>(path: &str, body: &T) -> f64
where
    T: Serialize,
{
    let body = json_bytes(body);
    body + to_f64(http_head(path, body).len())
}

/// Returns the head of a request posted by an upstream, followed by its response.
fn http_head(path: &str, body: f64) -> String {
    format!(
        "POST /sequoiawing/{path} HTTP/1.1\r\nhost: 10.20.30.40:8000\r\n\
         authorization: Bearer {}\r\ncontent-length: {body}\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 0\r\ndate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n",
        "c".repeat(32)
    )
}
