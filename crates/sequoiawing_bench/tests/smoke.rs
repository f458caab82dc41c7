//! Runs a short trace twice. Checks that both runs give the same report and
//! that no invariant is violated.

use sequoiawing_bench::{
    Deployment, Plan, Policy, Scenario, SimulationSettings, draw_cold_starts, draw_idle_hours,
    write_table,
};
use std::time::Duration;

fn plan(scenario: &'static str) -> Plan {
    let scenarios = Scenario::ALL.into_iter();
    let scenarios = scenarios.filter(|(name, _)| *name == scenario).collect();
    let policies = Policy::ALL.into_iter();
    let is_compared = |name: &str| name == "chosen" || name == "first-come";
    Plan {
        deployments: vec![Deployment::inkveld()],
        scenarios,
        policies: policies.filter(|(name, _)| is_compared(name)).collect(),
        seeds: vec![1],
        duration: Duration::from_secs(8),
        settings: SimulationSettings::default(),
    }
}

fn check(scenario: &'static str) {
    let first = plan(scenario).run();
    let second = plan(scenario).run();
    assert_eq!(write_table(&first), write_table(&second));
    for figures in first.iter().flat_map(|c| &c.figures) {
        let violations = [
            figures.overcommit,
            figures.overshoot,
            figures.surplus,
            figures.doubles,
            figures.others,
        ];
        assert_eq!(violations, [0; 5], "{scenario} {}", figures.policy);
        assert!(figures.total.cold.count > 0, "{scenario} had no cold start");
    }
    let folder = std::env::temp_dir();
    for name in ["cold", "idle"] {
        let path = folder.join(format!(
            "sequoiawing-{}-{scenario}-{name}.svg",
            std::process::id()
        ));
        let drawn = match name {
            "cold" => draw_cold_starts(&path, &first),
            _ => draw_idle_hours(&path, &first),
        };
        drawn.expect("the plot can be drawn");
        let text = std::fs::read_to_string(&path).expect("the plot was written");
        std::fs::remove_file(&path).ok();
        assert!(text.contains("<svg"));
    }
}

macro_rules! smoke {
    ($($name:ident: $scenario:literal,)*) => {
        $(
            #[test]
            fn $name() {
                check($scenario);
            }
        )*
    };
}

smoke! {
    a_burst_is_measured: "burst",
    deaths_are_measured: "deaths",
}
