/// Divides the weight store's slots between data centres by demand.
///
/// A model of the fleet's load budget: a slot in use stays with its data
/// centre, and free slots are assigned round-robin to those with more demand.
#[derive(Clone, Debug)]
pub(crate) struct CreditAllocator {
    slots: u32,
    demand: Vec<u32>,
    granted: Vec<u32>,
    starts: Vec<u32>,
    next_centre: usize,
}

/// A data centre with its granted slots and its additional starts.
pub(crate) type Grant = (usize, u32, u32);

impl CreditAllocator {
    pub(crate) fn new(slots: u32, centres: usize) -> Self {
        Self {
            slots,
            demand: vec![0; centres],
            granted: vec![u32::MAX; centres],
            starts: vec![0; centres],
            next_centre: 0,
        }
    }

    pub(crate) fn set_demand(&mut self, centre: usize, loads: u32) {
        self.demand[centre] = loads;
    }

    /// Clears the grants of a data centre that was disconnected.
    pub(crate) fn reset(&mut self, centre: usize) {
        self.granted[centre] = u32::MAX;
        self.starts[centre] = 0;
    }

    /// Records that a data centre started a load from the store.
    pub(crate) fn record_start(&mut self, centre: usize) {
        self.starts[centre] = self.starts[centre].saturating_sub(1);
    }

    /// Reallocates the slots, given those in use, and returns the changed
    /// grants.
    pub(crate) fn allocate(&mut self, used: &[u32]) -> Vec<Grant> {
        let centres = used.len();
        let mut slots = used.to_vec();
        let mut free_slots = self.slots.saturating_sub(used.iter().sum());
        while free_slots > 0 {
            let next = (0..centres).map(|i| (self.next_centre + i) % centres);
            let next = next.into_iter().find(|c| slots[*c] < self.demand[*c]);
            let Some(centre) = next else {
                break;
            };
            slots[centre] += 1;
            free_slots -= 1;
            self.next_centre = centre + 1;
        }
        let mut grants = Vec::new();
        for (centre, slots) in slots.into_iter().enumerate() {
            let unused = slots.saturating_sub(used[centre]);
            let starts = unused.saturating_sub(self.starts[centre]);
            if self.granted[centre] != slots || starts > 0 {
                self.granted[centre] = slots;
                self.starts[centre] += starts;
                grants.push((centre, slots, starts));
            }
        }
        grants
    }
}
