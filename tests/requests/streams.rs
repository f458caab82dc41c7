//! Tests of streams whose upstream fails part-way.

use crate::{
    cases,
    fleet::{Fleet, Setup, short_stall},
};
use sequoiawing::{runtime::sleep, standin::Fault};
use std::time::Duration;

/// The number of tokens in each stream.
const TOKENS: u64 = 40;

/// Starts an engine with the model loaded and injects a fault into it.
async fn start(fault: Fault) -> Fleet {
    let fleet = Fleet::start(Setup {
        engines: 1,
        settings: short_stall(),
        ..Setup::default()
    })
    .await;
    fleet.load_model().await;
    fleet.engines[0].set_fault(fault);
    fleet
}

/// Clears the fault once the engine has served one more request.
async fn clear_fault(fleet: &Fleet) {
    let served = fleet.engines[0].started_requests();
    crate::fleet::wait_until("the stream started", || {
        std::future::ready(fleet.engines[0].started_requests() > served)
    })
    .await;
    sleep(Duration::from_millis(20)).await;
    fleet.engines[0].set_fault(Fault::None);
}

/// Returns the words of a stream in order.
fn words(text: &str) -> Vec<&str> {
    let parts = text.split("\"text\":\"").skip(1);
    parts.filter_map(|p| p.split('"').next()).collect()
}

/// Asserts that a resumable stream is complete in spite of a fault part-way.
async fn assert_resumed(fault: Fault) {
    let fleet = start(fault).await;
    let call = sequoiawing::runtime::spawn(fleet.completion("/resumed", TOKENS).send());
    clear_fault(&fleet).await;
    let response = call.await;
    let expected: Vec<String> = (0..TOKENS).map(|i| format!("w{i}")).collect();
    assert_eq!(words(response.text()), expected);
    assert!(response.text().ends_with("data: [DONE]\n\n"));
    let seen = fleet.engines[0].recorded_requests();
    let resumed = seen.last().expect("the engine received a request");
    assert!(
        resumed.contains("\"sequoiawing-resume-offset\": \"20\""),
        "{resumed}"
    );
}

/// Asserts that a stream that is not resumable ends with an error on a fault
/// part-way.
async fn assert_incomplete(fault: Fault) {
    let fleet = start(fault).await;
    let response = fleet.completion("/v1/completions", TOKENS).send().await;
    assert_eq!(response.status, 200);
    assert!(response.body.is_err(), "{response:?}");
}

cases! {
    an_aborted_stream_is_resumed { assert_resumed(Fault::Abort).await; }
    a_truncated_stream_is_resumed { assert_resumed(Fault::Truncate).await; }
    a_stalled_stream_is_resumed { assert_resumed(Fault::Stall).await; }
    an_aborted_stream_ends_with_an_error { assert_incomplete(Fault::Abort).await; }
    a_truncated_stream_ends_with_an_error { assert_incomplete(Fault::Truncate).await; }
    a_stalled_stream_ends_with_an_error { assert_incomplete(Fault::Stall).await; }

    a_stream_that_cannot_be_resumed_ends_with_an_error {
        let fleet = start(Fault::Abort).await;
        let response = fleet.completion("/resumed", TOKENS).send().await;
        assert!(response.body.is_err(), "{response:?}");
    }

    a_stream_that_fails_before_its_first_token_is_retried {
        let fleet = start(Fault::Abort).await;
        let call = sequoiawing::runtime::spawn(fleet.completion("/v1/completions", 1).send());
        clear_fault(&fleet).await;
        let response = call.await;
        assert_eq!(words(response.text()), ["w0"]);
    }
}
