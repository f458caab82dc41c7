//! Tests that messages survive a round trip in both formats.

use sequoiawing_fleet::{LoadDelta, Publisher, Rank, RelayedState, Source, UpstreamState};
use sequoiawing_link::{
    BudgetReplies, ControlError, FollowReply, FollowRequest, Format, UpstreamBatch,
};
use sequoiawing_tables::{Change, Command, Customer, Key, KeyId, Outcome, Revision, Tables};
use sequoiawing_types::{Findings, Name, Ran, RequestId};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn assert_round_trip<T>(message: &T)
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    for format in [Format::Binary, Format::Json] {
        let bytes = format.encode(message).expect("message serializes");
        let decoded: T = format.decode(&bytes).expect("message deserializes");
        assert_eq!(decoded, *message, "{format:?}");
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
        states: vec![RelayedState { index: 7, state }],
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

fn reply_with_update() -> FollowReply {
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
            assert_round_trip(&$message);
        }
    )*};
}

cases! {
    upstream_batch: batch();
    edit_command: edit();
    follow_reply: reply_with_update();
    follow_request: FollowRequest { host: Name::from("entry-1"), ..FollowRequest::default() };
    rejected_edit: Ok::<_, ControlError>(invalid());
    control_error: Err::<Outcome, _>(ControlError::NotLeader { leader: Some(([127, 0, 0, 1], 1).into()) });
    missing_budget_replies: BudgetReplies::None;
    call_outcomes: [Ran::Yes, Ran::No, Ran::Unknown];
}

/// Processes of different releases may have different fields in a message.
#[test]
fn json_ignores_unknown_fields_and_defaults_missing_ones() {
    let request: FollowRequest = Format::Json
        .decode(br#"{"host":"entry-1","later":true}"#)
        .expect("request deserializes");
    assert_eq!(request.host, Name::from("entry-1"));
}
