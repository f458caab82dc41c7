//! Which IDs of events may follow one another.

use sequoiawing_policy::serving::EventNumbering;

/// The number of steps of the same width that make a wider one doubtful.
const REQUIRED: u32 = 3;

/// Passes the events of one run on; returns the IDs that were not accepted.
fn refused(numbering: &mut EventNumbering, ids: &[u64]) -> Vec<u64> {
    let mut refused = Vec::new();
    for step in ids.windows(2) {
        let (last, id) = (step[0], step[1]);
        if numbering.accepts(last, id) {
            numbering.learn(last, id);
        } else {
            refused.push(id);
        }
    }
    refused
}

macro_rules! runs {
    ($($name:ident: $runs:expr => $refused:expr;)*) => {$(
        // Guards against sound streams that are broken off for their IDs, and against streams
        // that lack an event or have one twice.
        #[test]
        fn $name() {
            let mut numbering = EventNumbering::new(REQUIRED);
            let runs: &[&[u64]] = &$runs;
            let refused: Vec<u64> = runs.iter().flat_map(|ids| refused(&mut numbering, ids)).collect();
            let expected: &[u64] = &$refused;
            assert_eq!(refused, expected);
        }
    )*};
}

runs! {
    growing_steps_are_accepted: [&[1, 2, 4, 8, 16, 32, 64, 128]] => [];
    a_narrow_step_is_accepted: [&[5, 10, 15, 20, 25, 28]] => [];
    a_wide_step_in_a_regular_pool_is_doubted: [&[5, 10, 15, 20, 30]] => [30];
    a_wide_step_of_two_runs_is_accepted: [&[1, 2, 3, 4, 9], &[4, 9, 70, 400]] => [9];
    wide_steps_of_two_runs_that_differ_are_doubted: [&[1, 2, 3, 4, 9], &[4, 7]] => [9, 7];
    no_id_comes_twice: [&[3, 3], &[3, 3]] => [3, 3];
    no_id_goes_back: [&[9, 4], &[9, 4]] => [4, 4];
    a_wide_step_among_few_equal_ones_is_accepted: [&[1, 2, 3, 900, 901, 902, 2000]] => [];
    a_wide_step_behind_varying_ones_is_accepted: [&[10, 19, 29, 38, 48, 58, 67, 77, 300]] => [];
}
