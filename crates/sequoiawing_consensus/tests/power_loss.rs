//! Losses of power and of the process at any operation, with fixed seeds.

#[path = "power_loss/disk.rs"]
mod disk;
#[path = "power_loss/workload.rs"]
mod workload;

use disk::Fault;
use workload::{finds_damage, run};

macro_rules! seeds {
    ($($name:ident: $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                if let Err(problem) = run(seed, Fault::None) {
                    panic!("seed {seed}: {problem}");
                }
            }
        }
    )*};
}

// Guard against controllers that do not start after a loss of power, or that start
// without what they had acknowledged.
seeds! {
    every_loss_of_power_leaves_a_folder_that_opens_1: 0..2_500;
    every_loss_of_power_leaves_a_folder_that_opens_2: 2_500..5_000;
    every_loss_of_power_leaves_a_folder_that_opens_3: 5_000..7_500;
    every_loss_of_power_leaves_a_folder_that_opens_4: 7_500..10_000;
}

macro_rules! planted_faults {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let found = (0..200).filter(|seed| run(*seed, $fault).is_err());
            assert!(found.count() > 0, "no run found that the disk does not sync");
        }
    )*};
}

planted_faults! {
    files_that_are_not_synced_are_found: Fault::FilesNotSynced;
    a_folder_that_is_not_synced_is_found: Fault::FolderNotSynced;
}

#[test]
fn a_changed_bit_of_what_was_synced_is_reported() {
    for seed in 0..2_000 {
        if let Err(problem) = finds_damage(seed) {
            panic!("seed {seed}: {problem}");
        }
    }
}
