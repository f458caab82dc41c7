use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::path::PathBuf;

/// The exit codes, shown at the end of the help.
const EXIT_CODE_HELP: &str = "\
Exit codes:
  0  done
  1  unexpected failure
  2  wrong usage, or a file or the tables after the change are not sound
  3  conflict: another operator changed the tables in the meantime
  4  the controllers cannot be reached or cannot carry the command out
  5  some hosts have not confirmed
  6  `status --check` found an error
  7  whether the change was made is not known; send it again with --request-id";

/// Returns the command line of `sequoiactl`.
pub fn command() -> Command {
    Command::new("sequoiactl")
        .about("Operates a sequoiawing deployment")
        .after_help(EXIT_CODE_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(apply_command())
        .subcommand(check_command())
        .subcommand(Command::new("get").about("Prints the tables as a file for apply"))
        .subcommand(edit_command())
        .subcommand(keys_command())
        .subcommand(hosts_command())
        .subcommand(controllers_command())
        .subcommand(Command::new("upstreams").about("Lists the upstreams that are alive"))
        .subcommand(Command::new("budgets").about("Lists rates, balances and cut-off shares"))
        .subcommand(drain_command())
        .subcommand(explain_command())
        .subcommand(status_command())
        .subcommand(dump_command())
        .subcommand(completions_command())
}

fn global_args() -> [Arg; 3] {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .short('d')
        .env("SEQUOIAWING_DEPLOYMENT")
        .hide_env_values(true)
        .default_value("deployment.json")
        .value_parser(value_parser!(PathBuf))
        .global(true)
        .help("File that names the controllers, the routers and the secret");
    let output = Arg::new("output")
        .long("output")
        .short('o')
        .value_parser(["table", "json"])
        .default_value("table")
        .global(true)
        .help("Form of the output");
    let request = Arg::new("request-id")
        .long("request-id")
        .global(true)
        .help("Identifier of a change whose reply was lost, to send it again");
    [deployment, output, request]
}

fn apply_command() -> Command {
    let dry = flag_arg("dry-run", "Shows the changes without making them");
    let base = Arg::new("base")
        .long("base")
        .value_parser(value_parser!(u64))
        .help("Revision that the file was made from; a conflict when it is no longer in force");
    Command::new("apply")
        .about("Makes the tables what a file says, and shows each field that differs")
        .args([file_arg(), prune_arg(), dry, base])
}

fn check_command() -> Command {
    Command::new("check")
        .about("Checks a file that holds all tables, without a deployment")
        .arg(file_arg())
}

fn edit_command() -> Command {
    Command::new("edit")
        .about("Opens the tables in $VISUAL or $EDITOR and applies what was saved")
        .arg(prune_arg())
}

fn keys_command() -> Command {
    let customer = required_arg("customer", "Customer of the key");
    let id = required_arg("id", "Public part of the key");
    let grant = Command::new("grant").about("Grants a key and shows it once");
    let withdraw = Command::new("withdraw").about("Withdraws a key everywhere, for good");
    let list = Command::new("list").about("Lists the granted keys");
    Command::new("keys")
        .about("Grants, withdraws and lists keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(grant.arg(customer))
        .subcommand(withdraw.arg(id))
        .subcommand(list)
}

fn hosts_command() -> Command {
    let host = required_arg("host", "Host whose router leaves for good");
    let dead = flag_arg(
        "dead",
        "Vouches that the host does not run any more and cannot come back",
    );
    let list = Command::new("list").about("Lists controllers and routers");
    let retire = Command::new("retire").about("Removes a router from its data centre's cell");
    Command::new("hosts")
        .about("Lists and retires hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list)
        .subcommand(retire.args([host, dead]))
}

fn controllers_command() -> Command {
    let host = || required_arg("host", "Host of the controller");
    let list = Command::new("list").about("Lists the voters and learners of the log");
    let seat = Command::new("seat").about("Lets a host's controller vote once it has caught up");
    let remove = Command::new("remove").about("Takes a controller out of the log for good");
    Command::new("controllers")
        .about("Lists, seats and removes controllers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list)
        .subcommand(seat.arg(host()))
        .subcommand(remove.arg(host()))
}

fn drain_command() -> Command {
    let kind = Arg::new("kind")
        .required(true)
        .value_parser(["router", "upstream"])
        .help("What is drained");
    let name = required_arg("name", "Host of the router, or name of the upstream");
    let undo = flag_arg("undo", "Lets new work come again");
    Command::new("drain")
        .about("Keeps new work from an upstream, or callers from a router, before it is stopped")
        .args([kind, name, undo])
}

fn explain_command() -> Command {
    let optional_arg =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let path = required_arg("path", "Path of the request");
    let host = optional_arg("host-header", "Host header of the request").default_value("");
    let tokens = optional_arg("tokens", "Tokens of prompt and answer")
        .value_parser(value_parser!(u64))
        .default_value("0");
    let key = optional_arg("key", "Public part of the key").conflicts_with("customer");
    Command::new("explain")
        .about("Says why a request would be admitted or refused, and where it would go")
        .args([path, host, tokens, key])
        .arg(optional_arg("customer", "Customer for whom it runs"))
        .arg(optional_arg("model", "Model, or model:adapter"))
        .arg(optional_arg(
            "on",
            "Router that is asked; all when none is named",
        ))
}

fn status_command() -> Command {
    let check = flag_arg("check", "Exits with 6 when an error is found");
    Command::new("status")
        .about("Shows what is wrong, and every host")
        .arg(check)
}

fn dump_command() -> Command {
    Command::new("dump")
        .about("Prints the state of a host's processes, without secrets")
        .arg(required_arg("host", "Host of the processes"))
}

fn completions_command() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(value_parser!(Shell))
        .help("Shell");
    Command::new("completions")
        .about("Prints the completions for a shell")
        .arg(shell)
}

fn file_arg() -> Arg {
    Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("File with customers, pools and routes")
}

fn prune_arg() -> Arg {
    flag_arg("prune", "Deletes what the file does not have")
}

fn required_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}
