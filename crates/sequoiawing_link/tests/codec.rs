//! Writes and reads messages in both forms.

use sequoiawing_fleet::{LoadDelta, Publisher, Rank, Relayed, Source, UpstreamState};
use sequoiawing_link::{
    BudgetReplies, ControlError, FollowReply, FollowRequest, Format, UpstreamBatch,
};
use sequoiawing_tables::{Change, Command, Customer, Key, KeyId, Outcome, Revision, Tables};
use sequoiawing_types::{Findings, Name, Ran, RequestId};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn check<T>(message: &T)
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    for format in [Format::Binary, Format::Json] {
        let bytes = format.encode(message).expect("it can be written");
        let read: T = format.decode(&bytes).expect("it can be read");
        assert_eq!(read, *message, "{format:?}");
    }
}

fn batch() -> UpstreamBatch {
    let state = UpstreamState {
        name: Name::from("runner"),
        address: Some(([127, 0, 0, 1], 8_000).into()),
        loaded: vec![Name::from("caption")],
        ..UpstreamState::default()
    };
    let (term, start) = (2, u64::MAX);
    let summary =
        Publisher::new(Name::from("north")).publish(Rank { term, start }, [&state].into_iter());
    UpstreamBatch {
        source: Source {
            host: Name::from("entry-1"),
            start,
        },
        summaries: vec![summary.confirmation(), summary],
        states: vec![Relayed { index: 7, state }],
        loads: vec![LoadDelta {
            index: 7,
            sequence: 9,
            running: 3,
            active: vec![0],
        }],
        spread: true,
    }
}

fn edit() -> Command {
    let key = Key {
        id: KeyId::from("id"),
        customer: Name::from("daily"),
        hash: "hash".to_owned(),
    };
    Command::Edit {
        request: RequestId::random(),
        base: Some(Revision(3)),
        changes: vec![
            Change::PutCustomer(Customer::default()),
            Change::GrantKey(key),
        ],
    }
}

fn published() -> FollowReply {
    let mut tables = Tables::default();
    tables.apply(edit());
    tables.apply(Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![Change::Drain(Name::from("runner"))],
    });
    FollowReply {
        revision: tables.revision,
        update: tables.update_from(Revision(0)),
        age: 5,
    }
}

fn invalid() -> Outcome {
    let mut findings = Findings::default();
    findings.push("routes.a", "has no pool");
    Outcome::Invalid(findings)
}

macro_rules! cases {
    ($($name:ident: $message:expr;)*) => {$(
        #[test]
        fn $name() {
            check(&$message);
        }
    )*};
}

cases! {
    a_batch_of_upstreams: batch();
    an_edit: edit();
    a_change_for_a_follower: published();
    a_question_for_tables: FollowRequest { host: Name::from("entry-1"), ..FollowRequest::default() };
    a_refused_edit: Ok::<_, ControlError>(invalid());
    an_error: Err::<Outcome, _>(ControlError::NotLeader { leader: Some(([127, 0, 0, 1], 1).into()) });
    no_budgets: BudgetReplies::None;
    how_a_call_ended: [Ran::Yes, Ran::No, Ran::Unknown];
}

/// Between releases fields come and go.
#[test]
fn json_passes_over_fields_that_one_side_does_not_know() {
    let read: FollowRequest = Format::Json
        .decode(br#"{"host":"entry-1","later":true}"#)
        .expect("it can be read");
    assert_eq!(read.host, Name::from("entry-1"));
}
