//! Which answers that end with their connection count as complete.

use sequoiawing_policy::serving::{FramingHistory, IdleTolerance, ProcessChain};
use sequoiawing_types::Time;
use std::time::Duration;

// Guards against a process that was started again being taken for the one that answered.
#[test]
fn a_replaced_connection_shows_one_process_only_if_the_former_is_open() {
    let mut chain = ProcessChain::default();
    chain.begin();
    let number = chain.number();
    chain.replace(true);
    assert!(chain.has_lived(number, true));
    assert!(!chain.has_lived(number, false), "its connection has ended");
    chain.replace(false);
    assert!(!chain.has_lived(number, true));
    let number = chain.number();
    chain.begin();
    assert!(
        !chain.has_lived(number, true),
        "nothing was open in between"
    );
}

// Guards against answers without a length that nothing is observed for.
#[test]
fn a_pool_needs_evidence_from_its_first_answer_without_a_length() {
    let mut history = FramingHistory::default();
    assert!(history.needs_evidence(), "nothing is known");
    for _ in 0..4 {
        history.record(true);
    }
    assert!(!history.needs_evidence());
    history.record(false);
    for _ in 0..255 {
        history.record(true);
        assert!(history.needs_evidence());
    }
}

// Guards against a connection for each request of a pool that gave one answer without a
// length long ago.
#[test]
fn a_pool_needs_no_evidence_after_many_answers_with_a_length() {
    let mut history = FramingHistory::default();
    history.record(false);
    for _ in 0..256 {
        history.record(true);
    }
    assert!(!history.needs_evidence());
    history.record(false);
    assert!(history.needs_evidence());
}

// Guards against connections that are replaced too late for upstreams that close them soon, and
// too often for others (review/14).
#[test]
fn a_connection_is_replaced_before_its_upstream_closes_it() {
    let ms = Duration::from_millis;
    let mut tolerance = IdleTolerance::default();
    assert_eq!(
        (tolerance.interval(), tolerance.is_unknown(Time::ZERO)),
        (ms(100), true)
    );
    tolerance.record_open(ms(390));
    assert_eq!(tolerance.interval(), ms(195));
    tolerance.record_closed(Time::ZERO, ms(410));
    assert_eq!(tolerance.interval(), Duration::from_micros(102_500));
    assert!(!tolerance.is_unknown(Time::from_millis(59_000)));
    assert!(tolerance.is_unknown(Time::from_millis(60_000)));
    tolerance.record_open(ms(1_000));
    assert_eq!(tolerance.interval(), ms(500));
    assert!(!tolerance.is_unknown(Time::from_millis(60_000)));
}
