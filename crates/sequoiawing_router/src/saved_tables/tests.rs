use super::{CHANGES_FILE, COMPACT_BYTES, SavedTables, TABLES_FILE};
use crate::RouterSettings;
use sequoiawing_tables::{Change, Command, Customer, Outcome, Tables, Update};
use sequoiawing_types::{Name, RequestId};
use std::{
    fs,
    path::{Path, PathBuf},
};

/// The data folder of a host, which is removed at the end of the test.
struct DataFolder(PathBuf);

impl DataFolder {
    fn new(test: &str) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("sequoiawing-{test}-{process}"));
        fs::create_dir_all(&folder).expect("the folder must be created");
        Self(folder)
    }

    fn open(&self) -> (SavedTables, Option<Tables>) {
        let mut saved = SavedTables::new(&RouterSettings {
            data: Some(self.0.clone()),
            ..RouterSettings::default()
        });
        let tables = saved.load();
        (saved, tables)
    }

    fn changes(&self) -> PathBuf {
        self.0.join(CHANGES_FILE)
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Applies a change to the tables and returns the update to the new revision.
fn change(tables: &mut Tables, name: &str) -> Update {
    let base = tables.revision;
    let customer = Customer {
        name: Name::from(name),
        ..Customer::default()
    };
    let outcome = tables.apply(Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![Change::PutCustomer(customer)],
    });
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    tables
        .update_from(base)
        .expect("the revision must be newer")
}

/// Saves a snapshot and `count` changes, and returns the tables after each save.
fn save(folder: &DataFolder, count: usize) -> Vec<Tables> {
    let (mut saved, _) = folder.open();
    let mut tables = Tables::default();
    change(&mut tables, "daily");
    saved.save(&tables, &Update::Full(Box::new(tables.clone())));
    let mut all = vec![tables.clone()];
    for i in 0..count {
        let update = change(&mut tables, &format!("customer-{i}"));
        saved.save(&tables, &update);
        all.push(tables.clone());
    }
    all
}

fn size(file: &Path) -> usize {
    fs::read(file).expect("the file must exist").len()
}

macro_rules! cases {
    ($($name:ident $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

cases! {
    changes_are_read_back {
        let folder = DataFolder::new("changes");
        let all = save(&folder, 5);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.published()), all.last().map(Tables::published));
    }

    a_truncated_log_loses_only_the_last_change {
        let folder = DataFolder::new("torn");
        let all = save(&folder, 2);
        let bytes = fs::read(folder.changes()).expect("the file must exist");
        let first = {
            let other = DataFolder::new("torn-first");
            save(&other, 1);
            size(&other.changes())
        };
        for end in first..bytes.len() {
            fs::write(folder.changes(), &bytes[..end]).expect("the file must be written");
            let (_, loaded) = folder.open();
            assert_eq!(loaded.map(|t| t.revision), Some(all[1].revision), "{end} bytes");
        }
    }

    a_change_after_a_truncated_record_is_read_back {
        let folder = DataFolder::new("append");
        let mut tables = save(&folder, 1).pop().expect("tables must be saved");
        let mut bytes = fs::read(folder.changes()).expect("the file must exist");
        bytes.extend([0, 0, 0, 9, 1]);
        fs::write(folder.changes(), bytes).expect("the file must be written");
        let (mut saved, _) = folder.open();
        let update = change(&mut tables, "later");
        saved.save(&tables, &update);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(tables.revision));
    }

    a_corrupt_byte_is_detected {
        let folder = DataFolder::new("flipped");
        let all = save(&folder, 1);
        let mut bytes = fs::read(folder.changes()).expect("the file must exist");
        let offset = bytes.windows(10).position(|w| w == b"customer-0").expect("the customer must be in the log");
        bytes[offset] = b'k';
        fs::write(folder.changes(), bytes).expect("the file must be written");
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(all[0].revision));
    }

    changes_of_earlier_tables_have_no_effect {
        let folder = DataFolder::new("former");
        let mut all = save(&folder, 3);
        let previous = fs::read(folder.changes()).expect("the file must exist");
        let (mut saved, _) = folder.open();
        let tables = all.pop().expect("tables must be saved");
        saved.save(&tables, &Update::Full(Box::new(tables.clone())));
        fs::write(folder.changes(), previous).expect("the file must be written");
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.published()), Some(tables.published()));
    }

    a_change_with_another_base_is_saved_as_a_snapshot {
        let folder = DataFolder::new("other");
        let mut tables = save(&folder, 1).pop().expect("tables must be saved");
        let (mut saved, _) = folder.open();
        change(&mut tables, "not-saved");
        let update = change(&mut tables, "saved");
        saved.save(&tables, &update);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(tables.revision));
    }

    a_large_change_log_is_replaced {
        let folder = DataFolder::new("large");
        let mut tables = save(&folder, 1).pop().expect("tables must be saved");
        let snapshot_size = size(&folder.0.join(TABLES_FILE));
        let (mut saved, _) = folder.open();
        saved.file_state.as_mut().expect("the state of the files must be known").size = COMPACT_BYTES;
        let update = change(&mut tables, "one-more");
        saved.save(&tables, &update);
        assert_eq!(size(&folder.changes()), 0);
        assert!(size(&folder.0.join(TABLES_FILE)) > snapshot_size);
    }
}
