//! Tests how repeated log records are suppressed.

use sequoiawing_telemetry::{Admission, Throttle, ThrottleSettings};
use sequoiawing_types::Time;
use std::time::Duration;

fn throttle() -> Throttle<&'static str> {
    Throttle::new(ThrottleSettings {
        burst: 2,
        interval: Duration::from_secs(10),
    })
}

const ALLOWED: Admission = Admission::Allowed { suppressed: 0 };

#[test]
fn the_first_records_of_a_key_are_allowed() {
    let mut throttle = throttle();
    let now = Time::from_millis(5);
    let admitted = [0; 4].map(|_| throttle.admit(now, "link"));
    assert_eq!(
        admitted,
        [
            ALLOWED,
            ALLOWED,
            Admission::Suppressed,
            Admission::Suppressed
        ]
    );
}

#[test]
fn keys_are_limited_independently() {
    let mut throttle = throttle();
    for _ in 0..9 {
        throttle.admit(Time::ZERO, "link");
    }
    assert_eq!(throttle.admit(Time::ZERO, "router"), ALLOWED);
}

#[test]
fn suppressed_records_are_reported_once_after_the_interval() {
    let mut throttle = throttle();
    for _ in 0..5 {
        throttle.admit(Time::ZERO, "link");
    }
    let just_before = Time::from_millis(9_999);
    assert_eq!(throttle.admit(just_before, "link"), Admission::Suppressed);
    let later = Time::from_millis(10_000);
    assert_eq!(
        throttle.admit(later, "link"),
        Admission::Allowed { suppressed: 4 }
    );
    assert_eq!(throttle.admit(later, "link"), ALLOWED);
    assert_eq!(throttle.admit(later, "link"), Admission::Suppressed);
}
