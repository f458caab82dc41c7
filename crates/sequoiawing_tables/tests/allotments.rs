//! Tests that the sum of the allotments is bounded and that outdated commands
//! are ignored.

use sequoiawing_tables::{Change, Command, Model, Outcome, Pool, RouterHost, Tables};
use sequoiawing_types::{Name, RequestId};
use std::net::{Ipv4Addr, SocketAddr};

/// Returns tables with a model that is limited to two replicas.
fn tables() -> Tables {
    let model = Model {
        name: Name::from("caption"),
        replicas: 2,
        ..Model::default()
    };
    let pool = Pool {
        name: Name::from("captions"),
        models: vec![model],
        ..Pool::default()
    };
    let mut tables = Tables::default();
    let accepted = tables.apply(Command::Edit {
        request: RequestId::from("set-up"),
        base: None,
        changes: vec![Change::PutPool(pool)],
    });
    assert!(matches!(accepted, Outcome::Accepted(_)), "{accepted:?}");
    tables
}

fn allot(tables: &mut Tables, centre: &str, term: u64, serial: u64, want: u32) -> u32 {
    let outcome = tables.apply(Command::Allot {
        pool: Name::from("captions"),
        model: Name::from("caption"),
        centre: Name::from(centre),
        term,
        serial,
        want,
    });
    match outcome {
        Outcome::Allotted(count) => count,
        other => panic!("{other:?}"),
    }
}

#[test]
fn sum_of_allotments_never_exceeds_replica_limit() {
    let mut tables = tables();
    assert_eq!(allot(&mut tables, "north", 1, 1, 5), 2);
    assert_eq!(allot(&mut tables, "south", 1, 1, 1), 0);
    assert_eq!(allot(&mut tables, "north", 1, 2, 1), 1);
    assert_eq!(allot(&mut tables, "south", 1, 2, 2), 1);
}

#[test]
fn late_decrease_does_not_undo_newer_increase() {
    let mut tables = tables();
    assert_eq!(allot(&mut tables, "north", 1, 1, 2), 2);
    assert_eq!(allot(&mut tables, "north", 1, 3, 2), 2);
    assert_eq!(allot(&mut tables, "north", 1, 2, 0), 2);
    assert_eq!(allot(&mut tables, "south", 1, 1, 1), 0);
}

#[test]
fn former_leader_changes_nothing() {
    let mut tables = tables();
    assert_eq!(allot(&mut tables, "north", 2, 1, 2), 2);
    assert_eq!(allot(&mut tables, "north", 1, 9, 0), 2);
}

#[test]
fn command_applied_twice_counts_once() {
    let mut tables = tables();
    assert_eq!(allot(&mut tables, "north", 1, 1, 1), 1);
    assert_eq!(allot(&mut tables, "north", 1, 1, 1), 1);
    assert_eq!(allot(&mut tables, "south", 1, 1, 1), 1);
}

#[test]
fn data_centre_without_hosts_releases_its_replicas() {
    let mut tables = tables();
    tables.apply(Command::Join(RouterHost {
        host: Name::from("entry"),
        centre: Name::from("north"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    }));
    assert_eq!(allot(&mut tables, "north", 1, 1, 2), 2);
    let retire = |dead| Command::Retire {
        host: Name::from("entry"),
        dead,
    };
    assert!(matches!(tables.apply(retire(false)), Outcome::Unsettled(_)));
    assert_eq!(allot(&mut tables, "south", 1, 1, 1), 0);
    assert!(matches!(tables.apply(retire(true)), Outcome::Accepted(_)));
    assert_eq!(allot(&mut tables, "south", 1, 2, 2), 2);
    assert_eq!(allot(&mut tables, "north", 1, 1, 2), 0, "outdated command");
}
