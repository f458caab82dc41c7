//! Guards against an owner that reserves shares for data centres that have
//! never sent a request.

use sequoiawing_budget::{BorrowRequest, Lender, Limits, Share, Timing};
use sequoiawing_types::{Name, Time};

#[test]
fn a_data_centre_that_sent_no_request_reserves_nothing() {
    let limits = Limits::tokens(1_000, 4_000);
    let start = Time::from_millis(1);
    let mut lender = Lender::owner(start, 1, limits, Timing::default(), None);
    let names = [Name::from("east"), Name::from("west")];
    let shares = names.clone().map(|n| (n, Share::equal(2)));
    lender.set_shares(start, shares);
    let watermark = lender.propose(start).expect("the term is new");
    lender.commit(start, &watermark);
    let later = Time::from_millis(60_000);
    lender.tick(later);
    assert_eq!(lender.balance(), 4_000);
    let request = BorrowRequest {
        session: 1 << 20,
        ..BorrowRequest::default()
    };
    lender.handle(later, &names[0], &request);
    lender.tick(later);
    assert_eq!(lender.balance(), 4_000);
}
