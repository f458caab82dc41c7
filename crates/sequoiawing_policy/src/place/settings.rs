use sequoiawing_types::Name;
use std::time::Duration;

/// The limits and timeouts of a placer.
#[derive(Clone, Debug)]
pub struct PlaceSettings {
    /// The data centre that this placer manages. It only observes upstreams in
    /// others.
    pub centre: Name,
    /// The assumed time of a load of 4,096 MiB from the weight store, used
    /// until one has been observed.
    pub load_time: Duration,
    /// How long after it was sent an order is still accepted by its upstream.
    pub order_lifetime: Duration,
    /// The time after which an unanswered order is sent again.
    pub resend_after: Duration,
    /// The time after its last announcement when a missing upstream is presumed
    /// dead. Until then its replicas count.
    pub dead_after: Duration,
    /// The minimum time that a model stays loaded before it may be evicted.
    pub min_residency: Duration,
    /// How long a demand remains valid after it was last repeated.
    pub demand_lifetime: Duration,
    /// The data centre's share of the concurrent loads that the weight store
    /// serves at full speed.
    pub load_slots: u32,
    /// The concurrent loads that the weight store serves at full speed, for all
    /// data centres.
    pub store_slots: u32,
    /// The data centre's share of the load starts that the store allows, per
    /// second.
    pub load_rate: f64,
    /// The data centre's share of the concurrent adapter loads.
    pub adapter_slots: u32,
    /// The maximum number of adapters that one upstream keeps loaded.
    pub max_adapters: usize,
}

/// The size of a model whose load takes [`PlaceSettings::load_time`], in MiB.
pub(crate) const REFERENCE_MIB: u64 = 4_096;

impl Default for PlaceSettings {
    fn default() -> Self {
        Self {
            centre: Name::default(),
            load_time: Duration::from_secs(3),
            order_lifetime: Duration::from_secs(5),
            resend_after: Duration::from_secs(1),
            dead_after: Duration::from_secs(10),
            min_residency: Duration::from_secs(3),
            demand_lifetime: Duration::from_secs(1),
            load_slots: 2,
            store_slots: 4,
            load_rate: 2.5,
            adapter_slots: 10,
            max_adapters: 256,
        }
    }
}
