use super::{EndError, EventError, StreamPosition};
use crate::event_numberings::SharedNumbering;
use bytes::Bytes;
use parking_lot::Mutex;
use sequoiawing_policy::serving::EventNumbering;
use std::sync::Arc;

/// A numbering of which nothing is known.
fn unknown() -> SharedNumbering {
    Arc::new(Mutex::new(EventNumbering::new(4)))
}

/// The numbering of a pool whose streams had consecutive IDs.
fn consecutive() -> SharedNumbering {
    let numbering = unknown();
    for last in 1..=4 {
        numbering.lock().learn(last, last + 1);
    }
    numbering
}

fn out_of_order(last: u64, id: u64) -> EventError {
    EventError::OutOfOrder { last, id }
}

/// Sends a stream in parts of each size; returns what is passed on and why the rest is
/// not, which must not depend on the size.
fn pass_on(
    last_event_id: Option<u64>,
    numbering: fn() -> SharedNumbering,
    stream: &'static str,
) -> (String, Option<EventError>) {
    let sizes = 1..=stream.len();
    let mut results: Vec<_> = sizes
        .map(|size| {
            let mut position = StreamPosition::new(last_event_id, numbering());
            let mut passed = String::new();
            let mut error = None;
            for part in stream.as_bytes().chunks(size) {
                if error.is_some() {
                    break;
                }
                match position.push(Bytes::from_static(part)) {
                    Ok(events) => passed.push_str(str::from_utf8(&events).expect("text")),
                    Err(cause) => error = Some(cause),
                }
                error = error.or(position.check().err());
            }
            (passed, error)
        })
        .collect();
    results.dedup();
    assert_eq!(results.len(), 1, "{results:?}");
    results.swap_remove(0)
}

macro_rules! streams {
    ($numbering:ident; $($name:ident: $last:expr, $stream:expr => $passed:expr, $error:expr;)*) => {$(
        // Guards against events that come twice, out of order or not at all.
        #[test]
        fn $name() {
            assert_eq!(pass_on($last, $numbering, $stream), ($passed.to_owned(), $error));
        }
    )*};
}

streams! {
    consecutive;
    events_in_order_pass: None, "id: 1\n\nid: 2\n\nid: 3\n\n" => "id: 1\n\nid: 2\n\nid: 3\n\n", None;
    a_stream_may_begin_with_any_number: None, "id: 0\n\nid: 1\n\n" => "id: 0\n\nid: 1\n\n", None;
    a_resumed_stream_goes_on: Some(5), "id: 6\n\nid: 7\n\n" => "id: 6\n\nid: 7\n\n", None;
    a_resumed_stream_does_not_begin_anew: Some(5), "id: 1\n\nid: 2\n\n" => "", Some(out_of_order(5, 1));
    a_resumed_stream_does_not_repeat: Some(5), "id: 5\n\nid: 6\n\n" => "", Some(out_of_order(5, 5));
    a_resumed_stream_leaves_nothing_out: Some(5), "id: 7\n\n" => "", Some(out_of_order(5, 7));
    a_number_does_not_go_back: None, "id: 1\n\nid: 2\n\nid: 1\n\n" => "id: 1\n\nid: 2\n\n", Some(out_of_order(2, 1));
    no_number_comes_twice: None, "id: 1\n\nid: 1\n\n" => "id: 1\n\n", Some(out_of_order(1, 1));
    no_number_is_left_out: None, "id: 1\n\nid: 2\n\nid: 4\n\n"
        => "id: 1\n\nid: 2\n\n", Some(out_of_order(2, 4));
    the_last_number_has_no_successor: Some(u64::MAX), "id: 0\n\n" => "", Some(out_of_order(u64::MAX, 0));
    the_last_id_of_an_event_counts: Some(5), "id: 6\nid: 9\n\n" => "", Some(out_of_order(5, 9));
    an_event_without_an_id_does_not_follow_a_number: None, "id: 1\n\ndata: b\n\n"
        => "id: 1\n\n", Some(EventError::NotNumbered { last: 1 });
    an_id_that_is_no_number_does_not_follow_one: Some(5), "id: f\n\n"
        => "", Some(EventError::NotNumbered { last: 5 });
    the_head_of_another_answer_is_no_event: Some(5), "HTTP/1.1 500 Error\r\nx: y\r\n\r\nfailed\n\n"
        => "", Some(EventError::NotNumbered { last: 5 });
    a_comment_is_no_event: None, "id: 1\n\n: alive\n\nid: 2\n\n" => "id: 1\n\n: alive\n\nid: 2\n\n", None;
    the_end_marker_needs_no_id: None, "id: 1\r\n\r\ndata: [DONE]\r\n\r\n"
        => "id: 1\r\n\r\ndata: [DONE]\r\n\r\n", None;
    events_without_ids_pass: None, "data: a\n\ndata: b\n\nid: 9\n\n" => "data: a\n\ndata: b\n\nid: 9\n\n", None;
    an_incomplete_event_is_held_back: None, "id: 1\n\nid: 2\nda" => "id: 1\n\n", None;
}

streams! {
    unknown;
    sparse_numbers_pass: None, "id: 5\n\nid: 10\n\nid: 12\n\n" => "id: 5\n\nid: 10\n\nid: 12\n\n", None;
    sparse_numbers_do_not_go_back: None, "id: 5\n\nid: 10\n\nid: 7\n\n"
        => "id: 5\n\nid: 10\n\n", Some(out_of_order(10, 7));
    no_sparse_number_comes_twice: None, "id: 5\n\nid: 10\n\nid: 10\n\n"
        => "id: 5\n\nid: 10\n\n", Some(out_of_order(10, 10));
    a_resumed_stream_may_be_sparse: Some(85), "id: 90\n\nid: 95\n\n" => "id: 90\n\nid: 95\n\n", None;
    a_sparse_stream_does_not_begin_anew: Some(85), "id: 5\n\nid: 10\n\n" => "", Some(out_of_order(85, 5));
    consecutive_numbers_may_become_sparse: None, "id: 1\n\nid: 2\n\nid: 9\n\n"
        => "id: 1\n\nid: 2\n\nid: 9\n\n", None;
    a_number_may_have_64_bits: Some(u64::MAX - 9), "id: 18446744073709551615\n\n"
        => "id: 18446744073709551615\n\n", None;
}

// Guards against a stream that is resumed from its beginning because its events have no
// numbers.
#[test]
fn a_stream_without_numbers_may_not_be_resumed() {
    let mut position = StreamPosition::new(None, unknown());
    assert!(position.may_resume());
    let pushed = position.push(Bytes::from_static(b"data: a\n\n"));
    assert!(pushed.is_ok());
    assert!(!position.may_resume());
    assert_eq!((position.count(), position.last_id()), (1, None));
}

// Guards against partial bytes of one upstream beside those of the next.
#[test]
fn a_new_part_begins_behind_the_last_complete_event() {
    let mut position = StreamPosition::new(None, unknown());
    let pushed = position.push(Bytes::from_static(b"id: 1\n\nid: 2\nda"));
    assert!(pushed.is_ok());
    position.begin_part();
    assert_eq!((position.first_id(), position.last_id()), (None, Some(1)));
    let pushed = position.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(pushed, Ok(Bytes::from_static(b"id: 2\ndata: b\n\n")));
    assert_eq!(
        (position.first_id(), position.last_id()),
        (Some(2), Some(2))
    );
}

macro_rules! ends {
    ($($name:ident: $first:expr, $next:expr => $end:expr;)*) => {$(
        // Guards against a stream that ends as complete before its last event.
        #[test]
        fn $name() {
            let mut position = StreamPosition::new(None, unknown());
            let pushed = position.push(Bytes::from_static($first));
            assert!(pushed.is_ok());
            let next: Option<&'static [u8]> = $next;
            if let Some(next) = next {
                position.begin_part();
                let pushed = position.push(Bytes::from_static(next));
                assert!(pushed.is_ok());
            }
            assert_eq!(position.check_end(), $end);
        }
    )*};
}

ends! {
    a_stream_ends_behind_an_event: b"id: 1\n\n", None => Ok(());
    a_stream_may_have_no_events: b"", None => Ok(());
    a_stream_does_not_end_within_an_event: b"id: 1\n\nid", None => Err(EndError::WithinEvent);
    a_resumed_stream_ends_behind_an_event: b"id: 1\n\n", Some(b"id: 2\n\n") => Ok(());
    a_resumed_stream_does_not_end_without_an_event: b"id: 1\n\n", Some(b"") => Err(EndError::NoEvent);
    a_comment_is_no_event_before_an_end: b"id: 1\n\n", Some(b": alive\n\n") => Err(EndError::NoEvent);
    a_resumed_stream_does_not_end_within_an_event: b"id: 1\n\n", Some(b"id: 2\n") => Err(EndError::WithinEvent);
}

/// Returns what is passed on of a stream that is broken off behind `first` and goes on with
/// `next`, twice if the first attempt is refused.
fn join(numbering: SharedNumbering, first: &'static str, next: &'static str) -> Vec<bool> {
    let mut position = StreamPosition::new(None, numbering);
    assert!(position.push(Bytes::from_static(first.as_bytes())).is_ok());
    let mut passed = Vec::new();
    while passed.len() < 2 && passed.last() != Some(&true) {
        position.begin_part();
        passed.push(position.push(Bytes::from_static(next.as_bytes())).is_ok());
    }
    passed
}

macro_rules! joins {
    ($($name:ident: $numbering:ident, $first:expr, $next:expr => $passed:expr;)*) => {$(
        // Guards against sound streams that break off wherever their IDs are not consecutive,
        // and against a missing event where they are.
        #[test]
        fn $name() {
            assert_eq!(join($numbering(), $first, $next), $passed);
        }
    )*};
}

joins! {
    a_single_event_may_be_followed_by_any_larger_one: unknown, "id: 5\n\n", "id: 10\n\n" => [true];
    a_stream_from_zero_goes_on: unknown, "id: 0\n\n", "id: 3\n\n" => [true];
    a_wider_step_needs_a_second_run: consecutive, "id: 1\n\n", "id: 4\n\n" => [false, true];
    two_runs_may_not_repeat_an_event: consecutive, "id: 4\n\n", "id: 4\n\n" => [false, false];
    two_runs_may_not_begin_anew: unknown, "id: 4\n\n", "id: 1\n\n" => [false, false];
}
