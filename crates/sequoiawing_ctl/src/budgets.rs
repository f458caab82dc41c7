use crate::{CtlError, OperatorClient, Report, report::format_table};
use sequoiawing_budget::{AccountView, LenderView, Refill, Share};
use sequoiawing_types::Name;
use serde::Serialize;
use std::collections::BTreeMap;

/// The budgets of customers and of the weight store, as their lender reports them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetList {
    /// The budgets by name; names of the weight store's budgets begin with `fleet:`.
    pub budgets: BTreeMap<Name, LenderView>,
}

/// Fetches the budgets from the leading controller.
pub(crate) async fn list(operator: &OperatorClient) -> Result<BudgetList, CtlError> {
    let replies = operator
        .call_controllers(|client, context| async move { client.budgets(context).await })
        .await;
    let mut last = CtlError::NoController;
    for reply in replies {
        match reply {
            Ok(Some(budgets)) => return Ok(BudgetList { budgets }),
            Ok(None) => {}
            Err(error) => last = CtlError::Unreachable(error),
        }
    }
    Err(last)
}

impl Report for BudgetList {
    fn text(&self) -> String {
        let header = [
            "BUDGET", "RATE", "BURST", "BALANCE", "CENTRE", "LENT", "SHARE", "HEARD",
        ];
        let rows = self.budgets.iter().flat_map(|(name, view)| {
            let total = std::iter::once(total_row(name, view));
            total.chain(view.centres.iter().map(centre_row))
        });
        format_table(header, rows)
    }
}

fn total_row(name: &Name, view: &LenderView) -> Vec<String> {
    let rate = match view.limits.refill {
        Refill::PerSecond(rate) => format!("{rate}/s"),
        Refill::OnReturn => "slots".to_owned(),
    };
    let note = if view.lending {
        ""
    } else {
        "waits for former leases"
    };
    let balance = view.balance.to_string();
    let burst = view.limits.burst.to_string();
    vec![name.to_string(), rate, burst, balance, note.to_owned()]
}

fn centre_row(account: &AccountView) -> Vec<String> {
    let heard = match account.heard {
        None => "never".to_owned(),
        Some(millis) => format!("{}.{} s ago", millis / 1_000, millis % 1_000 / 100),
    };
    let state = if account.connected { "" } else { ", apart" };
    let mut row = vec![String::new(); 4];
    row.extend([
        account.centre.to_string(),
        account.lent.to_string(),
        format_percent(account.share),
        format!("{heard}{state}"),
    ]);
    row
}

fn format_percent(share: Share) -> String {
    let tenths = share.millionths() / 1_000;
    format!("{}.{} %", tenths / 10, tenths % 10)
}
