//! Runs the real programs as processes, injects faults from a seed and judges.

use clap::{Arg, ArgAction, Command, value_parser};
use soak::{Settings, Size};
use std::{path::PathBuf, process::ExitCode};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let run = Command::new("run")
        .about("Plays one seed")
        .arg(number("seed", "1", "The seed of the faults"))
        .arg(number("gateways", "5", "The number of gateways"))
        .arg(number(
            "runners",
            "6",
            "The number of runners of two services",
        ))
        .arg(number("callers", "40", "The number of callers"))
        .arg(number(
            "seconds",
            "50",
            "The length of the part with callers",
        ))
        .arg(
            Arg::new("brittle")
                .long("brittle")
                .action(ArgAction::SetTrue)
                .help("Whether runners fall over at times when they reject too much"),
        )
        .arg(
            Arg::new("backoffs")
                .long("backoffs")
                .action(ArgAction::SetTrue)
                .help("Whether runners at times want no requests for some seconds"),
        )
        .arg(
            Arg::new("departures")
                .long("departures")
                .action(ArgAction::SetTrue)
                .help("Whether runners leave by a call at times, and controllers are killed then"),
        )
        .arg(
            Arg::new("sparse")
                .long("sparse")
                .action(ArgAction::SetTrue)
                .help("Whether the IDs of events are not consecutive"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_parser(value_parser!(PathBuf))
                .help("The program sequoiawing-platform, if not beside this one"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_parser(value_parser!(PathBuf))
                .help("The build of it that runs until a process is started again"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Where a folder for the seed is made, and kept if a promise was broken"),
        );
    let runner = Command::new("runner")
        .hide(true)
        .arg(Arg::new("settings").required(true));
    let leash = Command::new("leash")
        .hide(true)
        .arg(Arg::new("program").required(true))
        .arg(Arg::new("args").num_args(0..).last(true));
    Command::new("soak")
        .about("Injects faults into real processes and judges what callers and runners see")
        .subcommand_required(true)
        .subcommands([run, runner, leash])
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("runner", args)) => {
            let settings = args.get_one::<String>("settings").expect("an argument");
            soak::run_runner(settings).map(|()| true)
        }
        Some(("leash", args)) => {
            let program = args.get_one::<String>("program").expect("an argument");
            let args = args.get_many::<String>("args").unwrap_or_default();
            Err(soak::leash(program, &args.cloned().collect::<Vec<_>>()))
        }
        Some((_, args)) => {
            let number = |name: &str| *args.get_one::<u64>(name).expect("a default");
            let count = |name| usize::try_from(number(name)).unwrap_or(1).max(1);
            let beside = || {
                let own = std::env::current_exe().unwrap_or_default();
                own.with_file_name("sequoiawing-platform")
            };
            soak::run(&Settings {
                seed: number("seed"),
                size: Size {
                    controllers: 3,
                    gateways: count("gateways"),
                    runners: count("runners").max(2),
                    length: number("seconds") * 1000,
                    is_brittle: args.get_flag("brittle"),
                    has_backoffs: args.get_flag("backoffs"),
                    has_departures: args.get_flag("departures"),
                    has_sparse_ids: args.get_flag("sparse"),
                },
                callers: count("callers"),
                platform: args
                    .get_one::<PathBuf>("platform")
                    .cloned()
                    .unwrap_or_else(beside),
                former: args.get_one::<PathBuf>("former").cloned(),
                logs: args.get_one::<PathBuf>("logs").expect("a default").clone(),
            })
        }
        None => unreachable!("a subcommand is required"),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}
