use crate::{ControllerHandle, budgets::Budgets};
use sequoiawing_budget::LenderView;
use sequoiawing_consensus::{Envelope, MemberChange};
use sequoiawing_link::{
    BudgetBatch, BudgetReplies, Context, Control, ControlError, ControlStatus, FollowReply,
    FollowRequest,
};
use sequoiawing_tables::{Command, Outcome, Tables};
use sequoiawing_types::Name;
use std::{collections::BTreeMap, time::Duration};

/// Serves the RPCs of routers, operators and other controllers.
#[derive(Clone)]
pub(crate) struct ControlService {
    pub(crate) handle: ControllerHandle,
    pub(crate) budgets: Budgets,
}

impl Control for ControlService {
    async fn propose(self, _: Context, command: Command) -> Result<Outcome, ControlError> {
        self.handle.propose(&command).await
    }

    async fn follow(self, _: Context, question: FollowRequest) -> FollowReply {
        let wait = Duration::from_millis(question.wait);
        self.handle.wait_for_newer(question.revision, wait).await;
        let tables = self.handle.tables();
        FollowReply {
            revision: tables.revision,
            update: tables.update_from(question.revision),
            age: u64::try_from(self.handle.age().as_millis()).unwrap_or(u64::MAX),
        }
    }

    async fn read(self, _: Context) -> Result<Tables, ControlError> {
        self.handle.read().await
    }

    async fn change_members(self, _: Context, change: MemberChange) -> Result<(), ControlError> {
        self.handle.change_members(change).await
    }

    async fn deliver(self, _: Context, messages: Vec<Envelope>) {
        self.handle.deliver(messages).await;
    }

    async fn lend(self, _: Context, batch: BudgetBatch) -> BudgetReplies {
        self.budgets.lend(batch).await
    }

    async fn recalled(self, _: Context, borrower: Name, wait: u64) -> Vec<Name> {
        let wait = Duration::from_millis(wait);
        self.budgets.recalled(&borrower, wait).await
    }

    async fn status(self, _: Context) -> ControlStatus {
        self.handle.status()
    }

    async fn budgets(self, _: Context) -> Option<BTreeMap<Name, LenderView>> {
        self.budgets.view()
    }

    async fn dump(self, _: Context) -> String {
        let mut tables = Tables::clone(&self.handle.tables());
        tables.keys.clear();
        let status = self.handle.status();
        serde_json::json!({ "status": status, "tables": tables, "budgets": self.budgets.dump() })
            .to_string()
    }
}
