//! Tests which late answers show that an upstream is busy.

use sequoiawing_policy::serving::LatenessMeter;
use sequoiawing_types::Name;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(400);

/// Records 50 answers with prompts of 100 and 900 tokens in turn, and then one.
fn is_late(tokens: u64, millis: u64) -> bool {
    let mut meter = LatenessMeter::default();
    let route = Name::from("r");
    for i in 0..50 {
        meter.record(&route, 100 + 800 * (i % 2), TARGET / 2, TARGET);
    }
    meter.record(&route, tokens, Duration::from_millis(millis), TARGET)
}

macro_rules! answers {
    ($($name:ident: $tokens:literal, $millis:literal => $late:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_late($tokens, $millis), $late);
        }
    )*};
}

// Guards against replicas for models whose prompts are long, and none for models
// whose engines are busy.
answers! {
    a_short_prompt_in_time: 100, 400 => false;
    a_short_prompt_late: 100, 401 => true;
    a_long_prompt_late: 900, 2_000 => false;
}
