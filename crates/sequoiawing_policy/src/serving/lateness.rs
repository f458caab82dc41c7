use sequoiawing_types::Name;
use std::{collections::HashMap, time::Duration};

/// The weight of the newest prompt in the moving average of their lengths.
const PROMPT_WEIGHT: f64 = 0.05;

/// Distinguishes answers that come late because their upstream is busy from those that come
/// late because their prompts are long.
///
/// A prompt no longer than the average of its route is read in time by an upstream
/// with little else to do, or else the route's target could not be kept at all.
#[derive(Debug, Default)]
pub struct LatenessMeter {
    /// The moving average of the prompt tokens to be read, by route.
    mean_tokens: HashMap<Name, f64>,
}

impl LatenessMeter {
    /// Records an answer that began `elapsed` after its request was sent, with `tokens`
    /// of its prompt to be read. Returns whether it was late for the upstream's load.
    pub fn record(
        &mut self,
        route: &Name,
        tokens: u64,
        elapsed: Duration,
        target: Duration,
    ) -> bool {
        #[expect(
            clippy::cast_precision_loss,
            reason = "prompts are far below 2^52 tokens"
        )]
        let tokens = tokens as f64;
        let mean = match self.mean_tokens.get_mut(route) {
            Some(mean) => mean,
            None => self.mean_tokens.entry(route.clone()).or_insert(tokens),
        };
        *mean += (tokens - *mean) * PROMPT_WEIGHT;
        elapsed > target && tokens <= *mean
    }
}
