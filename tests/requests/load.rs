//! Tests that the load generator detects wrong and incomplete responses.

use crate::{
    cases,
    fleet::{Fleet, Setup},
};
use sequoiawing::{
    standin::{Fault, LoadCustomer, LoadSettings, run_load},
    types::Name,
};
use std::net::SocketAddr;

async fn start() -> (Fleet, LoadSettings) {
    let fleet = Fleet::start(Setup {
        engines: 1,
        ..Setup::default()
    })
    .await;
    fleet.load_model().await;
    let customer = |name: &str| LoadCustomer {
        name: Name::from(name),
        key: fleet.key.reveal(),
        rate: 100,
    };
    let settings = LoadSettings {
        routers: vec![fleet.routers[0].callers()],
        customers: vec![customer("daily"), customer("weekly")],
        models: vec!["caption".to_owned()],
        span: 200,
        tokens: 4,
        stream: true,
        ..LoadSettings::default()
    };
    (fleet, settings)
}

fn with_router(settings: LoadSettings, to: SocketAddr) -> LoadSettings {
    LoadSettings {
        routers: vec![to],
        ..settings
    }
}

cases! {
    complete_responses_are_counted_for_each_customer {
        let (_fleet, settings) = start().await;
        let summaries = run_load(settings).await.summaries();
        assert_eq!(summaries.len(), 2);
        for summary in summaries {
            assert_eq!(summary.statuses.get(&200), Some(&20), "{summary:?}");
            assert_eq!((summary.wrong, summary.took.count), (0, 20));
            assert!(summary.gaps.count > 0 && summary.first.count == 20);
        }
    }

    streams_that_end_too_early_are_wrong {
        let (fleet, settings) = start().await;
        fleet.engines[0].set_fault(Fault::Truncate);
        let report = run_load(with_router(settings, fleet.engines[0].address())).await;
        for summary in report.summaries() {
            assert_eq!((summary.wrong, summary.took.count), (20, 0), "{summary:?}");
        }
    }
}
