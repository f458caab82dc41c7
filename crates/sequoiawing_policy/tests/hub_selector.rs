//! Which hubs a gateway follows.

use sequoiawing_policy::serving::{HubChoice, HubFact, HubRole};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

fn hub(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7601))
}

fn fact(centre: &str, leads: bool) -> HubFact {
    HubFact {
        centre: Name::from(centre),
        leads,
        age: Duration::ZERO,
    }
}

/// Six hubs in three data centres, two in each; the first one leads.
fn choice(seed: u64, gateways: u32) -> HubChoice {
    let mut choice = HubChoice::new(Name::from("b"), seed);
    choice.set_gateways(gateways);
    for number in 0..6 {
        choice.add(Time::ZERO, hub(number), number < 3);
        let centre = ["a", "b", "c"][usize::from(number % 3)];
        choice.hear(Time::ZERO, hub(number), fact(centre, number == 0));
    }
    choice
}

fn with_role(choice: &HubChoice, now: Time, role: HubRole) -> Vec<SocketAddr> {
    let hubs = choice.hubs().filter(|h| choice.role(now, *h) == role);
    hubs.collect()
}

fn primary(choice: &HubChoice, now: Time) -> Option<SocketAddr> {
    let found = with_role(choice, now, HubRole::Primary);
    assert!(found.len() <= 1, "one hub takes the demand");
    found.into_iter().next()
}

const NOW: Time = Time::from_millis(100);

#[test]
fn few_gateways_follow_every_hub_and_tell_the_leader_the_demand() {
    let choice = choice(1, 6);
    assert_eq!(primary(&choice, NOW), Some(hub(0)));
    assert_eq!(with_role(&choice, NOW, HubRole::Followed).len(), 5);
}

#[test]
fn many_gateways_follow_the_nearest_hub_and_one_elsewhere() {
    for seed in 0..50 {
        let choice = choice(seed, 80);
        let first = primary(&choice, NOW).unwrap();
        assert!([hub(1), hub(4)].contains(&first), "{first} is not near");
        let second = with_role(&choice, NOW, HubRole::Followed);
        assert_eq!(second.len(), 1);
        assert!(![hub(1), hub(4)].contains(&second[0]));
    }
}

#[test]
fn gateways_spread_over_the_hubs_of_their_data_centre() {
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for seed in 0..100 {
        let first = primary(&choice(seed, 100), NOW).unwrap();
        *counts.entry(first).or_default() += 1;
    }
    assert_eq!(counts.len(), 2);
    assert!(counts.values().all(|count| *count >= 25), "{counts:?}");
}

#[test]
fn a_hub_that_does_not_answer_is_replaced_until_it_does() {
    let mut choice = choice(1, 80);
    let first = primary(&choice, NOW).unwrap();
    choice.fail(NOW, first);
    let next = primary(&choice, NOW).unwrap();
    assert_ne!(next, first);
    assert_eq!(choice.role(NOW, first), HubRole::Probed);
    let later = Time::from_millis(700);
    choice.hear(later, first, fact("b", false));
    assert_eq!(primary(&choice, later), Some(first));
}

#[test]
fn a_hub_out_of_touch_with_the_log_is_left_for_another() {
    let mut choice = choice(1, 80);
    let first = primary(&choice, NOW).unwrap();
    let late = HubFact {
        age: Duration::from_secs(2),
        ..fact("b", false)
    };
    choice.hear(NOW, first, late);
    assert_ne!(primary(&choice, NOW), Some(first));
}

#[test]
fn a_hub_that_is_to_be_followed_instead_is_told_of_at_once() {
    let mut choice = choice(1, 80);
    assert!(choice.has_changed(NOW));
    assert!(!choice.has_changed(NOW));
    let first = primary(&choice, NOW).unwrap();
    let late = HubFact {
        age: Duration::from_secs(2),
        ..fact("b", false)
    };
    choice.hear(NOW, first, late);
    assert!(choice.has_changed(NOW), "a probe may be seconds away");
    choice.fail(NOW, first);
    assert!(!choice.has_changed(NOW), "it was not followed any more");
}

#[test]
fn a_hub_out_of_touch_is_followed_when_there_is_no_other() {
    let mut choice = choice(1, 80);
    let first = primary(&choice, NOW).unwrap();
    let late = HubFact {
        age: Duration::from_mins(1),
        ..fact("b", false)
    };
    choice.hear(NOW, first, late);
    for other in choice.hubs().filter(|h| *h != first).collect::<Vec<_>>() {
        choice.fail(NOW, other);
    }
    assert_eq!(primary(&choice, NOW), Some(first));
}

#[test]
fn reports_to_one_hub_do_not_grow_with_the_gateways() {
    let reports = |gateways: u32| {
        let choice = choice(1, gateways);
        let followed = with_role(&choice, NOW, HubRole::Followed).len() + 1;
        let followed = f64::from(u32::try_from(followed).unwrap());
        f64::from(gateways) * followed / 6.0 / choice.pause().as_secs_f64()
    };
    for gateways in [6, 16, 17, 80, 150] {
        // A third of a core bears so many.
        assert!(
            reports(gateways) <= 640.0,
            "{gateways}: {}",
            reports(gateways)
        );
    }
    assert!(reports(80) <= 161.0, "{}", reports(80));
}

#[test]
fn only_hubs_that_are_no_seeds_are_forgotten() {
    let mut choice = choice(1, 6);
    let now = Time::from_millis(70_000);
    for number in 0..6 {
        choice.fail(now, hub(number));
    }
    let forgotten: Vec<bool> = (0..6).map(|n| choice.forget(now, hub(n))).collect();
    assert_eq!(forgotten, [false, false, false, true, true, true]);
}

#[test]
fn a_hub_that_never_answered_is_asked_soon() {
    let mut choice = HubChoice::new(Name::from("a"), 1);
    choice.add(Time::ZERO, hub(1), true);
    assert_eq!(choice.role(Time::ZERO, hub(1)), HubRole::Probed);
    assert!(choice.probe_pause(Time::ZERO, hub(1)) <= Duration::from_millis(500));
}
