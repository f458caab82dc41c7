use sequoiawing_link::Secret;
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host that runs a controller or a router.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// The name of the host.
    pub host: Name,
    /// The data centre that the host is in.
    pub centre: Name,
    /// The address at which its process accepts calls from operators.
    pub address: SocketAddr,
}

/// The addresses and the secret with which an operator reaches a deployment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Deployment {
    /// The secret shared by all processes of the deployment.
    pub secret: String,
    /// The controllers of the deployment.
    pub controllers: Vec<Host>,
    /// The routers of the deployment; routers that have joined need not be listed.
    pub routers: Vec<Host>,
}

impl Check for Deployment {
    fn check(&self, findings: &mut Findings) {
        if self.secret.len() < Secret::MIN_BYTES {
            let problem = format!("must be at least {} bytes", Secret::MIN_BYTES);
            findings.push("secret", problem);
        }
        if self.controllers.is_empty() {
            findings.push("controllers", "must name at least one controller");
        }
    }
}
