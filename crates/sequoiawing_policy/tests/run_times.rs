//! How long requests of a route take.

use sequoiawing_policy::serving::RunTimes;
use sequoiawing_types::Name;
use std::time::Duration;

macro_rules! requests {
    ($($name:ident: $earlier:expr, $limit:literal => $may_end:literal;)*) => {$(
        // Guards against a stopping host that refuses what would have ended, and passes on
        // what cannot end.
        #[test]
        fn $name() {
            let mut times = RunTimes::default();
            let earlier: &[u64] = &$earlier;
            for millis in earlier {
                times.record(&Name::from("route"), Duration::from_millis(*millis));
            }
            times.record(&Name::from("other"), Duration::from_secs(9));
            let limit = Duration::from_millis($limit);
            assert_eq!(times.may_end_within(&Name::from("route"), limit), $may_end);
        }
    )*};
}

requests! {
    a_request_of_an_unknown_route_may_end: [], 0 => true;
    a_request_may_end_as_fast_as_the_fastest: [3_000, 200, 4_000], 200 => true;
    a_request_cannot_end_faster_than_all: [3_000, 200, 4_000], 199 => false;
    the_latest_sixteen_requests_count: [1, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50], 49 => false;
}
