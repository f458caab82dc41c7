use sequoiawing_link::{Secret, Translation};
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// An initial voter of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Voter {
    /// The host name of the controller.
    pub host: Name,
    /// The address at which it listens for other processes.
    pub address: SocketAddr,
}

/// The settings of a controller.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ControllerSettings {
    /// The name of this host, unique in the deployment.
    pub host: Name,
    /// The data centre of this host.
    pub centre: Name,
    /// The listen address for other processes and operators.
    pub link: SocketAddr,
    /// The shared secret of all processes of the deployment.
    pub secret: String,
    /// The folder for the log, on a disk that does not lose synced writes.
    pub data: PathBuf,
    /// The internal listen address for scraping metrics. Metrics are disabled if
    /// unset.
    pub metrics: Option<SocketAddr>,
    /// The initial voters. The list must be the same, in the same order, on each of
    /// them; the first voter bootstraps the deployment once the disks of all of
    /// them are empty. If the list is empty, this controller is the only voter. A
    /// controller that is not in the list joins the deployment as a learner.
    pub voters: Vec<Voter>,
    /// Whether this controller may bootstrap the deployment. If `false`, a
    /// controller with an empty disk waits until the deployment admits it, whatever
    /// `voters` lists.
    pub bootstrap: bool,
    /// How long a voter may be unreachable before a learner that has caught up
    /// replaces it, in milliseconds. If unset, voters are not replaced
    /// automatically; operators replace them with `sequoiactl controllers`.
    pub replace: Option<u64>,
    /// The number of voters up to which learners that have caught up are promoted
    /// to voters; 0 disables automatic promotion. To tolerate the loss of `f`
    /// machines at once, set `2 * f + 1`.
    pub grow: usize,
    /// The addresses of other controllers that this host reaches under a different
    /// address, for example because of address translation between data centres.
    pub translations: Vec<Translation>,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            host: Name::from("host"),
            centre: Name::from("centre"),
            link: SocketAddr::from(([127, 0, 0, 1], 0)),
            secret: String::new(),
            data: PathBuf::from("data"),
            metrics: None,
            voters: Vec::new(),
            bootstrap: true,
            replace: None,
            grow: 0,
            translations: Vec::new(),
        }
    }
}

impl Check for ControllerSettings {
    fn check(&self, findings: &mut Findings) {
        if !self.host.is_valid() {
            findings.push("host", "must be a valid name");
        }
        if !self.centre.is_valid() {
            findings.push("centre", "must be a valid name");
        }
        if self.secret.len() < Secret::MIN_BYTES {
            let problem = format!("must be at least {} bytes", Secret::MIN_BYTES);
            findings.push("secret", problem);
        }
        self.check_voters(findings);
    }
}

impl ControllerSettings {
    fn check_voters(&self, findings: &mut Findings) {
        for (i, voter) in self.voters.iter().enumerate() {
            let place = format!("voters[{i}]");
            if !voter.host.is_valid() {
                findings.push(format!("{place}.host"), "must be a valid name");
            }
            let earlier = &self.voters[..i];
            if earlier.iter().any(|v| v.host == voter.host) {
                findings.push(format!("{place}.host"), "is used by more than one voter");
            }
            if earlier.iter().any(|v| v.address == voter.address) {
                findings.push(format!("{place}.address"), "is used by more than one voter");
            }
            if voter.host == self.host && voter.address != self.link {
                findings.push(
                    format!("{place}.address"),
                    "must be equal to \"link\" for this host",
                );
            }
        }
    }
}
