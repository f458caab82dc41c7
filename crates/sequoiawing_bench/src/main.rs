//! Runs the policy benchmark and reports its figures.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sequoiawing_bench::{
    Comparison, Deployment, Plan, Policy, Scenario, SimulationSettings, draw_cold_starts,
    draw_idle_hours, write_breakdowns, write_table,
};
use std::{
    error::Error,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let comparisons = plan(&matches).run();
    print!("{}", write_table(&comparisons));
    if let Some(count) = matches.get_one::<u32>("slowest") {
        let count = usize::try_from(*count).unwrap_or(usize::MAX);
        print!("{}", write_breakdowns(&comparisons, count));
    }
    let Some(out_dir) = matches.get_one::<PathBuf>("out") else {
        return ExitCode::SUCCESS;
    };
    match write_report(out_dir, &comparisons) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sequoiawing-bench: {}: {error}", out_dir.display());
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let scenarios: Vec<&str> = Scenario::ALL.iter().map(|(name, _)| *name).collect();
    let policies: Vec<&str> = Policy::ALL.iter().map(|(name, _)| *name).collect();
    let many = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .num_args(1..)
            .action(ArgAction::Append)
            .help(help)
    };
    let defaults = SimulationSettings::default();
    let idle_factor = defaults.keep_alive.idle_factor.to_string();
    Command::new("sequoiawing-bench")
        .about("Measures the policies beside their baselines in virtual time")
        .arg(
            many("deployment", "Deployments to measure; both by default")
                .value_parser(["inkveld", "kommentarwerk"]),
        )
        .arg(many("scenario", "Scenarios to run; all by default").value_parser(scenarios))
        .arg(many("policy", "Policies to run; all by default").value_parser(policies))
        .arg(many("seed", "Seeds; 1 by default").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("secs")
                .long("secs")
                .default_value("300")
                .value_parser(value_parser!(u64).range(1..))
                .help("Length of each trace in seconds; that of a day is six times as long"),
        )
        .arg(
            Arg::new("patience")
                .long("patience")
                .default_value(idle_factor)
                .value_parser(value_parser!(u32))
                .help("How many times its load time a model may idle to avoid a load"),
        )
        .arg(
            Arg::new("slowest")
                .long("slowest")
                .value_parser(value_parser!(u32))
                .help("Also tells where the time of so many slow cold starts went, at most 25"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for the report as JSON and the plots as SVG"),
        )
}

fn plan(matches: &ArgMatches) -> Plan {
    let is_selected = |key: &str, name: &str| {
        let selected = matches.get_many::<String>(key);
        selected.is_none_or(|mut names| names.any(|n| n == name))
    };
    let mut settings = SimulationSettings::default();
    if let Some(idle_factor) = matches.get_one("patience") {
        settings.keep_alive.idle_factor = *idle_factor;
    }
    let deployments = [Deployment::inkveld(), Deployment::kommentarwerk()];
    let deployments = deployments.into_iter();
    let scenarios = Scenario::ALL.into_iter();
    let policies = Policy::ALL.into_iter();
    let seeds = matches
        .get_many("seed")
        .map(|seeds| seeds.copied().collect());
    let secs = matches.get_one("secs").copied().unwrap_or_default();
    Plan {
        deployments: deployments
            .filter(|d| is_selected("deployment", d.name.as_str()))
            .collect(),
        scenarios: scenarios
            .filter(|(n, _)| is_selected("scenario", n))
            .collect(),
        policies: policies.filter(|(n, _)| is_selected("policy", n)).collect(),
        seeds: seeds.unwrap_or_else(|| vec![1]),
        duration: Duration::from_secs(secs),
        settings,
    }
}

fn write_report(out_dir: &Path, comparisons: &[Comparison]) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(out_dir)?;
    let json = serde_json::to_string_pretty(comparisons)?;
    std::fs::write(out_dir.join("bench.json"), json)?;
    std::fs::write(out_dir.join("bench.txt"), write_table(comparisons))?;
    draw_cold_starts(&out_dir.join("cold-starts.svg"), comparisons)?;
    draw_idle_hours(&out_dir.join("idle-hours.svg"), comparisons)
}
