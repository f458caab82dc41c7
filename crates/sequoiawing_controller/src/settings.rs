use sequoiawing_link::{Secret, Translation};
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// A controller that votes from the start.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Voter {
    /// Its host.
    pub host: Name,
    /// Where it takes the calls of other processes.
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
    /// Where other processes and operators connect.
    pub link: SocketAddr,
    /// The secret that all processes of the deployment share.
    pub secret: String,
    /// The folder for the log, on a disk that keeps what was synced.
    pub data: PathBuf,
    /// Where metrics are scraped, on an internal address; nowhere when none is
    /// given.
    pub metrics: Option<SocketAddr>,
    /// The first voters, the same list in the same order on each of them; the
    /// first one forms the deployment once all have empty disks. Empty means
    /// that this controller is the only voter. A controller that is not in the
    /// list joins the deployment as a learner.
    pub voters: Vec<Voter>,
    /// How long a voter may be away before a learner that has caught up takes
    /// its place, in milliseconds; never when none is given, and operators then
    /// seat controllers by `sequoiactl controllers`.
    pub replace: Option<u64>,
    /// The voters up to which learners that have caught up are given seats; 0
    /// where operators give them. Twice the machines that may be lost at once,
    /// and one.
    pub grow: usize,
    /// The addresses of other controllers that this host reaches under others,
    /// as behind address translation between data centres.
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
                findings.push(format!("{place}.host"), "stands twice");
            }
            if earlier.iter().any(|v| v.address == voter.address) {
                findings.push(format!("{place}.address"), "stands twice");
            }
            if voter.host == self.host && voter.address != self.link {
                findings.push(format!("{place}.address"), "differs from \"link\"");
            }
        }
    }
}
