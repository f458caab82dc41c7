//! Tests when a request at a silent upstream is sent to another one.

use sequoiawing_policy::serving::{Hedge, HedgeAction, HedgeAttempt, HedgeEvent, HedgeSettings};
use sequoiawing_types::Time;
use std::time::Duration;

use HedgeAction::{Fail, Promote, Search, Use};
use HedgeAttempt::{First, Second};
use HedgeEvent::{Answered, Elapsed, NotFound, Sent};

const SILENCE: Duration = Duration::from_millis(100);

const FIRST_FAILED: HedgeEvent = HedgeEvent::Failed {
    attempt: First,
    was_sent: true,
};
const SECOND_FAILED: HedgeEvent = HedgeEvent::Failed {
    attempt: Second,
    was_sent: true,
};
const SECOND_NOT_SENT: HedgeEvent = HedgeEvent::Failed {
    attempt: Second,
    was_sent: false,
};

fn hedge(max_attempts: u32) -> Hedge {
    let settings = HedgeSettings {
        silence: SILENCE,
        max_attempts,
    };
    Hedge::new(Time::ZERO, settings, 1)
}

/// Feeds events with their times in milliseconds and returns all actions.
fn actions(hedge: &mut Hedge, events: &[(u64, HedgeEvent)]) -> Vec<HedgeAction> {
    let mut out = Vec::new();
    for (at, event) in events {
        hedge.handle(Time::from_millis(*at), *event, &mut out);
    }
    out
}

macro_rules! hedges {
    ($($name:ident: $max:literal, [$($at:literal $event:expr),*] => [$($action:expr),*], $attempts:literal, $due:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut hedge = hedge($max);
            let expected: &[HedgeAction] = &[$($action),*];
            assert_eq!(actions(&mut hedge, &[$(($at, $event)),*]), expected);
            assert_eq!(hedge.attempts(), $attempts);
            let due: Option<u64> = $due;
            assert_eq!(hedge.due(), due.map(Time::from_millis));
        }
    )*};
}

hedges! {
    an_answer_in_time_starts_no_second_attempt: 3, [50 Answered(First)] => [Use(First)], 1, None;
    silence_starts_a_search: 3, [100 Elapsed] => [Search], 1, Some(100);
    a_timer_that_fires_early_starts_none: 3, [99 Elapsed] => [], 1, Some(100);
    a_request_that_may_be_sent_once_only_waits: 1, [200 Elapsed, 900 Answered(First)] => [Use(First)], 1, None;
    the_second_answer_wins: 3, [100 Elapsed, 100 Sent, 150 Answered(Second)] => [Search, Use(Second)], 2, None;
    the_first_upstream_goes_on: 3, [100 Elapsed, 100 Sent, 150 Answered(First)] => [Search, Use(First)], 2, None;
    a_silent_second_attempt_is_not_replaced_early: 3, [100 Elapsed, 100 Sent, 199 Elapsed] => [Search], 2, Some(200);
    a_silent_second_attempt_gives_way_to_a_third: 3, [100 Elapsed, 100 Sent, 200 Elapsed, 200 Sent] => [Search, Search], 3, None;
    a_silent_second_attempt_is_kept_without_a_third: 3, [100 Elapsed, 100 Sent, 200 Elapsed, 200 NotFound, 250 Answered(Second)] => [Search, Search, Use(Second)], 2, None;
    a_silent_second_attempt_in_place_of_the_first_gets_another: 3, [100 Elapsed, 100 Sent, 110 FIRST_FAILED, 200 Elapsed, 200 Sent] => [Search, Promote, Search], 3, None;
    a_refusal_leaves_the_first_upstream: 3, [100 Elapsed, 100 Sent, 110 SECOND_FAILED, 200 Answered(First)] => [Search, Use(First)], 2, None;
    a_refusal_is_followed_by_a_search_after_further_silence: 3, [100 Elapsed, 100 Sent, 110 SECOND_FAILED, 209 Elapsed, 210 Elapsed] => [Search, Search], 2, Some(210);
    no_attempt_exceeds_the_limit: 2, [100 Elapsed, 100 Sent, 110 SECOND_FAILED, 500 Elapsed] => [Search], 2, None;
    an_attempt_that_reached_nobody_is_not_counted: 2, [100 Elapsed, 100 Sent, 110 SECOND_NOT_SENT] => [Search], 1, Some(210);
    a_search_without_result_is_repeated: 3, [100 Elapsed, 100 NotFound, 150 Elapsed, 200 Elapsed] => [Search, Search], 1, Some(200);
    the_second_attempt_outlives_the_first: 3, [100 Elapsed, 100 Sent, 110 FIRST_FAILED, 150 Answered(First)] => [Search, Promote, Use(First)], 2, None;
    two_failures_leave_nothing: 3, [100 Elapsed, 100 Sent, 110 FIRST_FAILED, 150 FIRST_FAILED] => [Search, Promote, Fail], 2, None;
    a_failure_without_a_second_attempt_is_final: 3, [50 FIRST_FAILED] => [Fail], 1, None;
}
