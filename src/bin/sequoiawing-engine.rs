//! A simulated engine.

use sequoiawing::{
    daemon, runtime,
    standin::{Engine, EngineSettings},
};
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    daemon::run("sequoiawing-engine", "Stands in for an engine", serve)
}

async fn serve(settings: EngineSettings) -> io::Result<()> {
    let engine = Engine::start(settings).await?;
    runtime::wait_for_signal().await?;
    engine.drain().await;
    Ok(())
}
