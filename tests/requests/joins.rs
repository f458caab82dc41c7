//! Tests of streams that break off at one upstream and may go on at another, with
//! chosen bytes on real connections.

use crate::{
    cases,
    fleet::{Call, Fleet, Setup, short_stall},
    scripted::{Kind, Received, Scripted, Step},
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_body_util::BodyExt;
use std::{io::ErrorKind, time::Duration};

/// The number of events that the first upstream sends.
const SENT: u64 = 3;

/// The number of events of a whole stream, without the last one.
const EVENTS: u64 = 6;

const STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// How an upstream leaves a stream.
#[derive(Clone, Copy)]
enum Ending {
    /// It is killed: the connection ends in order, between two chunks.
    Closed,
    /// It ends the body in order.
    LastChunk,
    /// It ends the body with a trailer.
    Trailer,
    /// It is killed within an event.
    InEvent,
    /// It writes an error, head and body, in place of the next event.
    Error,
    /// It is killed, and has sent comments that keep the connection open.
    AfterComments,
}

fn event(number: u64) -> String {
    format!("data: {{\"text\":\"w{number}\"}}\n\n")
}

/// Returns an event with an ID, which counts from one.
fn numbered(number: u64) -> String {
    format!("id: {}\n{}", number + 1, event(number))
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn head(received: &Received, status: &str, headers: &str) -> String {
    let attempt = received.attempt();
    format!("HTTP/1.1 {status}\r\nsequoiawing-attempt: {attempt}\r\n{headers}\r\n")
}

/// Returns the answer of an upstream that leaves after [`SENT`] events.
fn broken(received: &Received, ending: Ending) -> Vec<Step> {
    let events: String = (0..SENT).map(|n| chunk(&event(n))).collect();
    let last = match ending {
        Ending::Closed => String::new(),
        Ending::AfterComments => chunk(": wait\n\n:\n\n"),
        Ending::Error => chunk(&format!(
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: {}\r\n\r\n{ERROR}\n\n",
            ERROR.len()
        )),
        Ending::LastChunk => "0\r\n\r\n".to_owned(),
        Ending::Trailer => "0\r\nx-served-by: one\r\n\r\n".to_owned(),
        Ending::InEvent => chunk("data: {\"text\":\"half"),
    };
    let headers = format!("{STREAM}{CHUNKED}");
    let head = head(received, "200 OK", &headers);
    vec![
        Step::Write(format!("{head}{events}{last}")),
        Step::Pause(Duration::from_millis(20)),
        Step::Close,
    ]
}

/// Returns the events from one on, to the end of the stream.
fn rest(first: u64) -> String {
    let events = (first..EVENTS).map(event);
    events.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

/// Returns the answer that goes on with the stream.
fn resumed(received: &Received) -> Vec<Step> {
    let offset = received.header("sequoiawing-resume-offset");
    let headers = format!("{STREAM}{CHUNKED}sequoiawing-resume-offset: {offset}\r\n");
    let head = head(received, "200 OK", &headers);
    let rest = rest(offset.parse().unwrap_or(0));
    vec![Step::Write(format!("{head}{}0\r\n\r\n", chunk(&rest)))]
}

/// Returns an answer to a resumption with the wanted attempt and offset, and then
/// closes the connection.
fn answer(received: &Received, status: &str, headers: &str, body: &str) -> Vec<Step> {
    let offset = received.header("sequoiawing-resume-offset");
    let headers = format!("{headers}sequoiawing-resume-offset: {offset}\r\n");
    vec![
        Step::Write(format!("{}{body}", head(received, status, &headers))),
        Step::Pause(Duration::from_millis(20)),
        Step::Close,
    ]
}

async fn start<F>(script: F) -> (Fleet, Scripted)
where
    F: Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
{
    let fleet = Fleet::start(Setup {
        settings: short_stall(),
        ..Setup::default()
    })
    .await;
    let scripted = Scripted::start(&fleet, Kind::Engine, 2, script).await;
    (fleet, scripted)
}

/// Asserts that a stream is whole although its first upstream left it.
async fn assert_resumed(ending: Ending) {
    let (fleet, _scripted) = start(move |received| match received.number {
        0 => broken(received, ending),
        _ => resumed(received),
    })
    .await;
    let response = fleet.completion("/resumed", EVENTS).send().await;
    assert_eq!(response.text(), rest(0), "{response:?}");
}

/// Asserts that a stream that may not be resumed ends with an error, behind whole
/// events of the upstream that left it.
async fn assert_broken_off(ending: Ending) {
    let (fleet, _scripted) = start(move |received| broken(received, ending)).await;
    let call = fleet.completion("/v1/completions", EVENTS);
    let (text, is_complete) = read_to_end(call.with_header("te", "trailers")).await;
    let expected: String = (0..SENT).map(event).collect();
    assert_eq!((text.as_str(), is_complete), (expected.as_str(), false));
}

/// Returns what arrives of a response, and whether it looks complete.
async fn read_to_end(call: Call) -> (String, bool) {
    let mut body = call.begin().await.into_body();
    let mut text = String::new();
    loop {
        match body.frame().await {
            None => return (text, true),
            Some(Err(_)) => return (text, false),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    text.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
    }
}

/// Sends a completion in a version of HTTP without chunks, and returns what arrives and
/// how the connection ends.
async fn send_without_chunks(fleet: &Fleet) -> (String, Result<(), ErrorKind>) {
    let body = r#"{"model":"caption","prompt":"p","max_tokens":6,"stream":true}"#;
    let request = format!(
        "POST /v1/completions HTTP/1.0\r\nhost: h\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        fleet.key.reveal(),
        body.len()
    );
    let stream = async_net::TcpStream::connect(fleet.routers[0].callers()).await;
    let mut stream = stream.expect("the router accepts connections");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the connection is open");
    let mut received = Vec::new();
    let mut part = [0; 4096];
    let ending = loop {
        match stream.read(&mut part).await {
            Ok(0) => break Ok(()),
            Ok(count) => received.extend_from_slice(&part[..count]),
            Err(error) => break Err(error.kind()),
        }
    };
    (String::from_utf8_lossy(&received).into_owned(), ending)
}

/// Asserts that a second upstream's answer is not joined to a stream, which goes on
/// at a third attempt.
async fn assert_not_joined(answer: fn(&Received) -> Vec<Step>) {
    let (fleet, scripted) = start(move |received| match received.number {
        0 => broken(received, Ending::Closed),
        1 => answer(received),
        _ => resumed(received),
    })
    .await;
    let response = fleet.completion("/resumed", EVENTS).send().await;
    let received = scripted.received();
    assert_eq!(response.text(), rest(0), "{received:#?}");
    assert_eq!(received.len(), 3, "{received:#?}");
}

/// Defines a case for each ending.
macro_rules! endings {
    ($check:ident: $($name:ident: $ending:ident;)*) => {
        cases! { $($name { $check(Ending::$ending).await; })* }
    };
}

// Guard against a stream that ends as complete before its last event, or that holds
// a part of an event.
endings! { assert_resumed:
    a_stream_of_a_killed_upstream_is_resumed: Closed;
    a_stream_with_an_early_last_chunk_is_resumed: LastChunk;
    a_stream_with_an_early_trailer_is_resumed: Trailer;
    a_stream_that_is_cut_in_an_event_is_resumed: InEvent;
    a_stream_that_holds_an_error_is_resumed: Error;
}

endings! { assert_broken_off:
    a_stream_of_a_killed_upstream_breaks_off: Closed;
    a_stream_with_an_early_last_chunk_breaks_off: LastChunk;
    a_stream_with_an_early_trailer_breaks_off: Trailer;
    a_stream_that_is_cut_in_an_event_breaks_off_before_it: InEvent;
    a_stream_that_holds_an_error_breaks_off_before_it: Error;
}

/// Defines a case for each answer to a resumption.
macro_rules! answers {
    ($($name:ident: $answer:expr;)*) => {
        cases! { $($name { assert_not_joined($answer).await; })* }
    };
}

const ERROR: &str = "{\"error\":{\"message\":\"no room\"}}";

fn sized(headers: &str, body: &str) -> String {
    format!("{headers}content-length: {}\r\n", body.len())
}

// Guard against an error's text, or another answer that is no rest of the stream, in
// the middle of a caller's stream.
answers! {
    an_error_is_not_joined: |r| answer(r, "500 Internal Server Error", &sized("", ERROR), ERROR);
    an_error_as_a_stream_is_not_joined: |r| answer(r, "500 Internal Server Error", &sized(STREAM, ERROR), ERROR);
    a_refusal_is_not_joined: |r| answer(r, "503 Service Unavailable", &sized("sequoiawing-ran: no\r\n", ERROR), ERROR);
    a_redirect_is_not_joined: |r| answer(r, "302 Found", "location: /\r\ncontent-length: 0\r\n", "");
    a_part_is_not_joined: |r| answer(r, "206 Partial Content", &sized(STREAM, &rest(SENT)), &rest(SENT));
    a_switch_of_protocols_is_not_joined: |r| answer(r, "101 Switching Protocols", "upgrade: x\r\nconnection: upgrade\r\n", &rest(SENT));
    a_page_is_not_joined: |r| answer(r, "200 OK", &sized("content-type: text/html\r\n", "<p>no\n\n</p>"), "<p>no\n\n</p>");
    an_answer_without_a_type_is_not_joined: |r| answer(r, "200 OK", &sized("", "no\n\n"), "no\n\n");
    an_encoded_answer_is_not_joined: |r| {
        let body = "\u{1f}encoded\n\n";
        answer(r, "200 OK", &sized(&format!("{STREAM}content-encoding: gzip\r\n"), body), body)
    };
    an_answer_without_a_length_is_not_joined: |r| answer(r, "200 OK", STREAM, &rest(SENT));
    an_answer_of_another_encoding_than_chunks_is_not_joined: |r| {
        answer(r, "200 OK", &format!("{STREAM}transfer-encoding: identity\r\n"), &rest(SENT))
    };
    an_answer_from_the_start_is_not_joined: |r| {
        let body = rest(0);
        let headers = sized(STREAM, &body);
        vec![Step::Write(format!("{}{body}", head(r, "200 OK", &headers)))]
    };
    an_answer_from_another_event_is_not_joined: |r| {
        let body = rest(SENT + 1);
        let headers = format!("{}sequoiawing-resume-offset: {}\r\n", sized(STREAM, &body), SENT + 1);
        vec![Step::Write(format!("{}{body}", head(r, "200 OK", &headers)))]
    };
    a_part_of_an_event_is_not_joined: |r| {
        let part = chunk("data: {\"text\":\"half");
        answer(r, "200 OK", &format!("{STREAM}{CHUNKED}"), &part)
    };
    a_trailer_alone_is_not_joined: |r| answer(r, "200 OK", &format!("{STREAM}{CHUNKED}"), "0\r\nx: y\r\n\r\n");
    bytes_that_are_no_answer_are_not_joined: |_| vec![Step::Write("\u{16}no HTTP\r\n\r\n".to_owned()), Step::Close];
}

/// Asserts that a second upstream which goes on at another event than the next is
/// replaced, where events are numbered.
async fn assert_next_event(first: u64) {
    let numbered_rest = |first: u64| -> String {
        let events = (first..EVENTS).map(numbered);
        events.chain(["data: [DONE]\n\n".to_owned()]).collect()
    };
    let (fleet, scripted) = start(move |received| {
        let (events, end) = match received.number {
            0 => ((0..SENT).map(numbered).collect(), ""),
            1 => (numbered_rest(first), "0\r\n\r\n"),
            _ => (numbered_rest(SENT), "0\r\n\r\n"),
        };
        answer(
            received,
            "200 OK",
            &format!("{STREAM}{CHUNKED}"),
            &format!("{}{end}", chunk(&events)),
        )
    })
    .await;
    let response = fleet.completion("/resumed", EVENTS).send().await;
    let received = scripted.received();
    assert_eq!(response.text(), numbered_rest(0), "{received:#?}");
    assert_eq!(received.len(), 3, "{received:#?}");
}

/// Asserts that a stream is resumed where IDs increase by `step`.
async fn assert_resumed_by(step: u64) {
    let events = move |first: u64, end: u64| -> String {
        let events = (first..end).map(|n| format!("id: {}\n{}", (n + 1) * step, event(n)));
        events.collect::<Vec<_>>().concat()
    };
    let (fleet, scripted) = start(move |received| {
        let headers = format!("{STREAM}{CHUNKED}");
        let part = match received.number {
            0 => chunk(&events(0, SENT)),
            _ => chunk(&format!("{}data: [DONE]\n\n", events(SENT, EVENTS))) + "0\r\n\r\n",
        };
        answer(received, "200 OK", &headers, &part)
    })
    .await;
    let response = fleet.completion("/resumed", EVENTS).send().await;
    let received = scripted.received();
    let whole = format!("{}data: [DONE]\n\n", events(0, EVENTS));
    assert_eq!(response.text(), whole, "{received:#?}");
    assert_eq!(received.len(), 2, "{received:#?}");
}

cases! {
    // Guards against sound streams that are not resumed as their IDs are not consecutive
    // (review/11).
    a_rest_with_sparse_ids_is_joined { assert_resumed_by(5).await; }

    // Guard against events that come twice or are left out where a stream goes on.
    a_rest_that_begins_anew_is_not_joined { assert_next_event(0).await; }
    a_rest_that_repeats_an_event_is_not_joined { assert_next_event(SENT - 1).await; }
    a_rest_that_leaves_an_event_out_is_not_joined { assert_next_event(SENT + 1).await; }

    // Guards against an event that is left out where a stream goes on behind comments.
    comments_are_not_counted_as_events {
        let (fleet, scripted) = start(|received| match received.number {
            0 => broken(received, Ending::AfterComments),
            _ => resumed(received),
        })
        .await;
        let response = fleet.completion("/resumed", EVENTS).send().await;
        let received = scripted.received();
        assert_eq!(received[1].header("sequoiawing-resume-offset"), SENT.to_string());
        assert_eq!(response.text().replace(": wait\n\n:\n\n", ""), rest(0), "{received:#?}");
    }

    // Guards against a stream that looks complete to a caller whose version of HTTP has no
    // chunks, and that ends with its connection.
    a_stream_that_breaks_off_is_reset_for_a_caller_without_chunks {
        let (fleet, _scripted) = start(|received| broken(received, Ending::Closed)).await;
        let (text, ending) = send_without_chunks(&fleet).await;
        assert!(text.starts_with("HTTP/1.0 200 OK"), "{text}");
        assert_eq!(ending, Err(ErrorKind::ConnectionReset), "{text}");
    }

    a_whole_stream_is_not_reset_for_a_caller_without_chunks {
        let (fleet, _scripted) = start(resumed).await;
        let (text, ending) = send_without_chunks(&fleet).await;
        assert!(text.ends_with(&rest(0)), "{text}");
        assert_eq!(ending, Ok(()));
    }

    // Guards against a resumption that is given up for an interim answer.
    a_stream_is_resumed_behind_an_interim_answer {
        let (fleet, scripted) = start(|received| {
            if received.number == 0 {
                return broken(received, Ending::Closed);
            }
            let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
            let interim = Step::Write(interim.to_owned());
            [interim].into_iter().chain(resumed(received)).collect()
        })
        .await;
        let response = fleet.completion("/resumed", EVENTS).send().await;
        assert_eq!(response.text(), rest(0));
        assert_eq!(scripted.received().len(), 2);
    }

    // Guards against bytes behind the last event, which are no part of the stream.
    nothing_behind_the_last_event_is_relayed {
        for path in ["/v1/completions", "/resumed"] {
            let (fleet, _scripted) = start(|received| {
                let body = format!("{}{}", rest(0), event(9));
                let headers = format!("{STREAM}{CHUNKED}");
                let head = head(received, "200 OK", &headers);
                vec![Step::Write(format!("{head}{}{}0\r\n\r\n", chunk(&body), chunk(&event(10))))]
            })
            .await;
            let response = fleet.completion(path, EVENTS).send().await;
            assert_eq!(response.text(), rest(0), "{path}");
        }
    }
}
