use super::{EventRoom, SMALL_EVENT_BYTES};
use sequoiawing_http::{BodyBudget, BudgetLimits};

/// Room for four large events beside small bodies.
const LIMITS: BudgetLimits = BudgetLimits {
    total: 10 * SMALL_EVENT_BYTES,
    reserve: 2 * SMALL_EVENT_BYTES,
    small: SMALL_EVENT_BYTES,
};

// Guards against large events of many streams that together have no bound.
#[test]
fn large_events_share_the_budget() {
    let budget = BodyBudget::new(LIMITS);
    let mut rooms: Vec<EventRoom> = (0..5).map(|_| EventRoom::new(budget.clone())).collect();
    for room in &mut rooms[..4] {
        room.fit(SMALL_EVENT_BYTES + 1).expect("there is room");
        room.fit(2 * SMALL_EVENT_BYTES).expect("there is room");
    }
    assert_eq!(budget.counts().held, 8 * SMALL_EVENT_BYTES);
    rooms[4]
        .fit(SMALL_EVENT_BYTES)
        .expect("a small event needs none");
    assert!(rooms[4].fit(SMALL_EVENT_BYTES + 1).is_err());
    // An event that was passed on gives its room back.
    rooms[0].release();
    rooms[4].fit(2 * SMALL_EVENT_BYTES).expect("there is room");
    drop(rooms);
    assert_eq!(budget.counts().held, 0);
}
