use crate::{CtlError, Deployment, Host};
use futures::future::join_all;
use sequoiawing_consensus::MemberChange;
use sequoiawing_link::{
    Context, ControlClient, ControlError, LinkError, PeerClient, RpcError, Secret, Stub,
};
use sequoiawing_runtime::sleep;
use sequoiawing_tables::{Change, Command, Outcome, Revision, Tables};
use sequoiawing_types::RequestId;
use std::{collections::BTreeMap, future::Future, net::SocketAddr, time::Duration};

/// The timeout of one call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of times that all controllers are tried before a command fails.
const MAX_ROUNDS: u32 = 5;

/// The delay before all controllers are tried again.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// The result of a call to another process.
pub(crate) type CallResult<T> = Result<T, LinkError>;

/// A client through which an operator manages a deployment.
#[derive(Debug)]
pub struct OperatorClient {
    pub(crate) deployment: Deployment,
    secret: Secret,
    request_id: Option<RequestId>,
}

impl OperatorClient {
    /// Creates a client that connects on the first call.
    pub fn new(deployment: Deployment) -> Self {
        let secret = Secret::from(deployment.secret.as_str());
        Self {
            deployment,
            secret,
            request_id: None,
        }
    }

    /// Sets the request ID of the next change, so that an operator can send a
    /// change again whose reply was lost.
    #[must_use]
    pub fn with_request_id(mut self, request_id: Option<RequestId>) -> Self {
        self.request_id = request_id;
        self
    }

    /// Returns whether the next change may be a resend.
    pub(crate) fn has_request_id(&self) -> bool {
        self.request_id.is_some()
    }

    /// Returns stubs for the controllers in the deployment file.
    pub(crate) fn controller_stubs(&self) -> Vec<Stub<ControlClient>> {
        let hosts = self.deployment.controllers.iter();
        hosts.map(|h| self.controller_stub(h.address)).collect()
    }

    fn controller_stub(&self, address: SocketAddr) -> Stub<ControlClient> {
        Stub::new(address, self.secret.clone())
    }

    /// Returns the routers in the deployment file and those that have joined on
    /// their own. For a router in both, the address in the tables is newer.
    pub(crate) fn routers(&self, tables: Option<&Tables>) -> Vec<Host> {
        let configured = self.deployment.routers.iter().cloned();
        let mut routers: BTreeMap<_, Host> = configured.map(|h| (h.host.clone(), h)).collect();
        for joined in tables.into_iter().flat_map(|t| t.hosts.values()) {
            let host = Host {
                host: joined.host.clone(),
                centre: joined.centre.clone(),
                address: joined.address,
            };
            routers.insert(host.host.clone(), host);
        }
        routers.into_values().collect()
    }

    /// Calls the routers concurrently and returns the results in their order.
    pub(crate) async fn call_routers<F, R, T>(&self, routers: &[Host], rpc: F) -> Vec<CallResult<T>>
    where
        F: Fn(PeerClient, Context) -> R + Clone + Send,
        R: Future<Output = Result<T, RpcError>> + Send,
        T: Send,
    {
        let calls = routers.iter().map(|h| {
            let stub: Stub<PeerClient> = Stub::new(h.address, self.secret.clone());
            let rpc = rpc.clone();
            async move { stub.call(CALL_TIMEOUT, rpc).await }
        });
        join_all(calls).await
    }

    /// Calls all controllers concurrently and returns the results in the order of the
    /// deployment file.
    pub(crate) async fn call_controllers<F, R, T>(&self, rpc: F) -> Vec<CallResult<T>>
    where
        F: Fn(ControlClient, Context) -> R + Clone + Send,
        R: Future<Output = Result<T, RpcError>> + Send,
        T: Send,
    {
        let calls = self.controller_stubs().into_iter().map(|stub| {
            let rpc = rpc.clone();
            async move { stub.call(CALL_TIMEOUT, rpc).await }
        });
        join_all(calls).await
    }

    /// Reads the current tables from the leader.
    ///
    /// # Errors
    ///
    /// Returns an error if no controller can serve the read.
    pub async fn read(&self) -> Result<Tables, CtlError> {
        self.call_leader(|client, context| async move { client.read(context).await })
            .await
    }

    /// Calls every controller once and returns the newest tables among the replies,
    /// so that a deployment that may not have a leader can be inspected.
    pub(crate) async fn read_any(&self) -> Option<Tables> {
        let answers = self
            .call_controllers(|client, context| async move { client.read(context).await })
            .await;
        let tables = answers.into_iter().filter_map(|a| a.ok()?.ok());
        tables.max_by_key(|t| t.revision)
    }

    /// Commits changes that are based on the revision `base`, or on the current
    /// revision if it is `None`, and returns the new revision.
    ///
    /// All resends carry the same request ID, so the changes are made only once.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes conflict with another edit, are invalid, or
    /// cannot be committed.
    pub async fn edit(
        &self,
        base: Option<Revision>,
        changes: Vec<Change>,
    ) -> Result<Revision, CtlError> {
        let request = self.request_id.clone().unwrap_or_else(RequestId::random);
        let command = Command::Edit {
            request: request.clone(),
            base,
            changes,
        };
        match self.propose(&command).await {
            Ok(Outcome::Accepted(revision)) => Ok(revision),
            Ok(Outcome::Conflict { base, current }) => Err(CtlError::Conflict { base, current }),
            Ok(Outcome::Invalid(findings)) => Err(CtlError::Invalid(findings)),
            Ok(other) => Err(CtlError::Unexpected(format!("{other:?}"))),
            Err(error) if error.is_uncertain() => Err(CtlError::Uncertain {
                request,
                cause: error.to_string(),
            }),
            Err(error) => Err(error),
        }
    }

    /// Proposes a command to the leader and returns its outcome once it is committed.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Outcome, CtlError> {
        self.call_leader(|client, context| {
            let command = command.clone();
            async move { client.propose(context, command).await }
        })
        .await
    }

    /// Proposes a change of the controllers' membership to the leader.
    pub(crate) async fn change_members(&self, change: MemberChange) -> Result<(), CtlError> {
        self.call_leader(|client, context| {
            let change = change.clone();
            async move { client.change_members(context, change).await }
        })
        .await
    }

    /// Calls one controller after the other until one of them executes the call.
    ///
    /// When a controller names the leader, the leader is called next.
    async fn call_leader<F, R, T>(&self, rpc: F) -> Result<T, CtlError>
    where
        F: Fn(ControlClient, Context) -> R + Clone + Send,
        R: Future<Output = Result<Result<T, ControlError>, RpcError>> + Send,
        T: Send,
    {
        let mut last = CtlError::NoController;
        for _ in 0..MAX_ROUNDS {
            let mut leader_address = None;
            for stub in self.controller_stubs() {
                let stub = leader_address
                    .take()
                    .map_or(stub, |leader| self.controller_stub(leader));
                match stub.call(CALL_TIMEOUT, rpc.clone()).await {
                    Ok(Ok(value)) => return Ok(value),
                    Ok(Err(error)) => {
                        if let ControlError::NotLeader { leader } = &error {
                            leader_address = *leader;
                        }
                        last = last.or_later(CtlError::Refused(error));
                    }
                    Err(error) => last = last.or_later(CtlError::Unreachable(error)),
                }
            }
            if let Some(leader) = leader_address
                && let Ok(Ok(value)) = self
                    .controller_stub(leader)
                    .call(CALL_TIMEOUT, rpc.clone())
                    .await
            {
                return Ok(value);
            }
            sleep(ROUND_DELAY).await;
        }
        Err(last)
    }
}
