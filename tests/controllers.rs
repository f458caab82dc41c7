//! Tests of crash recovery with three controllers as separate processes, each
//! with its own data folder.

mod support;

use sequoiawing::{
    link::{ControlError, ControlStatus},
    tables::{Change, Command, Customer, Outcome, Revision},
    types::{Name, RequestId},
};
use std::{sync::Arc, thread};
use support::controllers::Controllers;

/// Returns an edit that creates one customer, with a new request ID.
fn edit(name: &str) -> Command {
    Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![Change::PutCustomer(Customer {
            name: Name::from(name),
            ..Customer::default()
        })],
    }
}

/// Makes edits in sequence and returns the revision of each.
fn make_edits(controllers: &Controllers, prefix: &str, count: usize) -> Vec<(String, Revision)> {
    let make = |i| {
        let name = format!("{prefix}-{i}");
        let outcome = controllers.propose(&edit(&name));
        let Outcome::Accepted(revision) = outcome else {
            panic!("{name}: {outcome:?}");
        };
        (name, revision)
    };
    (0..count).map(make).collect()
}

/// Checks that all edits are present and that each was made exactly once.
fn check_edits(controllers: &Controllers, edits: &[(String, Revision)]) {
    let tables = controllers.read();
    for (name, revision) in edits {
        assert!(
            tables.customers.contains_key(name.as_str()),
            "{name} is lost"
        );
        assert!(
            *revision <= tables.revision,
            "revision {revision} was reverted"
        );
    }
    assert_eq!(
        tables.revision.0,
        edits.len() as u64,
        "each edit is made exactly once"
    );
    let mut revisions: Vec<_> = edits.iter().map(|(_, r)| *r).collect();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(
        revisions.len(),
        edits.len(),
        "each edit has its own revision"
    );
}

#[test]
fn edits_survive_kills_of_the_leader_in_mid_write() {
    let controllers = Arc::new(Controllers::start("kills"));
    let writers: Vec<_> = (0..4)
        .map(|i| {
            let controllers = controllers.clone();
            thread::spawn(move || make_edits(&controllers, &format!("w{i}"), 60))
        })
        .collect();
    for _ in 0..3 {
        let leader = controllers.wait_for_leader();
        controllers.kill(leader);
        controllers.wait_for_leader();
        controllers.spawn(leader);
        controllers.wait_for_voters(3);
    }
    let mut edits = Vec::new();
    for writer in writers {
        edits.extend(writer.join().expect("the writer does not panic"));
    }
    check_edits(&controllers, &edits);
}

#[test]
fn all_restart_after_hundreds_of_changes() {
    let controllers = Controllers::start("restarts");
    let mut edits = make_edits(&controllers, "a", 300);
    let resent = edit("resent");
    let first = controllers.propose(&resent);
    let Outcome::Accepted(revision) = first else {
        panic!("{first:?}");
    };
    edits.push(("resent".to_owned(), revision));
    (0..3).for_each(|i| controllers.kill(i));
    (0..3).for_each(|i| controllers.spawn(i));
    assert_eq!(
        controllers.propose(&resent),
        first,
        "a resend gets the first outcome"
    );
    check_edits(&controllers, &edits);
}

#[test]
fn a_stopped_leader_neither_reads_stale_nor_accepts() {
    let controllers = Arc::new(Controllers::start("stopped"));
    let mut edits = make_edits(&controllers, "a", 5);
    let suspended = controllers.wait_for_leader();
    controllers.signal(suspended, "STOP");
    let handle = controllers.clone();
    let read = thread::spawn(move || handle.read_at(suspended));
    let handle = controllers.clone();
    let late = edit("late");
    let proposal = late.clone();
    let accepted = thread::spawn(move || handle.propose_at(suspended, &proposal));
    controllers.wait_for_other_leader(suspended);
    edits.extend(make_edits(&controllers, "b", 1));
    controllers.signal(suspended, "CONT");
    match read.join().expect("the reader does not panic") {
        Ok(Ok(tables)) => assert!(tables.customers.contains_key("b-0"), "the read was stale"),
        Ok(Err(error)) => assert!(matches!(error, ControlError::NotLeader { .. }), "{error}"),
        Err(_) => {}
    }
    let outcome = accepted.join().expect("the proposer does not panic");
    if let Ok(Ok(Outcome::Accepted(_))) = outcome {
        panic!("a suspended leader accepted an edit");
    }
    controllers.wait_for_voters(3);
    edits.extend(make_edits(&controllers, "c", 1));
    check_edits(&controllers, &edits);
}

#[test]
fn a_lost_disk_comes_back_and_a_second_host_may_be_lost() {
    let controllers = Controllers::start("lost-disk");
    let mut edits = make_edits(&controllers, "a", 20);
    let leader = controllers.wait_for_leader();
    let lost = (leader + 1) % 3;
    let id = |status: &ControlStatus| {
        let mut members = status.members.iter();
        let own = members.find(|m| m.host == controllers.host(lost));
        own.map(|m| m.id)
    };
    let previous = id(&controllers.status(leader).expect("the leader answers"));
    controllers.kill(lost);
    controllers.wipe(lost);
    edits.extend(make_edits(&controllers, "b", 20));
    controllers.spawn(lost);
    controllers.wait_for(leader, |s| {
        s.members.iter().all(|m| m.voter) && id(s) != previous
    });
    controllers.wait_for_voters(3);
    let second = (leader + 2) % 3;
    controllers.kill(second);
    controllers.wipe(second);
    edits.extend(make_edits(&controllers, "c", 20));
    check_edits(&controllers, &edits);
}

#[test]
fn a_planned_stop_of_the_leader_hands_over() {
    let controllers = Arc::new(Controllers::start("planned"));
    let writing = controllers.clone();
    let writer = thread::spawn(move || make_edits(&writing, "a", 100));
    for _ in 0..2 {
        let leader = controllers.wait_for_leader();
        controllers.signal(leader, "TERM");
        assert!(
            controllers.wait_for_exit(leader),
            "the controller did not exit with success"
        );
        controllers.wait_for_leader();
        controllers.spawn(leader);
        controllers.wait_for_voters(3);
    }
    let edits = writer.join().expect("the writer does not panic");
    check_edits(&controllers, &edits);
}

#[test]
fn a_damaged_log_keeps_its_host_out() {
    let controllers = Controllers::start("damaged");
    let mut edits = make_edits(&controllers, "a", 10);
    let leader = controllers.wait_for_leader();
    let damaged = (leader + 1) % 3;
    controllers.kill(damaged);
    controllers.flip_bit(damaged);
    controllers.spawn(damaged);
    assert!(
        !controllers.wait_for_exit(damaged),
        "a controller with a damaged log started"
    );
    let log = controllers.log(damaged);
    assert!(log.contains("is damaged at byte"), "{log}");
    edits.extend(make_edits(&controllers, "b", 5));
    check_edits(&controllers, &edits);
}

#[test]
fn operators_racing_from_one_revision_get_one_winner() {
    let controllers = Arc::new(Controllers::start("race"));
    let mut edits = make_edits(&controllers, "a", 3);
    let base = controllers.read().revision;
    let from_base = |name: &str| {
        let Command::Edit {
            request, changes, ..
        } = edit(name)
        else {
            unreachable!("an edit");
        };
        let base = Some(base);
        Command::Edit {
            request,
            base,
            changes,
        }
    };
    let commands = [from_base("left"), from_base("right")];
    let operators = commands.clone().map(|command| {
        let controllers = controllers.clone();
        thread::spawn(move || controllers.propose(&command))
    });
    let outcomes = operators.map(|r| r.join().expect("the operator does not panic"));
    let is_accepted = |o: &&Outcome| matches!(o, Outcome::Accepted(_));
    assert_eq!(
        outcomes.iter().filter(is_accepted).count(),
        1,
        "{outcomes:?}"
    );
    for (outcome, name) in outcomes.iter().zip(["left", "right"]) {
        match outcome {
            Outcome::Accepted(revision) => edits.push((name.to_owned(), *revision)),
            Outcome::Conflict {
                base: from,
                current,
            } => {
                assert_eq!(*from, base, "the conflict names the base revision");
                assert_eq!(
                    current.0,
                    base.0 + 1,
                    "the conflict names the current revision"
                );
            }
            other => panic!("{other:?}"),
        }
    }
    controllers.kill(controllers.wait_for_leader());
    for (command, outcome) in commands.iter().zip(&outcomes) {
        let again = controllers.propose(command);
        assert_eq!(
            again, *outcome,
            "a resend gets the first outcome from a new leader"
        );
    }
    check_edits(&controllers, &edits);
}
