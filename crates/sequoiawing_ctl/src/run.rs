use crate::{
    ApplyOptions, CtlError, Deployment, OperatorClient, OutputFormat, Report, Severity, TableFile,
    apply::{self, TableReport},
    budgets, command, controllers, dump, edit, explain, hosts, keys, render, status, upstreams,
};
use clap::ArgMatches;
use clap_complete::Shell;
use sequoiawing_link::ExplainRequest;
use sequoiawing_tables::{KeyId, Revision};
use sequoiawing_types::{Name, RequestId};
use serde_json::json;
use std::path::{Path, PathBuf};

/// Runs a parsed command line and prints its result.
///
/// # Errors
///
/// Returns the error of the command; [`CtlError::exit_code`] gives the exit code.
pub async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let format = output_format(matches);
    match matches.subcommand() {
        Some(("completions", sub)) => {
            print_completions(sub);
            Ok(())
        }
        Some(("check", sub)) => print_report(format, apply::check(path_arg(sub, "file"))),
        _ => run_operator(matches, format).await,
    }
}

/// Prints an error and its hint to standard error in the selected output format.
pub fn print_error(matches: &ArgMatches, error: &CtlError) {
    let hint = error.hint();
    if output_format(matches) == OutputFormat::Json {
        let value = json!({
            "error": error.to_string(), "exit_code": error.exit_code(), "hint": hint,
        });
        eprintln!("{value}");
        return;
    }
    eprintln!("sequoiactl: {error}");
    if let Some(hint) = hint {
        eprintln!("hint: {hint}");
    }
}

async fn run_operator(matches: &ArgMatches, format: OutputFormat) -> Result<(), CtlError> {
    let deployment: Deployment = sequoiawing_settings::read_file(path_arg(matches, "deployment"))?;
    let request_id = optional_arg(matches, "request-id").map(RequestId::from);
    let operator = OperatorClient::new(deployment).with_request_id(request_id);
    match matches.subcommand() {
        Some(("apply", sub)) => {
            let desired = apply::read_tables(path_arg(sub, "file"))?;
            let options = ApplyOptions {
                prune: sub.get_flag("prune"),
                dry_run: sub.get_flag("dry-run"),
                base: sub.get_one("base").copied().map(Revision),
            };
            print_report(format, apply::apply(&operator, &desired, options).await)
        }
        Some(("get", _)) => {
            let tables = operator.read().await?;
            print_report(format, Ok(TableReport(TableFile::from_tables(&tables))))
        }
        Some(("edit", sub)) => {
            print_report(format, edit::edit(&operator, sub.get_flag("prune")).await)
        }
        Some(("keys", sub)) => run_keys(&operator, format, sub).await,
        Some(("hosts", sub)) => run_hosts(&operator, format, sub).await,
        Some(("controllers", sub)) => run_controllers(&operator, format, sub).await,
        Some(("budgets", _)) => print_report(format, budgets::list(&operator).await),
        Some(("upstreams", _)) => print_report(format, upstreams::list(&operator).await),
        Some(("drain", sub)) => print_report(format, run_drain(&operator, sub).await),
        Some(("explain", sub)) => {
            let explanations =
                explain::explain(&operator, optional_arg(sub, "on"), explain_request(sub));
            print_report(format, explanations.await)
        }
        Some(("status", sub)) => run_status(&operator, format, sub).await,
        Some(("dump", sub)) => {
            print_report(format, dump::dump(&operator, string_arg(sub, "host")).await)
        }
        _ => Err(unknown_command()),
    }
}

async fn run_keys(
    operator: &OperatorClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("grant", sub)) => print_report(
            format,
            keys::grant(operator, string_arg(sub, "customer")).await,
        ),
        Some(("withdraw", sub)) => {
            print_report(format, operator.withdraw(string_arg(sub, "id")).await)
        }
        Some(("list", _)) => print_report(format, keys::list(operator).await),
        _ => Err(unknown_command()),
    }
}

async fn run_hosts(
    operator: &OperatorClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("list", _)) => print_report(format, hosts::list(operator).await),
        Some(("retire", sub)) => {
            let retired = hosts::retire(operator, string_arg(sub, "host"), sub.get_flag("dead"));
            print_report(format, retired.await)
        }
        _ => Err(unknown_command()),
    }
}

async fn run_controllers(
    operator: &OperatorClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("list", _)) => print_report(format, controllers::list(operator).await),
        Some(("seat", sub)) => print_report(
            format,
            controllers::add_voter(operator, string_arg(sub, "host")).await,
        ),
        Some(("remove", sub)) => print_report(
            format,
            controllers::remove_member(operator, string_arg(sub, "host")).await,
        ),
        _ => Err(unknown_command()),
    }
}

async fn run_drain(
    operator: &OperatorClient,
    matches: &ArgMatches,
) -> Result<upstreams::DrainReport, CtlError> {
    let name = string_arg(matches, "name");
    let undo = matches.get_flag("undo");
    if string_arg(matches, "kind") == "router" {
        upstreams::drain_router(operator, name, undo).await
    } else {
        upstreams::drain_upstream(operator, name, undo).await
    }
}

async fn run_status(
    operator: &OperatorClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let overview = status::status(operator).await?;
    let errors = overview.problems.iter();
    let errors = errors.filter(|p| p.severity == Severity::Error).count();
    print_report(format, Ok(overview))?;
    if matches.get_flag("check") && errors > 0 {
        return Err(CtlError::ProblemsFound(errors));
    }
    Ok(())
}

fn explain_request(matches: &ArgMatches) -> ExplainRequest {
    ExplainRequest {
        key: optional_arg(matches, "key").map(KeyId::from),
        customer: optional_arg(matches, "customer").map(Name::from),
        host: string_arg(matches, "host-header").to_owned(),
        path: string_arg(matches, "path").to_owned(),
        model: optional_arg(matches, "model").map(Name::from),
        tokens: matches.get_one("tokens").copied().unwrap_or(0),
    }
}

fn print_report<R>(format: OutputFormat, result: Result<R, CtlError>) -> Result<(), CtlError>
where
    R: Report,
{
    println!("{}", render(&result?, format)?);
    Ok(())
}

fn print_completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut stdout = std::io::stdout();
        clap_complete::generate(*shell, &mut command(), "sequoiactl", &mut stdout);
    }
}

fn output_format(matches: &ArgMatches) -> OutputFormat {
    if string_arg(matches, "output") == "json" {
        OutputFormat::Json
    } else {
        OutputFormat::Table
    }
}

fn unknown_command() -> CtlError {
    CtlError::Unexpected("no such command".to_owned())
}

fn optional_arg<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns the value of an argument that is required or has a default.
fn string_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    optional_arg(matches, name).unwrap_or("")
}

/// Returns the path in an argument that is required or has a default.
fn path_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}
