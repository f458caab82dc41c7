//! The processes and the folder of this run, which end with it in any case.

use std::{
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::Mutex,
    thread,
    time::Duration,
};

/// The time after which a run is ended; a script may take 120 s.
const LIMIT: Duration = Duration::from_secs(105);

static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn add(child: &Child) {
    RUNNING.lock().unwrap().push(child.id());
}

pub fn set_folder(folder: &Path) {
    *FOLDER.lock().unwrap() = Some(folder.to_owned());
}

/// Ends a process that this one started, and waits for its end.
pub fn end(child: &mut Child) {
    let mut running = RUNNING.lock().unwrap();
    child.kill().ok();
    child.wait().ok();
    running.retain(|id| *id != child.id());
}

/// Ends the run, and all that it started, if it takes too long: it then could not run.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        // Held to the end, so that no process is waited for, and its number used again.
        let running = RUNNING.lock().unwrap();
        for id in running.iter() {
            let command = format!("kill -KILL {id}");
            Command::new("sh").arg("-c").arg(command).status().ok();
        }
        if let Some(folder) = FOLDER.lock().unwrap().as_ref() {
            std::fs::remove_dir_all(folder).ok();
        }
        println!(
            "the case could not run: it took longer than {} s",
            LIMIT.as_secs()
        );
        std::process::exit(2);
    });
}
