//! A simulated service without models.

use sequoiawing::{
    daemon, runtime,
    standin::{Service, ServiceSettings},
};
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    daemon::run(
        "sequoiawing-service",
        "Stands in for a plain service",
        serve,
    )
}

async fn serve(settings: ServiceSettings) -> io::Result<()> {
    let service = Service::start(settings).await?;
    runtime::wait_for_signal().await?;
    service.drain().await;
    Ok(())
}
