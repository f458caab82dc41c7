//! Tests of the replicated departures of upstreams.

use sequoiawing_tables::{
    Command, DEPARTURE_RETENTION_S, Departure, MAX_DEPARTURES, Outcome, Revision, Tables,
};
use sequoiawing_types::Name;

fn depart(tables: &mut Tables, upstream: &str, departure: Departure, now: u64) -> Outcome {
    let upstream = Name::from(upstream);
    tables.apply(Command::Depart {
        upstream,
        departure,
        now,
    })
}

fn draining(start: u64, sequence: u64) -> Departure {
    Departure {
        start,
        sequence,
        is_final: false,
    }
}

macro_rules! departures {
    ($($name:ident: $recorded:expr => $revision:literal, $last:expr;)*) => {$(
        // Guards against a departure that is replaced by an earlier one, or recorded again
        // each time that it is resent.
        #[test]
        fn $name() {
            let mut tables = Tables::default();
            let mut outcome = Outcome::Settled;
            for departure in $recorded {
                outcome = depart(&mut tables, "a", departure, 1);
            }
            assert_eq!(outcome, Outcome::Departed($revision));
            assert_eq!(tables.departures.get(&Name::from("a")), Some($last));
        }
    )*};
}

departures! {
    a_resent_departure: [Departure::of_start(5); 3] => 1, Departure::of_start(5);
    a_late_departure_of_an_earlier_start:
        [Departure::of_start(5), Departure::of_start(4), draining(4, 9)] => 1, Departure::of_start(5);
    a_departure_of_a_later_start:
        [Departure::of_start(5), draining(6, 1)] => 2, draining(6, 1);
    a_draining_start_that_leaves:
        [draining(5, 7), draining(5, 3), Departure::of_start(5)] => 2, Departure::of_start(5);
    a_late_draining_notice_of_a_start_that_has_left:
        [Departure::of_start(5), draining(5, 7)] => 1, Departure::of_start(5);
}

// Guards against departures that cause conflicts of edits, or copies of the tables for
// followers.
#[test]
fn a_departure_changes_no_revision_of_the_tables() {
    let mut tables = Tables::default();
    depart(&mut tables, "a", Departure::of_start(1), 1);
    assert_eq!(tables.revision, Revision(0));
    assert!(tables.published().departures.is_empty());
}

// Guards against a departure that is lost with the log's compaction, or told twice.
#[test]
fn snapshots_have_the_departures() {
    let mut tables = Tables::default();
    depart(&mut tables, "a", Departure::of_start(1), 1);
    depart(&mut tables, "b", draining(2, 3), 1);
    let json = serde_json::to_string(&tables).expect("a snapshot");
    let restored: Tables = serde_json::from_str(&json).expect("tables");
    assert_eq!(restored, tables);
    let newer: Vec<_> = restored.departures.after(1).collect();
    assert_eq!(newer, [(&Name::from("b"), draining(2, 3))]);
    // A snapshot of an earlier build has none.
    let mut json = serde_json::to_value(&tables).expect("a snapshot");
    json.as_object_mut()
        .expect("an object")
        .remove("departures");
    let earlier: Tables = serde_json::from_value(json).expect("tables");
    assert!(earlier.departures.is_empty());
}

// Guards against departures that are kept without bound, and against a clock that goes back.
#[test]
fn departures_are_kept_for_a_time_and_up_to_a_number() {
    let mut tables = Tables::default();
    depart(&mut tables, "a", Departure::of_start(1), 1_000);
    depart(&mut tables, "b", Departure::of_start(1), 500);
    let last = 1_000 + DEPARTURE_RETENTION_S;
    depart(&mut tables, "c", Departure::of_start(1), last);
    assert_eq!(tables.departures.len(), 3);
    depart(&mut tables, "d", Departure::of_start(1), last + 1);
    let kept: Vec<&Name> = tables.departures.after(0).map(|(name, _)| name).collect();
    assert_eq!(kept, [&Name::from("c"), &Name::from("d")]);
    for i in 0..MAX_DEPARTURES {
        depart(
            &mut tables,
            &format!("e{i}"),
            Departure::of_start(1),
            last + 1,
        );
    }
    assert_eq!(tables.departures.len(), MAX_DEPARTURES);
    assert_eq!(tables.departures.get(&Name::from("c")), None);
    assert!(tables.departures.get(&Name::from("e0")).is_some());
}
