use super::RouterState;
use crate::RouterSettings;
use sequoiawing_tables::KeyId;
use std::{sync::Arc, thread};

/// The number of keys that each thread withdraws.
const KEYS: usize = 200;

#[test]
fn concurrent_withdrawals_are_all_kept() {
    let state = Arc::new(RouterState::new(RouterSettings::default()));
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let state = state.clone();
            thread::spawn(move || {
                for i in 0..KEYS {
                    let key = KeyId::from(format!("{thread}-{i}").as_str());
                    state.withdraw_keys(std::iter::once(key));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the thread must not panic");
    }
    assert_eq!(state.withdrawn.get().len(), 4 * KEYS);
}
