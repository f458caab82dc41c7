//! Tests of the text output of budgets.

use sequoiawing_budget::{AccountView, LenderView, Limits, Share};
use sequoiawing_ctl::{BudgetList, Report};
use sequoiawing_types::Name;

fn account(centre: &str, lent: u64, connected: bool, heard: Option<u64>) -> AccountView {
    AccountView {
        centre: Name::from(centre),
        connected,
        lent,
        share: Share::equal(2),
        heard,
    }
}

fn view(limits: Limits, balance: u64, lending: bool, centres: Vec<AccountView>) -> LenderView {
    LenderView {
        limits,
        balance,
        lending,
        centres,
    }
}

#[test]
fn budgets_of_a_customer_and_of_the_store() {
    let north = account("north", 120, true, Some(240));
    let south = account("south", 500, false, Some(12_340));
    let daily = view(Limits::tokens(200, 1_000), 380, true, vec![north, south]);
    let idle = account("north", 0, false, None);
    let slots = view(Limits::slots(4), 0, false, vec![idle]);
    let budgets = [("daily", daily), ("fleet:load-slots", slots)];
    let budgets = budgets.map(|(n, v)| (Name::from(n), v)).into();
    insta::assert_snapshot!(BudgetList { budgets }.text());
}
