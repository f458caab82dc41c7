//! Tests of upstreams that answer with a status that is none, before they have read the
//! request, or without end, with chosen bytes on real connections.

use crate::{
    cases,
    fleet::{Fleet, Setup, short_stall},
    scripted::{Kind, Received, Scripted, Step},
};
use sequoiawing::runtime::sleep;
use std::time::Duration;

/// The times between an early answer and the reset of its connection, in milliseconds.
const RESET_AFTER: [u64; 5] = [0, 1, 5, 20, 100];

/// The sizes of uploads in bytes: the first fits into the buffers of a connection.
const SIZES: [usize; 2] = [200_000, 4_000_000];

/// The most bytes that an upstream sends without end.
const ENDLESS_BYTES: usize = 16 * 1024 * 1024;

/// The most bytes of an answer that a router may take in before it gives up, with those in
/// the buffers of its connection.
const MAX_TAKEN: usize = 8 * 1024 * 1024;

async fn start() -> Fleet {
    Fleet::start(Setup {
        settings: short_stall(),
        ..Setup::default()
    })
    .await
}

fn begin(received: &Received, status: &str, headers: &str) -> String {
    let attempt = received.attempt();
    format!("HTTP/1.1 {status}\r\nsequoiawing-attempt: {attempt}\r\n{headers}")
}

/// Asserts that an answer with this status is not passed on.
async fn assert_no_status(status: &'static str) {
    let fleet = start().await;
    let script = move |received: &Received| {
        let head = begin(received, status, "content-length: 4\r\n\r\n");
        vec![Step::Write(format!("{head}done"))]
    };
    let _scripted = Scripted::start(&fleet, Kind::Service, 1, script).await;
    for path in ["/look", "/grant"] {
        let response = fleet.call(path).send().await;
        assert_eq!(response.code(), "upstream_failed", "{path}: {response:?}");
        assert_eq!(response.ran(), "unknown", "{path}: {response:?}");
    }
}

/// Asserts that a part of an answer, whose connection is reset while the request is being
/// written, is not taken for a whole one.
async fn assert_part_is_not_whole(headers: &'static str, part: &'static str) {
    let fleet = start().await;
    let script = move |received: &Received| {
        let pause = RESET_AFTER[received.number % RESET_AFTER.len()];
        let head = begin(received, "200 OK", headers);
        vec![
            Step::Write(format!("{head}\r\n{part}")),
            Step::Pause(Duration::from_millis(pause)),
            Step::Reset,
        ]
    };
    // An upstream whose answer breaks off gets no requests for a while.
    let count = 4 * RESET_AFTER.len();
    let scripted = Scripted::start_early(&fleet, Kind::Service, count, script).await;
    while scripted.received().len() < 2 * RESET_AFTER.len() {
        for path in ["/look", "/grant"] {
            for size in SIZES {
                let call = fleet.call(path).with_body("u".repeat(size));
                let call = call.with_header("sequoiawing-deadline-ms", "1000");
                let response = call.send().await;
                let is_whole = response.status == 200 && response.body.is_ok();
                assert!(!is_whole, "{path}, {size} bytes: {response:?}");
            }
        }
    }
}

/// Asserts that an answer that does not end before its head does ends its call, and takes
/// only so much memory.
async fn assert_not_taken_in(head: &'static str, part: &'static str) {
    let fleet = start().await;
    let script = move |received: &Received| {
        let begun = head.replace("{attempt}", received.attempt());
        vec![
            Step::Write(begun),
            Step::Repeat(part.repeat(1024), ENDLESS_BYTES),
            Step::Pause(Duration::from_secs(5)),
        ]
    };
    let scripted = Scripted::start(&fleet, Kind::Service, 1, script).await;
    let call = fleet.call("/grant");
    let response = call
        .with_header("sequoiawing-deadline-ms", "2000")
        .send()
        .await;
    assert_eq!(response.ran(), "unknown", "{response:?}");
    let taken = scripted.repeated();
    assert!(
        taken < MAX_TAKEN,
        "{taken} bytes of the answer were taken in"
    );
}

/// Asserts that each attempt of a call takes only so much of a body without end while the
/// caller does not read.
async fn assert_body_is_bounded(path: &str, headers: &'static str, part: &'static str) {
    let fleet = start().await;
    let script = move |received: &Received| {
        let head = begin(received, "200 OK", headers);
        vec![
            Step::Write(format!("{head}\r\n")),
            Step::Repeat(part.repeat(1024), ENDLESS_BYTES),
            Step::Pause(Duration::from_secs(5)),
        ]
    };
    let is_stream = path == "/resumed";
    let kind = if is_stream {
        Kind::Engine
    } else {
        Kind::Service
    };
    let scripted = Scripted::start(&fleet, kind, 1, script).await;
    let call = if is_stream {
        fleet.completion(path, 6)
    } else {
        fleet.call(path)
    };
    let call = call.with_header("sequoiawing-deadline-ms", "2000");
    let answered = call.begin().await;
    sleep(Duration::from_secs(1)).await;
    // The call may be repeated.
    let taken = scripted.repeated() / scripted.received().len().max(1);
    assert!(taken > 0, "no upstream was called: {answered:?}");
    assert!(
        taken < MAX_TAKEN,
        "{taken} bytes of the answer were taken in: {answered:?}"
    );
}

cases! {
    // Guard against an answer with a status that is none, which its caller takes for the
    // upstream's.
    the_status_000 { assert_no_status("000 None").await; }
    the_status_099 { assert_no_status("099 None").await; }
    the_status_600 { assert_no_status("600 None").await; }
    the_status_999 { assert_no_status("999 None").await; }

    // Guard against a part of an answer that counts as the whole one.
    an_early_answer_without_length_that_is_reset {
        assert_part_is_not_whole("", "half of the ").await;
    }
    an_early_answer_in_chunks_that_is_reset {
        assert_part_is_not_whole("transfer-encoding: chunked\r\n", "c\r\nhalf of the \r\n").await;
    }
    an_early_answer_with_a_length_that_is_reset {
        assert_part_is_not_whole("content-length: 100\r\n", "half of the ").await;
    }

    // Guard against a router that keeps all bytes of a head without end.
    header_lines_without_end {
        assert_not_taken_in(
            "HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n",
            "x-y: zzzzzzzzzz\r\n",
        )
        .await;
    }
    a_header_line_without_end {
        let head = "HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\nx: ";
        assert_not_taken_in(head, "zzzz").await;
    }
    a_status_line_without_end { assert_not_taken_in("HTTP/1.1 200 ", "OK").await; }
    // Guard against a router that keeps all bytes of a body without end.
    a_body_without_end { assert_body_is_bounded("/grant", "", "aaaa").await; }
    a_repeatable_body_without_end { assert_body_is_bounded("/look", "", "aaaa").await; }
    chunks_without_end {
        let headers = "transfer-encoding: chunked\r\n";
        assert_body_is_bounded("/grant", headers, "4\r\naaaa\r\n").await;
    }
    small_chunks_without_end {
        let headers = "transfer-encoding: chunked\r\n";
        assert_body_is_bounded("/grant", headers, "1\r\na\r\n").await;
    }
    an_event_without_end {
        let headers = "content-type: text/event-stream\r\n";
        assert_body_is_bounded("/resumed", headers, "data").await;
    }
    bytes_of_no_protocol_without_end { assert_not_taken_in("", "\u{1}").await; }
}
