//! Tests which cell leaders a dispatcher sends its demands to.

use sequoiawing_fleet::{DemandStatus, UpstreamState};
use sequoiawing_policy::{
    DispatchAction, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher,
};
use sequoiawing_types::{Name, Time};
use std::sync::Arc;

fn runner(centre: &str, sequence: u64, loaded: &[&str]) -> DispatchEvent {
    DispatchEvent::Announced(Arc::new(UpstreamState {
        name: Name::from(format!("runner-{centre}")),
        pool: Name::from("models"),
        centre: Name::from(centre),
        epoch: 1,
        sequence,
        lifetime: 10_000,
        slots: 4,
        loaded: loaded.iter().copied().map(Name::from).collect(),
        ..UpstreamState::default()
    }))
}

/// Advances time by one second, in which all leaders give the same answer, and
/// returns the data centres that were asked.
fn advance(dispatcher: &mut Dispatcher, from: u64, decided: bool) -> Vec<Name> {
    let mut asked = Vec::new();
    for step in 0..20 {
        let now = Time::from_millis(from + step * 50);
        let mut out = Vec::new();
        dispatcher.handle(now, DispatchEvent::Tick, &mut out);
        for action in out {
            let DispatchAction::SendDemand(demand) = action else {
                continue;
            };
            asked.push(demand.centre);
            let state = DemandStatus {
                decided,
                ..DemandStatus::default()
            };
            let model = Name::from("strip:ink");
            let answer = DispatchEvent::DemandAnswered { model, state };
            dispatcher.handle(now, answer, &mut Vec::new());
        }
    }
    asked
}

/// The router asks one leader after the other while a demand is undecided. Once
/// the model is loaded, it must ask the leader of the data centre that has it,
/// so that the adapter is loaded there.
#[test]
fn adapter_is_requested_where_its_model_is_loaded() {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        centre: Name::from("north"),
        pool: Name::from("models"),
        ..DispatchSettings::default()
    });
    for centre in ["north", "south"] {
        dispatcher.handle(Time::ZERO, runner(centre, 1, &[]), &mut Vec::new());
    }
    let request = DispatchRequest {
        id: 1,
        customer: Name::from("daily"),
        weight: 1,
        model: Some(Name::from("strip")),
        adapter: Some(Name::from("strip:ink")),
        tokens: 100,
        deadline: Time::from_millis(60_000),
        ..DispatchRequest::default()
    };
    dispatcher.handle(Time::ZERO, DispatchEvent::Arrived(request), &mut Vec::new());
    let asked = advance(&mut dispatcher, 250, false);
    assert!(asked.contains(&Name::from("north")), "{asked:?}");
    assert!(asked.contains(&Name::from("south")), "{asked:?}");
    for centre in ["north", "south"] {
        let other = if centre == "north" { "south" } else { "north" };
        let sequence = if centre == "north" { 2 } else { 3 };
        dispatcher.handle(
            Time::from_millis(1_250),
            runner(other, sequence, &[]),
            &mut Vec::new(),
        );
        let announcement = runner(centre, sequence, &["strip"]);
        dispatcher.handle(Time::from_millis(1_250), announcement, &mut Vec::new());
        let asked = advance(&mut dispatcher, sequence * 1_000, true);
        let last = asked.last().expect("the router keeps sending demands");
        assert_eq!(last.as_str(), centre, "the model is loaded in {centre}");
    }
}
