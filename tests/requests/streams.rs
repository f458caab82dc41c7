//! Streams whose upstream fails in the middle.

use crate::{
    cases,
    fleet::{Fleet, Setup, impatient},
};
use sequoiawing::{runtime::sleep, standin::Fault};
use std::time::Duration;

/// The tokens of the streams.
const TOKENS: u64 = 40;

/// Starts an engine with the model loaded, which then fails.
async fn start(fault: Fault) -> Fleet {
    let fleet = Fleet::start(Setup {
        engines: 1,
        settings: impatient(),
        ..Setup::default()
    })
    .await;
    fleet.warm().await;
    fleet.engines[0].set_fault(fault);
    fleet
}

/// Lets the engine work again as soon as it has failed once.
async fn mend(fleet: &Fleet) {
    let served = fleet.engines[0].started_requests();
    crate::fleet::wait_until("the stream began", || {
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

/// Expects that a fault half-way leaves no trace where streams are resumed.
async fn assert_resumed(fault: Fault) {
    let fleet = start(fault).await;
    let call = sequoiawing::runtime::spawn(fleet.completion("/resumed", TOKENS).send());
    mend(&fleet).await;
    let answer = call.await;
    let expected: Vec<String> = (0..TOKENS).map(|i| format!("w{i}")).collect();
    assert_eq!(words(answer.text()), expected);
    assert!(answer.text().ends_with("data: [DONE]\n\n"));
    let seen = fleet.engines[0].recorded_requests();
    let resumed = seen.last().expect("it was asked");
    assert!(
        resumed.contains("\"sequoiawing-resume-offset\": \"20\""),
        "{resumed}"
    );
}

/// Expects that a fault half-way is seen where streams are not resumed.
async fn assert_broken(fault: Fault) {
    let fleet = start(fault).await;
    let answer = fleet.completion("/v1/completions", TOKENS).send().await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.is_err(), "{answer:?}");
}

cases! {
    a_stream_that_breaks_off_is_resumed { assert_resumed(Fault::Abort).await; }
    a_stream_that_is_cut_short_is_resumed { assert_resumed(Fault::Truncate).await; }
    a_stream_that_falls_silent_is_resumed { assert_resumed(Fault::Stall).await; }
    a_stream_that_breaks_off_is_never_whole { assert_broken(Fault::Abort).await; }
    a_stream_that_is_cut_short_is_never_whole { assert_broken(Fault::Truncate).await; }
    a_stream_that_falls_silent_is_never_whole { assert_broken(Fault::Stall).await; }

    a_stream_that_cannot_be_resumed_is_never_whole {
        let fleet = start(Fault::Abort).await;
        let answer = fleet.completion("/resumed", TOKENS).send().await;
        assert!(answer.body.is_err(), "{answer:?}");
    }

    a_stream_without_a_token_yet_is_made_good {
        let fleet = start(Fault::Abort).await;
        let call = sequoiawing::runtime::spawn(fleet.completion("/v1/completions", 1).send());
        mend(&fleet).await;
        let answer = call.await;
        assert_eq!(words(answer.text()), ["w0"]);
    }
}
