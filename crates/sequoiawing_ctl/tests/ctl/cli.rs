//! Tests of the arguments, the help and the exit codes.

use sequoiawing_ctl::{CtlError, command};
use sequoiawing_link::ControlError;
use sequoiawing_tables::Revision;
use sequoiawing_types::{Findings, RequestId};

#[test]
fn the_arguments_are_consistent() {
    command().debug_assert();
}

#[test]
fn the_help_names_commands_and_exit_codes() {
    insta::assert_snapshot!(command().render_long_help().to_string());
}

/// Generates a test per error of its exit code and of whether it has a hint.
macro_rules! exit_codes {
    ($($name:ident: $error:expr => $code:expr, $hint:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let error: CtlError = $error;
                assert_eq!(error.exit_code(), $code);
                assert_eq!(error.hint().is_some(), $hint);
            }
        )*
    };
}

exit_codes! {
    findings: CtlError::Invalid(Findings::default()) => 2, false;
    a_conflict: CtlError::Conflict { base: Revision(1), current: Revision(2) } => 3, true;
    no_leader: CtlError::Refused(ControlError::NotLeader { leader: None }) => 4, true;
    a_full_disk: CtlError::Refused(ControlError::Storage("full".to_owned())) => 4, true;
    unconfirmed_hosts: CtlError::Unconfirmed("entry-1".to_owned()) => 5, true;
    problems_found: CtlError::ProblemsFound(1) => 6, false;
    a_lost_reply: CtlError::Uncertain {
        request: RequestId::from("r"),
        cause: "lost".to_owned(),
    } => 7, true;
}

#[test]
fn the_hint_for_a_lost_reply_contains_the_request_id() {
    let error = CtlError::Uncertain {
        request: RequestId::from("4f"),
        cause: "lost".to_owned(),
    };
    let hint = error.hint().unwrap_or_default();
    assert!(hint.contains("--request-id 4f"), "{hint}");
}
