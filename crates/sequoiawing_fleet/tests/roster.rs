//! Tests of a roster with late, duplicated and relayed announcements.

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use sequoiawing_fleet::{Cursor, Interest, Roster, RosterEntry, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Returns an announcement of an upstream at a port of the loopback address.
fn state(name: &str, epoch: u64, sequence: u64, port: u16, leaving: bool) -> UpstreamState {
    UpstreamState {
        name: Name::from(name),
        epoch,
        sequence,
        address: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        leaving,
        ..UpstreamState::default()
    }
}

/// Returns the live upstreams with their epochs and whether they are leaving.
fn live(roster: &Roster) -> BTreeMap<String, (u64, bool)> {
    let live = roster.live();
    live.map(|s| (s.name.to_string(), (s.epoch, s.leaving)))
        .collect()
}

macro_rules! rosters {
    ($($name:ident: $script:expr => [$(($upstream:literal, $epoch:literal, $leaving:literal)),*];)*) => {$(
        #[test]
        fn $name() {
            let mut roster = Roster::new(1);
            let script: fn(&mut Roster) = $script;
            script(&mut roster);
            let expected: Vec<(&str, u64, bool)> = vec![$(($upstream, $epoch, $leaving)),*];
            let expected = expected.into_iter();
            let expected: BTreeMap<String, (u64, bool)> =
                expected.map(|(n, e, l)| (n.to_owned(), (e, l))).collect();
            assert_eq!(live(&roster), expected);
        }
    )*};
}

/// Returns the software version of the upstream `a` after announcements of the given
/// epochs and versions.
fn software_after(announced: &[(u64, Option<&str>)]) -> Option<Name> {
    let mut roster = Roster::new(1);
    for (sequence, (epoch, software)) in (1..).zip(announced) {
        let state = UpstreamState {
            software: software.map(Name::from),
            ..state("a", *epoch, sequence, 10, false)
        };
        roster.announce(Time::ZERO, state);
    }
    roster.get(&Name::from("a"))?.software.clone()
}

macro_rules! software {
    ($($name:ident: $announced:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(software_after(&$announced), $expected.map(Name::from));
        }
    )*};
}

// Guard against a software version that is lost or taken over when a process of an
// earlier build passes an announcement on without it.
software! {
    the_software_version_of_a_start_is_kept: [(1, Some("v1")), (1, None)] => Some("v1");
    the_software_version_of_a_start_is_learned_later: [(1, None), (1, Some("v1"))] => Some("v1");
    a_new_start_does_not_take_over_a_software_version: [(1, Some("v1")), (2, None)] => None::<&str>;
    a_new_start_may_have_another_software_version: [(1, Some("v1")), (2, Some("v2"))] => Some("v2");
    a_version_that_is_not_named_replaces_none: [(1, None), (1, Some(""))] => Some("");
}

fn announce(roster: &mut Roster, state: &UpstreamState) {
    roster.announce(Time::ZERO, state.clone());
}

rosters! {
    a_late_announcement_is_ignored: |r| {
        announce(r, &state("a", 1, 2, 10, true));
        announce(r, &state("a", 1, 1, 10, false));
    } => [("a", 1, true)];
    a_later_epoch_replaces_higher_sequence_numbers: |r| {
        announce(r, &state("a", 1, 9, 10, true));
        announce(r, &state("a", 2, 1, 10, false));
    } => [("a", 2, false)];
    an_earlier_epoch_is_ignored: |r| {
        announce(r, &state("a", 2, 1, 10, false));
        announce(r, &state("a", 1, 9, 10, true));
    } => [("a", 2, false)];
    the_latest_start_owns_the_address: |r| {
        announce(r, &state("a", 1, 1, 10, false));
        announce(r, &state("b", 2, 1, 10, false));
    } => [("b", 2, false)];
    a_delayed_heartbeat_of_a_crashed_start_does_not_reclaim_the_address: |r| {
        announce(r, &state("b", 2, 1, 10, false));
        announce(r, &state("a", 1, 7, 10, false));
        announce(r, &state("a", 1, 8, 10, false));
    } => [("b", 2, false)];
    an_upstream_that_has_left_is_gone: |r| {
        announce(r, &state("a", 1, 1, 10, false));
        r.leave(Time::ZERO, &Name::from("a"), None);
    } => [];
    a_late_heartbeat_does_not_restore_an_upstream_that_has_left: |r| {
        announce(r, &state("a", 1, 1, 10, false));
        r.leave(Time::ZERO, &Name::from("a"), Some(1));
        announce(r, &state("a", 1, 5, 10, false));
    } => [];
    a_departure_of_an_earlier_epoch_is_ignored: |r| {
        announce(r, &state("a", 2, 1, 10, false));
        r.leave(Time::ZERO, &Name::from("a"), Some(1));
    } => [("a", 2, false)];
    a_departure_of_an_unknown_start_is_kept: |r| {
        r.leave(Time::ZERO, &Name::from("a"), Some(2));
        announce(r, &state("a", 1, 5, 10, false));
        announce(r, &state("a", 2, 5, 10, false));
    } => [];
    a_later_start_serves_after_the_departure_of_an_unknown_one: |r| {
        r.leave(Time::ZERO, &Name::from("a"), Some(2));
        announce(r, &state("a", 3, 1, 10, false));
    } => [("a", 3, false)];
    a_departure_without_a_start_of_an_unknown_upstream_ends_no_later_one: |r| {
        r.leave(Time::ZERO, &Name::from("a"), None);
        announce(r, &state("a", 1, 1, 10, false));
    } => [("a", 1, false)];
    a_recorded_draining_notice_makes_a_known_start_leave: |r| {
        announce(r, &state("a", 1, 3, 10, false));
        r.depart(Time::ZERO, &Name::from("a"), (1, 5), false);
        announce(r, &state("a", 1, 4, 10, false));
    } => [("a", 1, true)];
    a_recorded_draining_notice_keeps_late_announcements_away: |r| {
        r.depart(Time::ZERO, &Name::from("a"), (1, 5), false);
        announce(r, &state("a", 1, 4, 10, false));
    } => [];
    a_draining_upstream_announces_itself_after_its_recorded_notice: |r| {
        r.depart(Time::ZERO, &Name::from("a"), (1, 5), false);
        announce(r, &state("a", 1, 6, 10, true));
    } => [("a", 1, true)];
    a_recorded_notice_of_an_earlier_start_is_ignored: |r| {
        announce(r, &state("a", 2, 1, 10, false));
        r.depart(Time::ZERO, &Name::from("a"), (1, 5), false);
        r.depart(Time::ZERO, &Name::from("a"), (1, u64::MAX), true);
    } => [("a", 2, false)];
    an_upstream_that_has_left_may_start_again: |r| {
        announce(r, &state("a", 1, 1, 10, false));
        r.leave(Time::ZERO, &Name::from("a"), Some(1));
        announce(r, &state("a", 2, 1, 10, false));
    } => [("a", 2, false)];
}

#[test]
fn a_follower_gets_each_change_once() {
    let mut roster = Roster::new(1);
    announce(&mut roster, &state("a", 1, 1, 10, false));
    let first = roster.updates_since(Cursor::default(), Interest::Changes);
    assert_eq!(first.listed.len(), 1);
    announce(&mut roster, &state("a", 1, 2, 10, false));
    let changes = roster.updates_since(first.cursor, Interest::Changes);
    assert_eq!(changes.listed, [], "a heartbeat alone is not a change");
    let announced = roster.updates_since(first.cursor, Interest::Announcements);
    assert_eq!(announced.listed.len(), 1);
    announce(&mut roster, &state("a", 1, 3, 10, true));
    let changes = roster.updates_since(changes.cursor, Interest::Changes);
    assert!(changes.listed[0].state.leaving);
}

/// Guards against followers that take an upstream as cold or warm at the wrong time.
#[test]
fn the_time_that_an_upstream_stays_cold_is_passed_on_with_its_age() {
    let at = |millis| Time::ZERO + Duration::from_millis(millis);
    let cold = |sequence, left| UpstreamState {
        cold: left,
        ..state("a", 1, sequence, 10, false)
    };
    let mut roster = Roster::new(1);
    roster.announce(at(0), cold(1, 3_000));
    let first = roster.updates_at(at(700), Cursor::default(), Interest::Changes);
    assert_eq!(first.listed[0].state.cold, 2_300);
    let left: Vec<Duration> = roster.cold(at(700)).map(|(_, left)| left).collect();
    assert_eq!(left, [Duration::from_millis(2_300)]);
    roster.announce(at(1_300), cold(2, 0));
    assert_eq!(roster.cold(at(1_300)).count(), 0);
    let next = roster.updates_at(at(1_400), first.cursor, Interest::Changes);
    assert_eq!(
        next.listed.len(),
        1,
        "it is no longer cold, which is a change"
    );
    roster.announce(at(1_500), cold(1, 3_000));
    assert_eq!(roster.cold(at(1_500)).count(), 0, "a late announcement");
}

#[test]
fn a_follower_of_another_epoch_gets_all_entries() {
    let mut roster = Roster::new(2);
    announce(&mut roster, &state("a", 1, 1, 10, false));
    let cursor = Cursor { epoch: 1, stamp: 9 };
    let update = roster.updates_since(cursor, Interest::Changes);
    assert_eq!((update.listed.len(), update.cursor.epoch), (1, 2));
}

#[test]
fn an_upstream_is_silent_until_its_next_announcement() {
    let mut roster = Roster::new(1);
    let limit = Duration::from_secs(3);
    roster.announce(Time::ZERO, state("a", 1, 1, 10, false));
    let later = Time::from_millis(3_001);
    assert_eq!(roster.silent(later, limit), [Name::from("a")]);
    roster.announce(later, state("a", 1, 2, 10, false));
    assert_eq!(roster.silent(later, limit), []);
}

/// Rosters converge if they receive announcements in any order, some of them from
/// each other.
#[test]
fn rosters_that_follow_each_other_converge() {
    for seed in 0..64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut announcements = Vec::new();
        for (i, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
            for epoch in 1..3 {
                for sequence in 1..4 {
                    // Two names share each address, as when an address is reused.
                    let port = u16::try_from(10 + i / 2).expect("a port should fit into u16");
                    let upstream_epoch =
                        epoch * 10 + u64::try_from(i).expect("an index should fit into u64");
                    announcements.push(state(name, upstream_epoch, sequence, port, sequence == 3));
                }
            }
        }
        let mut rosters: Vec<Roster> = (0..3).map(Roster::new).collect();
        for roster in &mut rosters {
            announcements.shuffle(&mut rng);
            let received = rng.random_range(0..announcements.len());
            announcements[..received]
                .iter()
                .for_each(|s| announce(roster, s));
        }
        for _ in 0..4 {
            for from in 0..rosters.len() {
                let update =
                    rosters[from].updates_since(Cursor::default(), Interest::Announcements);
                for roster in &mut rosters {
                    for listed in &update.listed {
                        roster.apply(Time::ZERO, RosterEntry::clone(listed));
                    }
                }
            }
        }
        let first = live(&rosters[0]);
        for roster in &rosters[1..] {
            assert_eq!(live(roster), first, "seed {seed}");
        }
    }
}

/// Guards against announcements that each hub passes on to each other: they travel once for
/// each hub in place of once for each pair.
#[test]
fn own_announcements_are_those_made_to_this_process() {
    let at = Time::from_millis(10);
    let mut first = Roster::new(1);
    let mut second = Roster::new(2);
    let start = second
        .updates_since(Cursor::default(), Interest::OwnAnnouncements)
        .cursor;
    first.announce(at, state("a", 1, 1, 1, false));
    for listed in first
        .updates_since(Cursor::default(), Interest::Announcements)
        .listed
    {
        second.apply(at, listed);
    }
    second.announce(at, state("b", 1, 1, 2, false));
    let names = |cursor, interest| -> Vec<Name> {
        let update = second.updates_since(cursor, interest);
        update
            .listed
            .into_iter()
            .map(|e| e.state.name.clone())
            .collect()
    };
    assert_eq!(names(start, Interest::OwnAnnouncements), [Name::from("b")]);
    assert_eq!(names(start, Interest::Announcements).len(), 2);
    let other = Cursor::default();
    assert_eq!(
        names(other, Interest::OwnAnnouncements).len(),
        2,
        "a new follower"
    );
    let mut second = second.clone();
    second.leave(at, &Name::from("b"), None);
    let left = second
        .updates_since(start, Interest::OwnAnnouncements)
        .listed;
    assert!(left[0].gone, "a departure is an announcement");
}

/// Guards against a gateway that keeps connections to an upstream whose departure comes from
/// a host that does not know its address.
#[test]
fn a_follower_completes_the_departure_of_an_unknown_upstream() {
    let mut hub = Roster::new(1);
    hub.leave(Time::ZERO, &Name::from("a"), Some(1));
    let mut gateway = Roster::new(2);
    announce(&mut gateway, &state("a", 1, 3, 10, false));
    let cursor = gateway
        .updates_since(Cursor::default(), Interest::Changes)
        .cursor;
    for listed in hub
        .updates_since(Cursor::default(), Interest::Changes)
        .listed
    {
        gateway.apply(Time::ZERO, listed);
    }
    let changes = gateway.updates_since(cursor, Interest::Changes).listed;
    assert_eq!(changes.len(), 1);
    assert!(changes[0].gone);
    assert_eq!(
        changes[0].state.address,
        state("a", 1, 3, 10, false).address
    );
}
