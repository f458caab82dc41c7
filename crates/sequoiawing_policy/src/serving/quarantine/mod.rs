//! Quarantine of what crashes every upstream that it is sent to.
//!
//! See [docs/design/quarantine.md](../../../../../docs/design/quarantine.md).

mod crashed_answer;
mod decision;
mod detector;
mod evidence;
mod gate;
mod quarantined_cause;
mod recent_successes;
mod settings;
mod suspect;
mod table;

pub use crashed_answer::CrashedAnswer;
pub use decision::QuarantineDecision;
pub use detector::PoisonDetector;
pub use gate::Quarantine;
pub use quarantined_cause::QuarantinedCause;
pub use recent_successes::RecentSuccesses;
pub use settings::QuarantineSettings;

use super::PromptPart;
use sequoiawing_types::CrashCause;

/// Returns the parts of a prompt that may be the cause of crashes: all but the last,
/// which belongs to the request itself.
pub fn shared_causes(parts: &[PromptPart]) -> impl Iterator<Item = CrashCause> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| CrashCause::part(part.id))
}
