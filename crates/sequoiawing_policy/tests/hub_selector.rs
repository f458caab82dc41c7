//! Tests which hubs a gateway follows.

use sequoiawing_policy::serving::{HubRole, HubSelector, HubStatus};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

fn hub(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7601))
}

fn status(centre: &str, leads: bool) -> HubStatus {
    HubStatus {
        centre: Name::from(centre),
        leads,
        age: Duration::ZERO,
    }
}

/// Returns a selector with six hubs in three data centres, two in each; the
/// first one leads.
fn selector(seed: u64, gateways: u32) -> HubSelector {
    let mut selector = HubSelector::new(Name::from("b"), seed);
    selector.set_gateways(gateways);
    for number in 0..6 {
        selector.add(Time::ZERO, hub(number), number < 3);
        let centre = ["a", "b", "c"][usize::from(number % 3)];
        selector.record_answer(Time::ZERO, hub(number), status(centre, number == 0));
    }
    selector
}

fn with_role(selector: &HubSelector, now: Time, role: HubRole) -> Vec<SocketAddr> {
    let hubs = selector.hubs().filter(|h| selector.role(now, *h) == role);
    hubs.collect()
}

fn primary(selector: &HubSelector, now: Time) -> Option<SocketAddr> {
    let found = with_role(selector, now, HubRole::Primary);
    assert!(found.len() <= 1, "at most one hub is primary");
    found.into_iter().next()
}

const NOW: Time = Time::from_millis(100);

#[test]
fn few_gateways_follow_all_hubs_with_leader_as_primary() {
    let selector = selector(1, 6);
    assert_eq!(primary(&selector, NOW), Some(hub(0)));
    assert_eq!(with_role(&selector, NOW, HubRole::Followed).len(), 5);
}

#[test]
fn many_gateways_follow_nearest_hub_and_one_elsewhere() {
    for seed in 0..50 {
        let selector = selector(seed, 80);
        let first = primary(&selector, NOW).unwrap();
        assert!(
            [hub(1), hub(4)].contains(&first),
            "{first} is not in the local data centre"
        );
        let second = with_role(&selector, NOW, HubRole::Followed);
        assert_eq!(second.len(), 1);
        assert!(![hub(1), hub(4)].contains(&second[0]));
    }
}

#[test]
fn gateways_spread_over_the_hubs_of_their_data_centre() {
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for seed in 0..100 {
        let first = primary(&selector(seed, 100), NOW).unwrap();
        *counts.entry(first).or_default() += 1;
    }
    assert_eq!(counts.len(), 2);
    assert!(counts.values().all(|count| *count >= 25), "{counts:?}");
}

#[test]
fn failed_hub_is_replaced_until_it_answers() {
    let mut selector = selector(1, 80);
    let first = primary(&selector, NOW).unwrap();
    selector.record_failure(NOW, first);
    let next = primary(&selector, NOW).unwrap();
    assert_ne!(next, first);
    assert_eq!(selector.role(NOW, first), HubRole::Probed);
    let later = Time::from_millis(700);
    selector.record_answer(later, first, status("b", false));
    assert_eq!(primary(&selector, later), Some(first));
}

#[test]
fn hub_without_quorum_is_replaced() {
    let mut selector = selector(1, 80);
    let first = primary(&selector, NOW).unwrap();
    let stale = HubStatus {
        age: Duration::from_secs(2),
        ..status("b", false)
    };
    selector.record_answer(NOW, first, stale);
    assert_ne!(primary(&selector, NOW), Some(first));
}

#[test]
fn change_of_selected_hubs_is_reported_once() {
    let mut selector = selector(1, 80);
    assert!(selector.has_changed(NOW));
    assert!(!selector.has_changed(NOW));
    let first = primary(&selector, NOW).unwrap();
    let stale = HubStatus {
        age: Duration::from_secs(2),
        ..status("b", false)
    };
    selector.record_answer(NOW, first, stale);
    assert!(
        selector.has_changed(NOW),
        "the new hub needs a report before its next probe, which may be seconds away"
    );
    selector.record_failure(NOW, first);
    assert!(
        !selector.has_changed(NOW),
        "the failed hub was no longer selected"
    );
}

#[test]
fn hub_without_quorum_is_followed_if_there_is_no_other() {
    let mut selector = selector(1, 80);
    let first = primary(&selector, NOW).unwrap();
    let stale = HubStatus {
        age: Duration::from_mins(1),
        ..status("b", false)
    };
    selector.record_answer(NOW, first, stale);
    for other in selector.hubs().filter(|h| *h != first).collect::<Vec<_>>() {
        selector.record_failure(NOW, other);
    }
    assert_eq!(primary(&selector, NOW), Some(first));
}

#[test]
fn reports_to_one_hub_do_not_grow_with_the_gateways() {
    let reports = |gateways: u32| {
        let selector = selector(1, gateways);
        let followed = with_role(&selector, NOW, HubRole::Followed).len() + 1;
        let followed = f64::from(u32::try_from(followed).unwrap());
        f64::from(gateways) * followed / 6.0 / selector.report_interval().as_secs_f64()
    };
    for gateways in [6, 16, 17, 80, 150] {
        // A hub, which has a third of a core, can take this many reports.
        assert!(
            reports(gateways) <= 640.0,
            "{gateways}: {}",
            reports(gateways)
        );
    }
    assert!(reports(80) <= 161.0, "{}", reports(80));
}

#[test]
fn only_hubs_that_are_not_seeds_are_removed() {
    let mut selector = selector(1, 6);
    let now = Time::from_millis(70_000);
    for number in 0..6 {
        selector.record_failure(now, hub(number));
    }
    let removed: Vec<bool> = (0..6)
        .map(|n| selector.remove_silent(now, hub(n)))
        .collect();
    assert_eq!(removed, [false, false, false, true, true, true]);
}

#[test]
fn hub_that_never_answered_is_probed_soon() {
    let mut selector = HubSelector::new(Name::from("a"), 1);
    selector.add(Time::ZERO, hub(1), true);
    assert_eq!(selector.role(Time::ZERO, hub(1)), HubRole::Probed);
    assert!(selector.probe_interval(Time::ZERO, hub(1)) <= Duration::from_millis(500));
}

/// Guards against gateways that read the changes of all upstreams from two hubs.
#[test]
fn one_hub_tells_of_upstreams_while_it_is_in_touch_with_the_log() {
    let status = |age| HubStatus {
        centre: Name::from("a"),
        leads: false,
        age: Duration::from_millis(age),
    };
    let hub = SocketAddr::from(([10, 1, 0, 1], 1));
    let mut hubs = HubSelector::new(Name::from("a"), 1);
    hubs.add(Time::ZERO, hub, true);
    assert!(!hubs.has_fresh_primary(Time::ZERO), "no hub has answered");
    let now = Time::from_millis(10_000);
    hubs.record_answer(now, hub, status(100));
    assert!(hubs.has_fresh_primary(now + Duration::from_millis(600)));
    assert!(
        !hubs.has_fresh_primary(now + Duration::from_millis(800)),
        "silent"
    );
    hubs.record_answer(now, hub, status(900));
    assert!(!hubs.has_fresh_primary(now), "out of touch with the log");
}

#[test]
fn loads_are_requested_from_the_leaders_hub() {
    let mut hubs = HubSelector::new(Name::from("a"), 1);
    let at = |host| SocketAddr::from(([10, 1, 0, host], 1));
    let now = Time::from_millis(10_000);
    assert_eq!(hubs.leader(now), None);
    for (host, centre, leads) in [(1, "a", false), (2, "b", true)] {
        hubs.add(Time::ZERO, at(host), true);
        let status = HubStatus {
            centre: Name::from(centre),
            leads,
            age: Duration::ZERO,
        };
        hubs.set_gateways(300);
        hubs.record_answer(now, at(host), status);
    }
    assert_eq!(hubs.leader(now), Some(at(2)));
    hubs.record_failure(now + Duration::from_millis(1), at(2));
    assert_eq!(hubs.leader(now), Some(at(1)), "any hub passes a request on");
}

/// All hosts lose power and start again within half a second of each other, the hubs last.
/// Guards against gateways that wait for a second and more in a call to a hub that had no
/// power, and serve no caller meanwhile.
#[test]
fn hosts_that_start_before_their_hubs_reach_them_soon() {
    for start in (0..500).step_by(50) {
        let mut hubs = HubSelector::new(Name::from("a"), 1);
        hubs.add(Time::ZERO, hub(1), true);
        // The hub answers 500 ms after the first host starts; calls before that hang.
        let mut now = start;
        while now < 500 {
            let call = hubs.call_timeout() + hubs.probe_interval(Time::from_millis(now), hub(1));
            hubs.record_failure(Time::from_millis(now), hub(1));
            now += u64::try_from(call.as_millis()).expect("a short call");
        }
        assert!(now <= 1_000, "started at {start} ms, answered at {now} ms");
    }
    let mut hubs = HubSelector::new(Name::from("a"), 1);
    hubs.add(Time::ZERO, hub(1), true);
    let now = Time::from_millis(1_000);
    hubs.record_answer(now, hub(1), status("a", true));
    hubs.record_failure(now + Duration::from_millis(1), hub(1));
    let interval = hubs.probe_interval(now + Duration::from_millis(2), hub(1));
    assert!(
        interval >= Duration::from_millis(500),
        "later a lost hub is no haste"
    );
    assert!(hubs.call_timeout() >= Duration::from_millis(800));
}
