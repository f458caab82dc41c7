//! Runs the scenarios written in the test language of `datadriven`.

use crate::simulation::{InjectedFault, Simulation};
use datadriven::{TestCase, walk};
use sequoiawing_types::Name;
use std::time::Duration;

const TRUE_SPEED: u64 = 1_000;
const STEP: Duration = Duration::from_millis(10);
const DELAY: Duration = Duration::from_millis(1);

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut sim = Simulation::new(InjectedFault::None);
        file.run(|case| {
            let mut text = command(&mut sim, case);
            text.push('\n');
            text
        });
    });
}

fn command(sim: &mut Simulation, case: &TestCase) -> String {
    match case.directive.as_str() {
        "start" => start(sim, &hosts(case)),
        "stop" => stop(sim, &hosts(case)),
        "join" => return join(sim, &hosts(case)),
        "cut" => cut(sim, &hosts(case)),
        "heal" => sim.cut_links.clear(),
        "freeze" => sim.freeze(&host(case), millis(case)),
        "resign" => sim.resign(&host(case)),
        "run" => return run(sim, millis(case)),
        other => panic!("unknown directive: {other}"),
    }
    "ok".to_owned()
}

/// Starts hosts and publishes the membership to them.
fn start(sim: &mut Simulation, hosts: &[Name]) {
    for host in hosts {
        sim.start(host, TRUE_SPEED);
        sim.publish_members(host);
    }
}

fn stop(sim: &mut Simulation, hosts: &[Name]) {
    for host in hosts {
        sim.stop(host);
    }
}

fn join(sim: &mut Simulation, hosts: &[Name]) -> String {
    for host in hosts {
        while !sim.change_member(host, true) {
            step(sim);
        }
        let members: Vec<Name> = sim.members.keys().cloned().collect();
        for member in &members {
            sim.publish_members(member);
        }
    }
    while !sim.log.settled {
        step(sim);
    }
    let names: Vec<&str> = sim.log.members.iter().map(Name::as_str).collect();
    format!(
        "{} are members of epoch {}, settled",
        names.join(" "),
        sim.log.epoch
    )
}

fn cut(sim: &mut Simulation, hosts: &[Name]) {
    let others: Vec<Name> = sim.members.keys().cloned().collect();
    for host in hosts {
        for other in others.iter().filter(|o| *o != host) {
            sim.cut_links.insert((host.clone(), other.clone()));
            sim.cut_links.insert((other.clone(), host.clone()));
        }
    }
}

fn run(sim: &mut Simulation, span: Duration) -> String {
    let end = sim.now + span;
    while sim.now < end {
        step(sim);
    }
    match sim.leaders().first() {
        Some((host, _)) => format!("{host} leads"),
        None => "nobody leads".to_owned(),
    }
}

fn step(sim: &mut Simulation) {
    sim.step(STEP, || Some(DELAY));
    assert_eq!(sim.violation(), None);
}

fn hosts(case: &TestCase) -> Vec<Name> {
    let values = case.args.get("hosts").cloned().unwrap_or_default();
    values.iter().map(|v| Name::from(v.trim())).collect()
}

fn host(case: &TestCase) -> Name {
    let value = case.args.get("host").and_then(|v| v.first());
    Name::from(value.expect("the host argument is missing").as_str())
}

fn millis(case: &TestCase) -> Duration {
    let value = case.args.get("millis").and_then(|v| v.first());
    let value = value.and_then(|v| v.parse().ok());
    Duration::from_millis(value.expect("the millis argument is not a number"))
}
