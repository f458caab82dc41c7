//! Tests that copies of the tables share unmodified parts.

use sequoiawing_tables::{Change, Command, Outcome, Pool, Route, Tables};
use sequoiawing_types::{Name, RequestId};
use std::sync::Arc;

fn edit(tables: &mut Tables, change: Change) {
    let outcome = tables.apply(Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![change],
    });
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
}

fn tables() -> Tables {
    let mut tables = Tables::default();
    let pool = Pool {
        name: Name::from("captions"),
        ..Pool::default()
    };
    edit(&mut tables, Change::PutPool(pool));
    tables
}

fn route() -> Route {
    Route {
        name: Name::from("captions"),
        prefix: "/v1".to_owned(),
        pool: Name::from("captions"),
        ..Route::default()
    }
}

#[test]
fn copy_shares_unmodified_parts() {
    let before = tables();
    let mut after = before.clone();
    edit(&mut after, Change::PutRoute(route()));
    assert!(Arc::ptr_eq(&before.pools.to_arc(), &after.pools.to_arc()));
    assert!(Arc::ptr_eq(&before.keys.to_arc(), &after.keys.to_arc()));
    assert!(!Arc::ptr_eq(
        &before.routes.to_arc(),
        &after.routes.to_arc()
    ));
}

#[test]
fn change_of_copy_does_not_affect_original() {
    let before = tables();
    let mut after = before.clone();
    edit(&mut after, Change::PutRoute(route()));
    assert!(before.routes.is_empty());
    assert_eq!(after.routes.len(), 1);
}
