//! The faults of a run depend only on its seed and size.

use soak::{Size, plan};

const SIZE: Size = Size {
    controllers: 3,
    gateways: 5,
    runners: 6,
    length: 50_000,
    is_brittle: false,
    has_backoffs: false,
    has_departures: false,
    has_sparse_ids: false,
};

#[test]
fn a_seed_draws_the_same_faults_again() {
    for seed in 0..50 {
        let steps = plan(seed, &SIZE);
        assert_eq!(steps, plan(seed, &SIZE));
        assert!(!steps.is_empty());
        assert!(steps.iter().all(|s| s.at < SIZE.length));
    }
}

#[test]
fn seeds_draw_different_faults() {
    assert_ne!(plan(1, &SIZE), plan(2, &SIZE));
}
