//! Which times in which this process did not run are noticed.

use sequoiawing_policy::serving::Standstills;
use sequoiawing_types::Time;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(250);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

// Guards against an answer that is taken for a recent one just after a pause, before or
// after the timer has fired.
#[test]
fn a_pause_counts_before_and_after_its_tick() {
    let mut standstills = Standstills::new(at(0), INTERVAL);
    standstills.tick(at(250));
    assert!(!standstills.has_stood_still(at(400), at(100)));
    assert!(
        standstills.has_stood_still(at(1_400), at(400)),
        "before it fired"
    );
    standstills.tick(at(1_400));
    assert!(
        standstills.has_stood_still(at(1_450), at(400)),
        "after it fired"
    );
    assert!(!standstills.has_stood_still(at(1_600), at(1_500)));
}

// Guards against a busy machine on which each tick counts as a pause.
#[test]
fn a_late_timer_is_no_pause() {
    let mut standstills = Standstills::new(at(0), INTERVAL);
    for tick in 1..100 {
        standstills.tick(at(tick * 400));
        assert!(!standstills.has_stood_still(at(tick * 400 + 300), at(0)));
    }
}
