use crate::{
    ApplyMode, CtlError, Deployment, Operator, Output, Report, Severity, TableFile,
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
/// Returns what went wrong, with the exit code of the process.
pub async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let output = output(matches);
    match matches.subcommand() {
        Some(("completions", sub)) => {
            print_completions(sub);
            Ok(())
        }
        Some(("check", sub)) => show(output, apply::check(path(sub, "file"))),
        _ => run_operator(matches, output).await,
    }
}

/// Writes an error to standard error in the chosen form, with its hint.
pub fn print_error(matches: &ArgMatches, error: &CtlError) {
    let hint = error.hint();
    if output(matches) == Output::Json {
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

async fn run_operator(matches: &ArgMatches, output: Output) -> Result<(), CtlError> {
    let deployment: Deployment = sequoiawing_settings::read_file(path(matches, "deployment"))?;
    let request = option(matches, "request-id").map(RequestId::from);
    let operator = Operator::new(deployment).with_request(request);
    match matches.subcommand() {
        Some(("apply", sub)) => {
            let wanted = apply::read_tables(path(sub, "file"))?;
            let mode = ApplyMode {
                prune: sub.get_flag("prune"),
                dry: sub.get_flag("dry-run"),
                base: sub.get_one("base").copied().map(Revision),
            };
            show(output, apply::apply(&operator, &wanted, mode).await)
        }
        Some(("get", _)) => {
            let tables = operator.read().await?;
            show(output, Ok(TableReport(TableFile::from_tables(&tables))))
        }
        Some(("edit", sub)) => show(output, edit::edit(&operator, sub.get_flag("prune")).await),
        Some(("keys", sub)) => run_keys(&operator, output, sub).await,
        Some(("hosts", sub)) => run_hosts(&operator, output, sub).await,
        Some(("controllers", sub)) => run_controllers(&operator, output, sub).await,
        Some(("budgets", _)) => show(output, budgets::list(&operator).await),
        Some(("upstreams", _)) => show(output, upstreams::list(&operator).await),
        Some(("drain", sub)) => show(output, run_drain(&operator, sub).await),
        Some(("explain", sub)) => {
            let asked = explain::explain(&operator, option(sub, "on"), question(sub));
            show(output, asked.await)
        }
        Some(("status", sub)) => run_status(&operator, output, sub).await,
        Some(("dump", sub)) => show(output, dump::dump(&operator, text(sub, "host")).await),
        _ => Err(unknown()),
    }
}

async fn run_keys(
    operator: &Operator,
    output: Output,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("grant", sub)) => show(output, keys::grant(operator, text(sub, "customer")).await),
        Some(("withdraw", sub)) => show(output, operator.withdraw(text(sub, "id")).await),
        Some(("list", _)) => show(output, keys::list(operator).await),
        _ => Err(unknown()),
    }
}

async fn run_hosts(
    operator: &Operator,
    output: Output,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("list", _)) => show(output, hosts::list(operator).await),
        Some(("retire", sub)) => {
            let retired = hosts::retire(operator, text(sub, "host"), sub.get_flag("dead"));
            show(output, retired.await)
        }
        _ => Err(unknown()),
    }
}

async fn run_controllers(
    operator: &Operator,
    output: Output,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    match matches.subcommand() {
        Some(("list", _)) => show(output, controllers::list(operator).await),
        Some(("seat", sub)) => show(output, controllers::seat(operator, text(sub, "host")).await),
        Some(("remove", sub)) => show(
            output,
            controllers::remove(operator, text(sub, "host")).await,
        ),
        _ => Err(unknown()),
    }
}

async fn run_drain(
    operator: &Operator,
    matches: &ArgMatches,
) -> Result<upstreams::Drained, CtlError> {
    let name = text(matches, "name");
    let undo = matches.get_flag("undo");
    if text(matches, "kind") == "router" {
        upstreams::drain_router(operator, name, undo).await
    } else {
        upstreams::drain(operator, name, undo).await
    }
}

async fn run_status(
    operator: &Operator,
    output: Output,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let overview = status::status(operator).await?;
    let errors = overview.problems.iter();
    let errors = errors.filter(|p| p.severity == Severity::Error).count();
    show(output, Ok(overview))?;
    if matches.get_flag("check") && errors > 0 {
        return Err(CtlError::Unwell(errors));
    }
    Ok(())
}

fn question(matches: &ArgMatches) -> ExplainRequest {
    ExplainRequest {
        key: option(matches, "key").map(KeyId::from),
        customer: option(matches, "customer").map(Name::from),
        host: text(matches, "host-header").to_owned(),
        path: text(matches, "path").to_owned(),
        model: option(matches, "model").map(Name::from),
        tokens: matches.get_one("tokens").copied().unwrap_or(0),
    }
}

fn show<R>(output: Output, result: Result<R, CtlError>) -> Result<(), CtlError>
where
    R: Report,
{
    println!("{}", render(&result?, output)?);
    Ok(())
}

fn print_completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut out = std::io::stdout();
        clap_complete::generate(*shell, &mut command(), "sequoiactl", &mut out);
    }
}

fn output(matches: &ArgMatches) -> Output {
    if text(matches, "output") == "json" {
        Output::Json
    } else {
        Output::Table
    }
}

fn unknown() -> CtlError {
    CtlError::Unexpected("no such command".to_owned())
}

fn option<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns an argument that is required or has a default.
fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    option(matches, name).unwrap_or("")
}

/// Returns a file that is required or has a default.
fn path<'a>(matches: &'a ArgMatches, name: &str) -> &'a Path {
    matches
        .get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}
