//! The controller daemon, which stores the tables on a host with a disk.

use sequoiawing::{
    controller::{Controller, ControllerSettings},
    daemon, runtime,
};
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    daemon::run(
        "sequoiawing-controller",
        "Keeps the tables on a host with a disk",
        serve,
    )
}

async fn serve(settings: ControllerSettings) -> io::Result<()> {
    let controller = Controller::start(settings).await?;
    runtime::wait_for_signal().await?;
    controller.stop().await;
    Ok(())
}
