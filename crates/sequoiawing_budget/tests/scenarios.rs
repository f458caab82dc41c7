//! Runs the scripted scenarios in `tests/scenarios`.
//!
//! Commands: `cut from=owner to=c0` (one direction; `both` for two), `heal`,
//! `stop-owner`, `start-owner`, `stop-leader` (of c0), `start-leader` (r1 in
//! c0), `send ms=1000` (far above the rate, from all routers), `wait ms=1000`
//! and `state`. The checker replays all admitted requests after each command.

#[allow(dead_code, reason = "each test uses a part of the support module")]
#[allow(unused_imports, reason = "each test uses a part of the support module")]
mod support;

use datadriven::{TestCase, walk};
use rand::RngExt;
use std::{fmt::Write, time::Duration};
use support::{Node, Settings, World};

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut world = World::new(Settings::default());
        file.run(|case| {
            let output = run(&mut world, case);
            match world.check() {
                Ok(()) => output,
                Err(error) => format!("{output}{error}\n"),
            }
        });
    });
}

fn run(world: &mut World, case: &TestCase) -> String {
    let name = |key: &str| case.args.get(key).map(|v| v[0].as_str());
    let millis = || name("ms").and_then(|v| v.parse().ok()).unwrap_or(0);
    match case.directive.as_str() {
        "cut" => {
            let from = place(name("from").expect("cut requires from"));
            let to = place(name("to").expect("cut requires to"));
            world.network.cut(from, to);
            if case.args.contains_key("both") {
                world.network.cut(to, from);
            }
            String::new()
        }
        "heal" => {
            world.network.heal();
            String::new()
        }
        "stop-owner" => {
            world.stop_owner();
            String::new()
        }
        "start-owner" => {
            world.start_owner();
            String::new()
        }
        "stop-leader" => {
            world.stop_leader(0);
            String::new()
        }
        "start-leader" => {
            world.start_leader(0, 1);
            String::new()
        }
        "wait" => wait(world, millis()),
        "send" => send(world, millis()),
        "state" => state(world),
        other => panic!("unknown command {other}"),
    }
}

fn place(name: &str) -> Node {
    match name {
        "owner" => Node::Owner,
        _ => Node::Centre(
            name[1..]
                .parse()
                .expect("a place is `owner` or c and a number"),
        ),
    }
}

fn wait(world: &mut World, millis: u64) -> String {
    let end = world.now + Duration::from_millis(millis);
    let result = world.run_until(end);
    result.err().map(|e| e + "\n").unwrap_or_default()
}

fn send(world: &mut World, millis: u64) -> String {
    let before = world.admitted.clone();
    let end = world.now + Duration::from_millis(millis);
    while world.now < end {
        for c in 0..world.settings.centres {
            for r in 0..world.settings.routers {
                let tokens = world.rng.random_range(1..80);
                world.request(c, r, tokens);
            }
        }
        let error = wait(world, 10);
        if !error.is_empty() {
            return error;
        }
    }
    let mut output = String::new();
    for (c, admitted) in world.admitted.iter().enumerate() {
        writeln!(output, "c{c}: {} tokens", admitted - before[c])
            .expect("writing to a string cannot fail");
    }
    output
}

fn state(world: &World) -> String {
    let mut output = format!("owner: {} tokens\n", world.balance());
    for c in 0..world.settings.centres {
        let state = if world.is_autonomous(c) {
            "alone"
        } else {
            "joined"
        };
        writeln!(output, "c{c}: {state}").expect("writing to a string cannot fail");
    }
    output
}
