//! The configuration in the tables, and in those that earlier builds stored.

use sequoiawing_catalog::{Catalog, Document};
use sequoiawing_tables::{Command, Outcome, Tables};
use std::sync::Arc;

fn version(tables: &Tables) -> Option<u64> {
    tables.catalog().map(|catalog| catalog.version)
}

fn replace(tables: &mut Tables, version: u64, text: &str) {
    let catalog = Catalog {
        version,
        ..Catalog::default()
    };
    let document = Document {
        catalog: Arc::new(catalog),
        text: Arc::from(text),
    };
    let outcome = tables.apply(Command::Replace(document));
    assert!(matches!(outcome, Outcome::Replaced(_)), "{outcome:?}");
}

// Guards against a first configuration of version zero that is taken for none after a restart
// (review/15).
#[test]
fn a_first_configuration_of_version_zero_is_kept() {
    let mut tables = Tables::default();
    assert_eq!((version(&tables), tables.document()), (None, None));
    replace(&mut tables, 0, "first");
    replace(&mut tables, 0, "other");
    let stored = serde_json::to_string(&tables).expect("serializable tables");
    let mut read: Tables = serde_json::from_str(&stored).expect("readable tables");
    assert_eq!(version(&read), Some(0));
    assert_eq!(version(&read.published()), Some(0));
    let document = read.document().expect("a document");
    assert_eq!(document.text.as_ref(), "first");
    replace(&mut read, 1, "next");
    assert_eq!(version(&read), Some(1));
}

macro_rules! earlier_builds {
    ($($name:ident: $stored:expr => $version:expr;)*) => {$(
        // Guards against tables of an earlier build that lose or invent a configuration.
        #[test]
        fn $name() {
            let tables: Tables = serde_json::from_str($stored).expect("readable tables");
            assert_eq!(version(&tables), $version);
        }
    )*};
}

earlier_builds! {
    tables_without_a_configuration: r#"{"revision":3,"catalog":{"version":0}}"# => None;
    tables_with_a_configuration: r#"{"revision":3,"catalog":{"version":7},"text":"x"}"# => Some(7);
}
