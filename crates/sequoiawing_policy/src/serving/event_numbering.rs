use std::collections::VecDeque;

/// The most doubted steps that are kept; above it, the oldest are dropped. More streams than
/// this seldom break off at once at one host.
const MAX_DOUBTED: usize = 64;

/// How far apart the IDs of events lie, as far as is known.
///
/// The IDs of a stream increase, by steps that only its upstream knows. A wider step than those
/// before shows that an event is missing or that the upstream numbers so. It is doubted where
/// enough equal steps have shown what to expect, and accepted once a second run of the stream
/// takes the same step. See [docs/design/event-ids.md](../../../../docs/design/event-ids.md).
#[derive(Clone, Debug)]
pub struct EventNumbering {
    /// The number of equal steps behind which a wider one is doubted.
    required: u32,
    /// The width of the last step within a run.
    width: u64,
    /// The number of last steps that had this width.
    equal: u32,
    /// The steps that one run has taken, each from an ID to the next.
    doubted: VecDeque<(u64, u64)>,
    /// Whether two runs took a step that had been doubted, so that steps tell nothing.
    is_irregular: bool,
}

impl EventNumbering {
    /// Creates a numbering that doubts a step if `required` narrower ones, all of the same
    /// width, were the last.
    pub fn new(required: u32) -> Self {
        Self {
            required,
            width: 0,
            equal: 0,
            doubted: VecDeque::new(),
            is_irregular: false,
        }
    }

    /// Returns whether the event `id` may be passed on behind the event `last`.
    pub fn accepts(&mut self, last: u64, id: u64) -> bool {
        if id <= last {
            return false;
        }
        let is_known = id - last <= self.width || self.equal < self.required;
        if is_known || self.is_irregular {
            return true;
        }
        if self.doubted.contains(&(last, id)) {
            self.is_irregular = true;
            self.doubted.clear();
            return true;
        }
        if self.doubted.len() == MAX_DOUBTED {
            self.doubted.pop_front();
        }
        self.doubted.push_back((last, id));
        false
    }

    /// Learns the step between two events of one run. That between two runs tells nothing:
    /// callers name the ID behind which a stream is taken up.
    pub fn learn(&mut self, last: u64, id: u64) {
        let step = id.saturating_sub(last);
        if step != self.width {
            self.width = step;
            self.equal = 0;
        }
        self.equal = self.equal.saturating_add(1);
    }
}
