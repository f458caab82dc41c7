//! The command-line tool for operators.

use sequoiawing::{ctl, runtime};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = ctl::command().get_matches();
    match runtime::run(ctl::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            ctl::print_error(&matches, &error);
            ExitCode::from(error.exit_code())
        }
    }
}
