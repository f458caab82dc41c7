//! Tests the number of hosts that share the slack of the retry limits.

use sequoiawing_policy::serving::FleetSize;
use sequoiawing_types::Time;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

/// Returns the share of 60 retries, in thousandths, after replies in each second
/// that name these numbers of hosts.
fn share(replies: &[u32]) -> u64 {
    let mut fleet = FleetSize::default();
    let seconds = (0..).map(|second| Time::from_millis(second * 1_000));
    for (now, hosts) in seconds.zip(replies) {
        fleet.record(now, *hosts);
    }
    fleet.share(60, WINDOW)
}

macro_rules! shares {
    ($($name:ident: $replies:expr, $share:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(share(&$replies), $share);
        }
    )*};
}

shares! {
    without_a_reply_there_is_no_share: [], 0;
    the_first_reply_gives_a_sixteenth_of_the_share: [6], 625;
    half_a_window_gives_a_quarter_more: [6; 6], 3_125;
    a_share_is_whole_after_the_first_window: [6; 13], 10_000;
    a_second_number_that_is_smaller_increases_no_share: [[6; 13], [3; 13]].concat(), 10_000;
    a_second_number_that_is_larger_decreases_the_share: [[6; 13], [12; 13]].concat(), 5_000;
    hosts_that_left_long_ago_are_forgotten: [vec![6; 13], vec![3; 620]].concat(), 20_000;
    hosts_that_left_lately_are_not_forgotten: [vec![6; 13], vec![3; 590]].concat(), 10_000;
    a_number_of_zero_counts_as_this_host_alone: [0; 13], 60_000;
}
