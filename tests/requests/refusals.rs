//! Tests of upstreams that write an earlier refusal once more, with chosen bytes on real
//! connections.

use crate::{
    cases,
    fleet::{Fleet, Setup, short_stall},
    scripted::{Kind, Received, Scripted, Step},
};
use sequoiawing::runtime::sleep;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// The number of calls, of which the first is refused.
const CALLS: usize = 4;

/// Where an upstream writes the copy of its refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    /// In one write with the refusal.
    BehindRefusal,
    /// On the idle connection.
    WhileIdle,
    /// In place of the next answer, which follows it.
    BeforeAnswer,
    /// Behind the head of the next answer.
    BehindHead,
    /// Between two chunks of the next answer.
    WithinBody,
    /// In one write with the next answer.
    BehindAnswer,
}

/// How a copy differs from the refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Copied {
    Exactly,
    WithOtherAttempt,
    WithoutAttempt,
    WithoutRan,
    AsTooMany,
    AsMisdirected,
}

fn refusal(attempt: &str, copied: Copied) -> String {
    let status = match copied {
        Copied::AsTooMany => "429 Too Many Requests",
        Copied::AsMisdirected => "421 Misdirected Request",
        _ => "503 Service Unavailable",
    };
    let attempt = match copied {
        Copied::WithOtherAttempt => "sequoiawing-attempt: another-0\r\n".to_owned(),
        Copied::WithoutAttempt => String::new(),
        _ => format!("sequoiawing-attempt: {attempt}\r\n"),
    };
    let ran = match copied {
        Copied::WithoutRan => "",
        _ => "sequoiawing-ran: no\r\n",
    };
    format!("HTTP/1.1 {status}\r\n{attempt}{ran}content-length: 4\r\n\r\nfull")
}

/// Returns the answer to a call that runs, with a copy of a refusal.
fn answer(received: &Received, place: Place, copy: &str) -> Vec<Step> {
    let attempt = received.attempt();
    let head = format!("HTTP/1.1 200 OK\r\nsequoiawing-attempt: {attempt}\r\n");
    let body = format!("done: {}", received.body);
    let sized = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let bytes = match place {
        Place::BehindRefusal | Place::WhileIdle => sized,
        Place::BeforeAnswer => format!("{copy}{sized}"),
        Place::BehindHead => format!("{chunked}{copy}{chunk}0\r\n\r\n"),
        Place::WithinBody => format!("{chunked}{chunk}{copy}{chunk}0\r\n\r\n"),
        Place::BehindAnswer => format!("{sized}{copy}"),
    };
    vec![Step::Write(bytes)]
}

/// Asserts that no call is said not to have run that ran, and that each gets the answer
/// to itself or none.
async fn assert_not_believed(path: &str, place: Place, copied: Copied) {
    let fleet = Fleet::start(Setup {
        settings: short_stall(),
        ..Setup::default()
    })
    .await;
    let refused: Arc<Mutex<String>> = Arc::default();
    let script = move |received: &Received| {
        let mut refused = refused.lock().expect("no panic");
        if !refused.is_empty() {
            return answer(received, place, &refusal(&refused, copied));
        }
        received.attempt().clone_into(&mut refused);
        let first = refusal(&refused, Copied::Exactly);
        let copy = refusal(&refused, copied);
        match place {
            Place::BehindRefusal => vec![Step::Write(format!("{first}{copy}"))],
            Place::WhileIdle => vec![
                Step::Write(first),
                Step::Pause(Duration::from_millis(5)),
                Step::Write(copy),
            ],
            _ => vec![Step::Write(first)],
        }
    };
    let scripted = Scripted::start(&fleet, Kind::Service, 2, script).await;
    for number in 0..CALLS {
        let body = format!("call {number}");
        let response = fleet.call(path).with_body(body.clone()).send().await;
        let received = scripted.received();
        let mut runs = received.iter().filter(|r| r.number > 0);
        let ran = runs.clone().any(|r| r.body == body);
        if response.status == 200 {
            let text = response.body.as_ref();
            let is_own = text.is_ok_and(|text| *text == format!("done: {body}"));
            assert!(text.is_err() || is_own, "{response:?}");
        } else {
            assert!(!ran || response.ran() != "no", "{response:?}");
        }
        if path == "/grant" {
            let count = runs.by_ref().filter(|r| r.body == body).count();
            assert!(count <= 1, "{received:#?}");
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Defines a case for each copy, on a route whose calls may be repeated, over kept
/// connections, and on one whose calls may not, over new ones.
macro_rules! copies {
    ($($name:ident: $place:ident, $copied:ident;)*) => {
        cases! {
            $($name {
                for path in ["/look", "/grant"] {
                    assert_not_believed(path, Place::$place, Copied::$copied).await;
                }
            })*
        }
    };
}

// Guard against a call that is said not to have run, or runs again, because its upstream
// wrote an earlier refusal once more.
copies! {
    a_refusal_that_is_written_twice_at_once: BehindRefusal, Exactly;
    a_copy_on_an_idle_connection: WhileIdle, Exactly;
    a_copy_before_an_answer: BeforeAnswer, Exactly;
    a_copy_behind_the_head: BehindHead, Exactly;
    a_copy_within_a_body: WithinBody, Exactly;
    a_copy_behind_an_answer: BehindAnswer, Exactly;
    a_copy_for_another_attempt: BeforeAnswer, WithOtherAttempt;
    a_copy_for_no_attempt: BeforeAnswer, WithoutAttempt;
    a_copy_that_does_not_say_whether_it_ran: BeforeAnswer, WithoutRan;
    a_copy_with_status_429: BeforeAnswer, AsTooMany;
    a_copy_with_status_421: BeforeAnswer, AsMisdirected;
    an_idle_copy_for_another_attempt: WhileIdle, WithOtherAttempt;
    an_idle_copy_for_no_attempt: WhileIdle, WithoutAttempt;
}

/// Asserts that a repeatable call whose connection closes and that is then refused is not
/// said not to have run.
async fn refuse_behind_a_closed_connection() {
    let fleet = Fleet::start(Setup {
        settings: short_stall(),
        ..Setup::default()
    })
    .await;
    let used: Arc<Mutex<Vec<usize>>> = Arc::default();
    let script = move |received: &Received| {
        if received.body == "warm up" {
            used.lock().expect("no panic").push(received.connection);
            return answer(received, Place::WhileIdle, "");
        }
        let is_kept = used
            .lock()
            .expect("no panic")
            .contains(&received.connection);
        if is_kept {
            // The call runs, and the connection closes without an answer.
            return vec![Step::Close];
        }
        vec![Step::Write(refusal(received.attempt(), Copied::Exactly))]
    };
    let scripted = Scripted::start(&fleet, Kind::Service, 1, script).await;
    let warm = fleet.call("/look").with_body("warm up").send().await;
    assert_eq!(warm.status, 200);
    let response = fleet.call("/look").with_body("call").send().await;
    let ran = scripted
        .received()
        .iter()
        .any(|r| r.body == "call" && r.connection == 0);
    assert!(ran, "{:#?}", scripted.received());
    assert_eq!(response.ran(), "unknown", "{response:?}");
}

/// Asserts that half an answer, whose connection then closes, is not taken for a whole one.
async fn assert_not_whole(framing: &'static str, status: &'static str) {
    let fleet = Fleet::start(Setup {
        settings: short_stall(),
        ..Setup::default()
    })
    .await;
    let script = move |received: &Received| {
        let attempt = received.attempt();
        vec![
            Step::Write(format!(
                "HTTP/1.1 {status}\r\nsequoiawing-attempt: {attempt}\r\n{framing}\r\ndone: ha"
            )),
            Step::Close,
        ]
    };
    let _scripted = Scripted::start(&fleet, Kind::Service, 1, script).await;
    for path in ["/look", "/grant"] {
        let response = fleet.call(path).send().await;
        assert_eq!(response.ran(), "unknown", "{path}: {response:?}");
        assert_eq!(response.code(), "upstream_failed", "{path}: {response:?}");
    }
}

cases! {
    // Guards against "not run" for a call that may have run on a connection that closed.
    a_refusal_behind_a_closed_connection_leaves_the_outcome_unknown {
        refuse_behind_a_closed_connection().await;
    }

    // Guard against half an answer that looks complete.
    half_an_answer_in_another_encoding_than_chunks_is_not_whole {
        assert_not_whole("transfer-encoding: identity\r\n", "200 OK").await;
    }
    half_a_compressed_answer_without_chunks_is_not_whole {
        assert_not_whole("transfer-encoding: gzip\r\n", "200 OK").await;
    }
    a_switch_of_protocols_is_no_answer {
        assert_not_whole("upgrade: x\r\nconnection: upgrade\r\n", "101 Switching Protocols").await;
    }
}
