//! The router daemon, which serves callers on an entry host.

use sequoiawing::{
    daemon,
    router::{Router, RouterSettings},
    runtime,
};
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    daemon::run(
        "sequoiawing-router",
        "Serves callers on an entry host",
        serve,
    )
}

async fn serve(settings: RouterSettings) -> io::Result<()> {
    let router = Router::start(settings).await?;
    runtime::wait_for_signal().await?;
    router.stop().await;
    Ok(())
}
