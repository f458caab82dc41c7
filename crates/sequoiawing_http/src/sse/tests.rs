use super::{EventId, MAX_EVENT_BYTES, SseSplitter, complete_events};
use bytes::Bytes;

const STREAM: &[u8] = b"data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n";

#[test]
fn events_are_complete_at_every_split_of_the_stream() {
    for first in 0..STREAM.len() {
        for second in first..STREAM.len() {
            let mut splitter = SseSplitter::default();
            let parts = [&STREAM[..first], &STREAM[first..second], &STREAM[second..]];
            let mut output = Vec::new();
            for part in parts {
                let complete = splitter.push(Bytes::copy_from_slice(part));
                let complete = complete.expect("the events are short");
                assert!(
                    complete.is_empty() || complete.ends_with(b"\n"),
                    "{complete:?}"
                );
                output.extend_from_slice(&complete);
            }
            assert_eq!(output, STREAM, "split at {first} and {second}");
            assert_eq!(splitter.count(), 3, "split at {first} and {second}");
            assert!(splitter.is_done());
        }
    }
}

#[test]
fn a_discarded_partial_event_is_not_counted() {
    let mut splitter = SseSplitter::default();
    let complete = splitter.push(Bytes::from_static(b"data: a\n\ndata: b"));
    complete.expect("the events are short");
    splitter.discard_partial();
    assert_eq!(splitter.count(), 1);
    let complete = splitter.push(Bytes::from_static(b"data: b\n\n"));
    let complete = complete.expect("the events are short");
    assert_eq!(&complete[..], b"data: b\n\n");
    assert_eq!(splitter.count(), 2);
    assert!(!splitter.is_done());
}

macro_rules! last_ids {
    ($($name:ident: $stream:expr => $id:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut splitter = SseSplitter::default();
            let complete = splitter.push(Bytes::from_static($stream));
            let complete = complete.expect("the events are short");
            let ids = complete_events(&complete).filter_map(|event| match event.id() {
                EventId::Number(id) => Some(id),
                EventId::Missing | EventId::Text => None,
            });
            assert_eq!(ids.last(), $id);
        }
    )*};
}

last_ids! {
    the_last_complete_event_sets_the_id: b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda" => Some(2);
    an_event_without_an_id_keeps_the_previous_one: b"id:7\r\ndata: a\r\n\r\ndata: b\n\n" => Some(7);
    the_id_may_follow_another_field: b"weight-versions:2\nid: 4\ndata: id: 9\n\n" => Some(4);
    a_stream_without_ids_has_none: b"data: a\n\n" => None;
    an_id_that_is_no_number_is_none: b"id: 7f\ndata: a\n\n" => None;
    the_last_id_of_an_event_counts: b"id: 7\nid: 8\n\n" => Some(8);
}

// Guards against a relay whose memory is used up by an event without end.
#[test]
fn an_event_without_end_is_not_kept() {
    let mut splitter = SseSplitter::default();
    let part = Bytes::from(vec![b'a'; 64 * 1024]);
    let pushed = (0..32).map(|_| splitter.push(part.clone()));
    assert_eq!(pushed.filter(Result::is_err).count(), 1);
    assert!(splitter.partial.len() <= 1024 * 1024);
}

// Guards against work that grows with the square of an event's length: an event in parts of
// one byte kept a processor busy for minutes.
#[test]
fn an_event_in_parts_of_one_byte_is_bounded() {
    let mut splitter = SseSplitter::default();
    let mut length = 0;
    while splitter.push(Bytes::from_static(b"a")).is_ok() {
        length += 1;
    }
    assert_eq!(length, MAX_EVENT_BYTES);
    assert!(!splitter.has_partial());
}

#[test]
fn an_event_in_parts_of_one_byte_is_whole() {
    let mut splitter = SseSplitter::default();
    let mut output = Vec::new();
    for byte in STREAM {
        let complete = splitter.push(Bytes::copy_from_slice(&[*byte]));
        output.extend_from_slice(&complete.expect("the events are short"));
    }
    assert_eq!((output.as_slice(), splitter.count()), (STREAM, 3));
}
