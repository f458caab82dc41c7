//! Tests which software version is known to be the only one of a pool.

use sequoiawing_fleet::{Roster, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// An announcement at a second by an upstream, with its software.
type Announcement = (u64, &'static str, Option<&'static str>);

/// Returns the only version at a second, and for how many seconds it has been the only
/// one.
fn only(announcements: &[Announcement], at: u64) -> Option<(String, u64)> {
    let mut roster = Roster::new(1);
    for (number, (second, upstream, software)) in (1..).zip(announcements) {
        let state = UpstreamState {
            name: Name::from(*upstream),
            pool: Name::from("pool"),
            epoch: number,
            software: software.map(Name::from),
            ..UpstreamState::default()
        };
        roster.announce(Time::from_millis(second * 1_000), state);
    }
    let now = Time::from_millis(at * 1_000);
    roster.expire(now);
    let (software, age) = roster.only_software(now, &Name::from("pool"))?;
    Some((software.to_string(), age.as_secs()))
}

macro_rules! versions {
    ($($name:ident: $announcements:expr, $at:expr => $only:expr;)*) => {$(
        // Guards against a stream that goes on at a software version that did not begin
        // it, since the version that did has left.
        #[test]
        fn $name() {
            let expected: Option<(&str, u64)> = $only;
            let expected = expected.map(|(software, age)| (software.to_owned(), age));
            assert_eq!(only(&$announcements, $at), expected);
        }
    )*};
}

versions! {
    nothing_is_known_of_a_pool_without_upstreams: [], 5 => None;
    one_version_is_the_only_one_since_the_start: [(1, "a", Some("v1")), (4, "b", Some("v1"))], 9
        => Some(("v1", 9));
    a_version_that_has_left_counts_until_its_last_announcement:
        [(1, "a", Some("v1")), (20, "b", Some("v2")), (50, "b", Some("v2"))], 51 => Some(("v2", 50));
    an_upstream_that_restarts_under_its_name_with_other_software_counts:
        [(30, "a", Some("v1")), (40, "a", Some("v2"))], 45 => Some(("v2", 15));
    an_unknown_version_is_another_one: [(30, "a", None), (40, "b", Some("v2"))], 45 => Some(("v2", 15));
    an_unknown_version_is_not_the_only_one: [(30, "a", Some("v1")), (40, "a", None)], 45 => None;
    an_unnamed_version_is_not_the_only_one: [(30, "a", Some(""))], 45 => None;
    a_version_is_forgotten_after_a_while: [(1, "a", Some("v1")), (400, "b", Some("v2"))], 450
        => Some(("v2", 450));
}

#[test]
fn other_pools_do_not_count() {
    let mut roster = Roster::new(1);
    for (pool, software) in [("pool", "v1"), ("other", "v2")] {
        let state = UpstreamState {
            name: Name::from(pool),
            pool: Name::from(pool),
            software: Some(Name::from(software)),
            epoch: 1,
            ..UpstreamState::default()
        };
        roster.announce(Time::from_millis(1_000), state);
    }
    let only = roster.only_software(Time::from_millis(9_000), &Name::from("pool"));
    assert_eq!(only, Some((Name::from("v1"), Duration::from_secs(9))));
}
