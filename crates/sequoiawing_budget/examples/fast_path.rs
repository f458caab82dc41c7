//! Measures the time and allocations of a request that the local credit covers.
//!
//! Run it with
//! `cargo run --release -p sequoiawing_budget --example fast_path`.

use sequoiawing_budget::{Admission, Refill, Reply, RouterBudget, Timing};
use sequoiawing_types::Time;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::{
    alloc::System,
    time::{Duration, Instant},
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The number of timed requests.
const REQUESTS: u32 = 2_000_000;

/// The number of requests per report to the cell leader, as at 10,000 requests
/// per second.
const REPORT: u32 = 100;

fn main() {
    let timing = Timing {
        lease: Duration::from_hours(1),
        ..Timing::default()
    };
    let now = Time::from_millis(1);
    let budget = RouterBudget::new(now, 1, Refill::PerSecond(0), timing);
    let mut admission = Admission::new(budget, Duration::from_millis(200));
    let mut stamp = 1;
    let mut granted = u64::from(u32::MAX);
    let mut reply = move |request: &sequoiawing_budget::BorrowRequest| {
        stamp += 1;
        granted += 1;
        Reply {
            lender_term: 1,
            invitation: 1,
            session: request.session,
            joined: request.invitation == 1,
            stamp: Time::from_millis(stamp),
            sent: request.sent,
            lease: timing.lease,
            granted,
            applied: request.entries.last().map_or(0, |e| e.id),
            ..Reply::default()
        }
    };
    for _ in 0..3 {
        let request = admission.borrow_request(now);
        admission.handle_reply(now, &reply(&request));
    }
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    for i in 0..REQUESTS {
        let decision = admission.request(now, u64::from(i), 100);
        let charge = decision
            .expect("the credit covers the request")
            .expect("the request is admitted");
        admission.settle(now, charge, 40);
        if i % REPORT == 0 {
            let request = admission.borrow_request(now);
            admission.handle_reply(now, &reply(&request));
        }
    }
    let elapsed = start.elapsed();
    let change = region.change();
    println!(
        "{} ns and {:.3} allocations for each request, with a report for every {REPORT}",
        elapsed.as_nanos() / u128::from(REQUESTS),
        f64::from(u32::try_from(change.allocations).unwrap_or(u32::MAX)) / f64::from(REQUESTS)
    );
}
