//! Quarantine of prompt parts that crash every engine that answers on them.
//!
//! See [docs/design/quarantine.md](../../../../../docs/design/quarantine.md).

mod crashed_answer;
mod decision;
mod detector;
mod evidence;
mod gate;
mod quarantined_part;
mod recent_successes;
mod settings;
mod table;

pub use crashed_answer::CrashedAnswer;
pub use decision::QuarantineDecision;
pub use detector::PoisonDetector;
pub use gate::Quarantine;
pub use quarantined_part::QuarantinedPart;
pub use recent_successes::RecentSuccesses;
pub use settings::QuarantineSettings;
