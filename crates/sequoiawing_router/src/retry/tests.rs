use super::{MAX_CREDIT, RETRY_COST, RetryBudget};
use sequoiawing_types::{Name, Time};

const MAX_RETRIES: u64 = MAX_CREDIT / RETRY_COST;

fn try_retry(budget: &mut RetryBudget, now: Time, customer: &str) -> bool {
    budget.try_retry(now, &Name::from(customer), &Name::from("pool"))
}

fn drain(budget: &mut RetryBudget, now: Time, customer: &str) -> u64 {
    (0..10 * MAX_RETRIES)
        .filter(|_| try_retry(budget, now, customer))
        .count() as u64
}

#[test]
fn retries_add_a_fifth_to_the_load_of_a_failing_pool() {
    let mut budget = RetryBudget::default();
    let now = Time::ZERO;
    drain(&mut budget, now, "daily");
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_attempt(now, &Name::from("daily"), &Name::from("pool"));
        retries += u64::from(try_retry(&mut budget, now, "daily"));
    }
    assert_eq!(retries, 200);
}

#[test]
fn the_initial_credit_covers_a_runner_that_fails_with_its_slots_in_use() {
    let mut budget = RetryBudget::default();
    assert_eq!(drain(&mut budget, Time::ZERO, "daily"), MAX_RETRIES);
}

#[test]
fn customers_do_not_share_credit() {
    let mut budget = RetryBudget::default();
    drain(&mut budget, Time::ZERO, "daily");
    assert!(!try_retry(&mut budget, Time::ZERO, "daily"));
    assert!(try_retry(&mut budget, Time::ZERO, "weekly"));
}

#[test]
fn credit_grows_by_one_retry_per_second() {
    let mut budget = RetryBudget::default();
    drain(&mut budget, Time::ZERO, "daily");
    assert!(!try_retry(&mut budget, Time::from_millis(999), "daily"));
    assert!(try_retry(&mut budget, Time::from_millis(1_000), "daily"));
}

#[test]
fn credit_is_limited() {
    let mut budget = RetryBudget::default();
    drain(&mut budget, Time::ZERO, "daily");
    let later = Time::from_millis(3_600_000);
    assert_eq!(drain(&mut budget, later, "daily"), MAX_RETRIES);
}

/// Guards against retries that each start of a router grants anew.
#[test]
fn restarted_routers_grant_no_more_than_one_that_runs() {
    let lifetime = Time::from_millis(2_000);
    let granted: u64 = (0..60)
        .map(|_| drain(&mut RetryBudget::default(), lifetime, "daily"))
        .sum();
    assert!(
        granted <= MAX_RETRIES + 120,
        "{granted} retries in two minutes"
    );
}
