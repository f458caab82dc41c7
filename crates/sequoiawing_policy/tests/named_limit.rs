//! Answers that name limits and overtake each other.

use sequoiawing_policy::serving::{NamedLimit, NamedRate};
use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn rate(rate: f64) -> Option<RequestRate> {
    RequestRate::per_second(rate)
}

/// An answer: when its request was sent and it arrived, and the limit that it names.
type Answer = (u64, u64, Option<f64>);

fn last_of(answers: &[Answer]) -> Option<RequestRate> {
    let mut limit = NamedLimit::default();
    for (sent, arrived, named) in answers {
        limit.observe(at(*arrived), at(*sent), named.and_then(rate));
    }
    limit.rate()
}

macro_rules! answers {
    ($($name:ident: $answers:expr => $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(last_of(&$answers), $limit);
        }
    )*};
}

// Guard against an older limit that replaces a newer one.
answers! {
    a_named_limit_holds: [(0, 10, Some(5.0))] => rate(5.0);
    a_lower_limit_counts_at_once: [(0, 20, Some(5.0)), (10, 30, Some(2.0))] => rate(2.0);
    a_higher_limit_counts_if_asked_for_later: [(0, 20, Some(2.0)), (20, 30, Some(5.0))] => rate(5.0);
    a_higher_limit_may_be_an_older_one: [(0, 20, Some(2.0)), (10, 30, Some(5.0))] => rate(2.0);
    a_limit_ends_with_a_later_answer: [(0, 20, Some(2.0)), (20, 30, None)] => None;
    a_late_answer_withdraws_no_limit: [(0, 20, Some(2.0)), (10, 30, None)] => rate(2.0);
}

macro_rules! reports {
    ($($name:ident: $observed:expr, $named:expr => $limit:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut limit = NamedLimit::default();
            limit.observe(at(1_000), at(900), rate(2.0));
            let (observed, rate) = (at($observed), $named);
            limit.merge(NamedRate { rate, observed });
            assert_eq!(limit.rate(), $limit);
        }
    )*};
}

// Guard against a limit that is raised by the report of an older answer to another host.
reports! {
    another_host_lowers_the_limit: 1_001, rate(1.0) => rate(1.0);
    an_older_report_lowers_nothing: 999, rate(1.0) => rate(2.0);
    a_report_of_about_the_same_time_withdraws_nothing: 1_400, None => rate(2.0);
    a_clearly_newer_report_withdraws_the_limit: 1_500, None => None;
    a_clearly_newer_report_raises_the_limit: 1_500, rate(9.0) => rate(9.0);
}
