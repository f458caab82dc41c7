use crate::{Outcome, Revision, Tables};
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of data centres that are evacuated at once; a deployment has
/// fewer data centres in all.
pub const MAX_EVACUATED: usize = 64;

/// The maximum length of the name of a data centre, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The data centres whose upstreams must receive no requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Evacuations {
    /// Incremented by each change of the set.
    pub revision: u64,
    /// The evacuated data centres.
    pub centres: BTreeSet<Name>,
    /// The data centres that were taken back last, with the revision of the take-back. A
    /// host that missed an evacuation and its end learns from it that upstreams may have
    /// been restarted.
    pub finished: BTreeMap<Name, u64>,
}

impl Evacuations {
    /// Checks the name of a data centre. Upstreams announce their data centres in any
    /// characters, so that only names that cannot be logged are invalid.
    ///
    /// # Errors
    ///
    /// Returns the finding if the name is invalid.
    pub fn check_name(centre: &Name) -> Result<(), Findings> {
        let text = centre.as_str();
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len());
        let mut findings = Findings::default();
        if !is_valid || text.chars().any(char::is_control) {
            let problem = format!("must be 1 to {MAX_NAME_BYTES} bytes without control characters");
            findings.push("centre", problem);
        }
        findings.into_result()
    }

    /// Begins or ends the evacuation of a data centre; returns whether that changed the set.
    fn set(&mut self, centre: Name, is_begun: bool) -> Result<bool, Findings> {
        Self::check_name(&centre)?;
        if self.centres.contains(&centre) == is_begun {
            return Ok(false);
        }
        if is_begun && self.centres.len() >= MAX_EVACUATED {
            let mut findings = Findings::default();
            let problem = format!("{MAX_EVACUATED} data centres are evacuated already");
            findings.push("centre", problem);
            return Err(findings);
        }
        self.revision += 1;
        if is_begun {
            self.finished.remove(&centre);
            self.centres.insert(centre);
        } else {
            self.centres.remove(&centre);
            self.finished.insert(centre, self.revision);
            self.drop_oldest();
        }
        Ok(true)
    }

    /// Bounds the size of the record of take-backs.
    fn drop_oldest(&mut self) {
        if self.finished.len() <= MAX_EVACUATED {
            return;
        }
        let oldest = self.finished.iter().min_by_key(|(_, revision)| **revision);
        if let Some(oldest) = oldest.map(|(centre, _)| centre.clone()) {
            self.finished.remove(&oldest);
        }
    }
}

impl Tables {
    /// Begins or ends the evacuation of a data centre.
    pub(crate) fn evacuate(&mut self, centre: Name, is_begun: bool) -> Outcome {
        match self.evacuations.set(centre, is_begun) {
            Err(findings) => return Outcome::Invalid(findings),
            Ok(false) => {}
            Ok(true) => {
                self.revision = Revision(self.revision.0 + 1);
                // Followers receive the full tables, in which an older build ignores the
                // set. It could not decode a change of it.
                self.clear_recent();
            }
        }
        Outcome::Evacuated(self.evacuations.revision)
    }
}
