//! How hubs add up what gateways report.

use sequoiawing_hub::{DemandBoard, UsageBoard};
use sequoiawing_link::{DemandBatch, GatewayReport, GatewayUse, ModelDemand};
use sequoiawing_types::{Name, Time};

fn report(host: &str, incarnation: u64, used: u64) -> GatewayReport {
    GatewayReport {
        host: Name::from(host),
        incarnation,
        used: vec![(Name::from("daily"), used)],
        ..GatewayReport::default()
    }
}

/// Returns what another hub passes on of a gateway.
fn told(host: &str, incarnation: u64, used: u64, age: u64) -> GatewayUse {
    GatewayUse {
        host: Name::from(host),
        incarnation,
        used: vec![(Name::from("daily"), used)],
        age,
        ..GatewayUse::default()
    }
}

/// Returns a report of batches of so many requests each.
fn demanding(incarnation: u64, batches: &[(u64, u64)]) -> GatewayReport {
    let batch = |(number, asked): &(u64, u64)| DemandBatch {
        number: *number,
        demand: vec![ModelDemand {
            model: Name::from("caption"),
            asked: *asked,
            ..ModelDemand::default()
        }],
    };
    GatewayReport {
        demand: batches.iter().map(batch).collect(),
        ..report("a", incarnation, 0)
    }
}

macro_rules! totals {
    ($($name:ident: [$($report:expr),*] => $total:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut board = UsageBoard::default();
            for report in [$($report),*] {
                board.take(Time::ZERO, &report);
            }
            assert_eq!(board.totals(), [(Name::from("daily"), $total)]);
        }
    )*};
}

totals! {
    gateways_add_up: [report("a", 1, 10), report("b", 1, 5)] => 15;
    a_repeated_report_counts_once: [report("a", 1, 10), report("a", 1, 10)] => 10;
    a_late_report_counts_nothing: [report("a", 1, 10), report("a", 1, 4)] => 10;
    a_restarted_gateway_counts_on: [report("a", 1, 10), report("a", 2, 3)] => 13;
    a_report_from_before_the_restart_is_late:
        [report("a", 2, 3), report("a", 1, 10)] => 3;
}

#[test]
fn a_gateway_that_stops_to_report_is_missing_for_a_while() {
    let mut board = UsageBoard::default();
    board.take(Time::ZERO, &report("a", 1, 0));
    board.take(Time::ZERO, &report("b", 1, 0));
    let at = |millis, board: &mut UsageBoard| {
        let now = Time::from_millis(millis);
        board.take(now, &report("a", 1, 0));
        board.expire(now);
        board.gateways(now)
    };
    assert_eq!(at(1_000, &mut board), (2, 0));
    assert_eq!(at(2_000, &mut board), (2, 1));
    assert_eq!(at(21_000, &mut board), (1, 0));
}

#[test]
fn a_gateway_that_leaves_is_not_missing_for_long() {
    let mut board = UsageBoard::default();
    let leaving = GatewayReport {
        leaving: true,
        ..report("a", 1, 0)
    };
    board.take(Time::ZERO, &leaving);
    let now = Time::from_millis(1_600);
    board.expire(now);
    assert_eq!(board.gateways(now), (0, 0));
}

macro_rules! demands {
    ($($name:ident: [$($report:expr),*] => $asked:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut board = DemandBoard::default();
            let mut asked = |report: &GatewayReport| -> u64 {
                board.take(report).iter().map(|d| d.asked).sum()
            };
            assert_eq!([$(asked(&$report)),*], $asked);
        }
    )*};
}

demands! {
    only_new_demand_is_passed_on:
        [demanding(1, &[(1, 4)]), demanding(1, &[(1, 4)]), demanding(1, &[(2, 2)])] => [4, 0, 2];
    a_batch_that_was_not_confirmed_counts_once:
        [demanding(1, &[(1, 4)]), demanding(1, &[(1, 4), (2, 3)])] => [4, 3];
    a_report_that_was_overtaken_counts_once:
        [demanding(1, &[(1, 4), (2, 3)]), demanding(1, &[(1, 4)])] => [7, 0];
    demand_after_a_restart_counts: [demanding(1, &[(3, 4)]), demanding(2, &[(1, 1)])] => [4, 1];
    a_report_without_demand_counts_nothing:
        [demanding(1, &[]), demanding(1, &[(1, 2)])] => [0, 2];
}

/// Returns the sum at a board that hears of gateways itself or by another hub.
fn merged(reports: &[GatewayReport], others: &[GatewayUse]) -> u64 {
    let mut board = UsageBoard::default();
    for report in reports {
        board.take(Time::from_millis(100), report);
    }
    for told in others {
        board.merge(Time::from_millis(100), told);
    }
    board.totals().iter().map(|(_, used)| used).sum()
}

macro_rules! merges {
    ($($name:ident: $reports:expr, $others:expr => $total:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(merged(&$reports, &$others), $total);
        }
    )*};
}

merges! {
    gateways_of_other_hubs_add_up: [report("a", 1, 10)], [told("b", 1, 5, 0)] => 15;
    a_gateway_at_two_hubs_counts_once: [report("a", 1, 10)], [told("a", 1, 10, 0)] => 10;
    the_hub_that_heard_last_knows_most: [report("a", 1, 10)], [told("a", 1, 12, 0)] => 12;
    what_is_passed_on_late_counts_nothing: [report("a", 1, 10)], [told("a", 1, 4, 90)] => 10;
    a_former_start_passed_on_late_counts_nothing:
        [report("a", 2, 3)], [told("a", 1, 10, 0)] => 3;
}

#[test]
fn only_what_gateways_told_the_hub_itself_is_passed_on() {
    let mut board = UsageBoard::default();
    let now = Time::from_millis(500);
    board.take(now, &report("a", 1, 10));
    board.merge(now, &told("b", 1, 5, 0));
    let (stamp, passed) = board.since(Time::from_millis(600), 0);
    assert_eq!(passed, [told("a", 1, 10, 100)]);
    assert!(board.since(now, stamp).1.is_empty(), "it was passed on");
    board.take(now, &report("a", 1, 11));
    assert_eq!(board.since(now, stamp).1, [told("a", 1, 11, 0)]);
    let beyond = stamp + 100;
    assert_eq!(board.since(now, beyond).1.len(), 1, "the hub started anew");
}

#[test]
fn a_gateway_that_is_heard_of_by_another_hub_is_not_missing() {
    let mut board = UsageBoard::default();
    board.take(Time::ZERO, &report("a", 1, 0));
    let now = Time::from_millis(3_000);
    assert_eq!(board.gateways(now), (1, 1));
    board.merge(now, &told("a", 1, 0, 200));
    assert_eq!(board.gateways(now), (1, 0));
}

#[test]
fn use_before_a_long_partition_is_not_counted_again() {
    let mut board = UsageBoard::default();
    board.take(Time::ZERO, &report("a", 1, 10));
    let now = Time::from_millis(60_000);
    board.expire(now);
    assert_eq!(board.gateways(now), (0, 0), "it may be gone for good");
    board.take(now, &report("a", 1, 14));
    assert_eq!(board.totals(), [(Name::from("daily"), 14)]);
}

#[test]
fn an_upstream_is_unreachable_when_most_gateways_say_so() {
    let mut board = UsageBoard::default();
    for (host, upstreams) in [("a", vec!["x", "y"]), ("b", vec!["x"]), ("c", vec![])] {
        let unreachable = upstreams.into_iter().map(Name::from).collect();
        let report = GatewayReport {
            unreachable,
            ..report(host, 1, 0)
        };
        board.take(Time::ZERO, &report);
    }
    let unreachable = board.unreachable(Time::ZERO);
    assert_eq!(
        unreachable.into_iter().collect::<Vec<_>>(),
        [Name::from("x")]
    );
}

/// Returns the upstreams that count as unreachable by what each gateway says.
fn agreed(gateways: &[(&[&str], &[&str])]) -> Vec<String> {
    let mut board = UsageBoard::default();
    let names = |all: &[&str]| all.iter().map(|n| Name::from(*n)).collect();
    for (i, (unreachable, reached)) in gateways.iter().enumerate() {
        let report = GatewayReport {
            unreachable: names(unreachable),
            reached: names(reached),
            ..report(&format!("g{i}"), 1, 0)
        };
        board.take(Time::ZERO, &report);
    }
    let agreed = board.unreachable(Time::ZERO);
    agreed.iter().map(ToString::to_string).collect()
}

macro_rules! witnesses {
    ($($name:ident: $gateways:expr => $agreed:expr;)*) => {$(
        #[test]
        fn $name() {
            let agreed = agreed(&$gateways);
            assert_eq!(agreed, $agreed as [&str; _]);
        }
    )*};
}

witnesses! {
    two_of_many_that_tried_are_enough:
        [(&["x"], &[]), (&["x"], &[]), (&[], &["y"]), (&[], &["y"]), (&[], &[])] => ["x"];
    one_of_many_is_not: [(&["x"], &[]), (&[], &[]), (&[], &[])] => [];
    the_only_gateway_is_believed: [(&["x"], &[])] => ["x"];
    as_many_that_reached_it_outvote:
        [(&["x"], &[]), (&["x"], &[]), (&[], &["x"]), (&[], &["x"])] => [];
}

macro_rules! rebuilds {
    ($($name:ident: [$($report:expr),*] => $is_rebuilt:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut board = UsageBoard::default();
            for report in [$($report),*] {
                board.take(Time::ZERO, &report);
            }
            assert_eq!(board.is_rebuilt(), $is_rebuilt);
        }
    )*};
}

rebuilds! {
    sums_of_unused_gateways_are_whole: [report("a", 1, 0), report("a", 1, 5)] => false;
    sums_begun_amid_use_are_not: [report("a", 1, 0), report("b", 1, 5)] => true;
}
