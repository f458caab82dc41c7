use super::{CHANGES_FILE, COMPACT_BYTES, SavedTables, TABLES_FILE};
use crate::RouterSettings;
use sequoiawing_tables::{Change, Command, Customer, Outcome, Tables, Update};
use sequoiawing_types::{Name, RequestId};
use std::{
    fs,
    path::{Path, PathBuf},
};

/// A host's folder, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("sequoiawing-{test}-{process}"));
        fs::create_dir_all(&folder).expect("it is made");
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

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Makes one more revision, and returns what leads a follower to it.
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
    tables.update_from(base).expect("it is newer")
}

/// Saves whole tables and `count` changes, and returns the tables after each.
fn save(folder: &Folder, count: usize) -> Vec<Tables> {
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
    fs::read(file).expect("it is there").len()
}

macro_rules! cases {
    ($($name:ident $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

cases! {
    changes_are_read_back {
        let folder = Folder::new("changes");
        let all = save(&folder, 5);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.published()), all.last().map(Tables::published));
    }

    an_end_torn_anywhere_costs_the_last_change_alone {
        let folder = Folder::new("torn");
        let all = save(&folder, 2);
        let bytes = fs::read(folder.changes()).expect("it is there");
        let first = {
            let other = Folder::new("torn-first");
            save(&other, 1);
            size(&other.changes())
        };
        for end in first..bytes.len() {
            fs::write(folder.changes(), &bytes[..end]).expect("it is written");
            let (_, loaded) = folder.open();
            assert_eq!(loaded.map(|t| t.revision), Some(all[1].revision), "{end} bytes");
        }
    }

    a_change_after_a_torn_end_is_read_back {
        let folder = Folder::new("append");
        let mut tables = save(&folder, 1).pop().expect("it was saved");
        let mut bytes = fs::read(folder.changes()).expect("it is there");
        bytes.extend([0, 0, 0, 9, 1]);
        fs::write(folder.changes(), bytes).expect("it is written");
        let (mut saved, _) = folder.open();
        let update = change(&mut tables, "later");
        saved.save(&tables, &update);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(tables.revision));
    }

    a_changed_byte_is_noticed {
        let folder = Folder::new("flipped");
        let all = save(&folder, 1);
        let mut bytes = fs::read(folder.changes()).expect("it is there");
        let place = bytes.windows(10).position(|w| w == b"customer-0").expect("it is named");
        bytes[place] = b'k';
        fs::write(folder.changes(), bytes).expect("it is written");
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(all[0].revision));
    }

    changes_of_former_tables_change_nothing {
        let folder = Folder::new("former");
        let mut all = save(&folder, 3);
        let former = fs::read(folder.changes()).expect("it is there");
        let (mut saved, _) = folder.open();
        let tables = all.pop().expect("it was saved");
        saved.save(&tables, &Update::Full(Box::new(tables.clone())));
        fs::write(folder.changes(), former).expect("it is written");
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.published()), Some(tables.published()));
    }

    a_change_of_other_tables_than_those_saved_is_saved_whole {
        let folder = Folder::new("other");
        let mut tables = save(&folder, 1).pop().expect("it was saved");
        let (mut saved, _) = folder.open();
        change(&mut tables, "not-saved");
        let update = change(&mut tables, "saved");
        saved.save(&tables, &update);
        let (_, loaded) = folder.open();
        assert_eq!(loaded.map(|t| t.revision), Some(tables.revision));
    }

    a_large_file_of_changes_is_replaced {
        let folder = Folder::new("large");
        let mut tables = save(&folder, 1).pop().expect("it was saved");
        let whole = size(&folder.0.join(TABLES_FILE));
        let (mut saved, _) = folder.open();
        saved.saved.as_mut().expect("it is known").size = COMPACT_BYTES;
        let update = change(&mut tables, "one-more");
        saved.save(&tables, &update);
        assert_eq!(size(&folder.changes()), 0);
        assert!(size(&folder.0.join(TABLES_FILE)) > whole);
    }
}
