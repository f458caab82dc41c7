use super::replay;
use crate::Code;
use sequoiawing_tables::{Claim, ClaimState};
use sequoiawing_types::Ran;

fn existing_claim(state: ClaimState) -> Claim {
    Claim {
        attempt: "attempt".to_owned(),
        digest: "digest".to_owned(),
        state,
        until: 100,
        expiry: 1_000,
    }
}

fn refusal(state: ClaimState, digest: &str, now: u64) -> (Code, Ran, bool) {
    let refused = replay(existing_claim(state), digest, now)
        .expect_err("the repeated call should be refused");
    (refused.code, refused.ran, refused.retry_after.is_some())
}

macro_rules! cases {
    ($($name:ident: $state:expr, $digest:expr, $now:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(refusal($state, $digest, $now), $expected);
            }
        )*
    };
}

cases! {
    a_different_request_with_the_same_key_did_not_run:
        ClaimState::Open, "other", 50 => (Code::KeyReused, Ran::No, false);
    an_open_call_is_in_progress:
        ClaimState::Open, "digest", 99 => (Code::InProgress, Ran::Unknown, true);
    an_open_call_of_a_dead_host_is_unknown:
        ClaimState::Open, "digest", 100 => (Code::OutcomeUnknown, Ran::Unknown, false);
    a_call_with_an_unknown_end_is_unknown:
        ClaimState::Ended(Ran::Unknown), "digest", 50
            => (Code::OutcomeUnknown, Ran::Unknown, false);
    a_call_with_a_large_response_ran:
        ClaimState::Ended(Ran::Yes), "digest", 50 => (Code::AnswerNotKept, Ran::Yes, false);
}
