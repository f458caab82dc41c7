//! Runs `sequoiactl` against a deployment.

use super::{deployment::Deployment, process::program};
use std::{
    fs,
    process::{Command, Output},
};

impl Deployment {
    /// Runs `sequoiactl` and returns its standard output.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub(crate) fn ctl(&self, args: &[&str]) -> String {
        let output = self.run_ctl(args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "sequoiactl {args:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Runs `sequoiactl` and returns its exit code and its standard error.
    pub(crate) fn try_ctl(&self, args: &[&str]) -> (Option<i32>, String) {
        let output = self.run_ctl(args);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), errors)
    }

    fn run_ctl(&self, args: &[&str]) -> Output {
        let mut command = Command::new(program("sequoiactl"));
        command.current_dir(&self.folder).args(args);
        command.output().expect("sequoiactl runs")
    }

    /// Runs `sequoiactl edit` with a shell script as editor and returns its exit
    /// code and its standard error.
    ///
    /// In the script, `$CTL` is `sequoiactl` and `$1` the file to edit.
    pub(crate) fn ctl_edit(&self, script: &str) -> (Option<i32>, String) {
        let file = self.folder.join("editor.sh");
        fs::write(&file, script).expect("the script is writable");
        let output = Command::new(program("sequoiactl"))
            .current_dir(&self.folder)
            .arg("edit")
            .env_remove("VISUAL")
            .env("EDITOR", format!("sh {}", file.display()))
            .env("CTL", program("sequoiactl"))
            .output()
            .expect("sequoiactl runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), errors)
    }
}
