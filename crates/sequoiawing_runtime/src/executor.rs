use async_executor::Executor;
use std::{future::Future, sync::OnceLock, thread};

/// A handle to a spawned task; dropping it cancels the task.
pub type Task<T> = async_executor::Task<T>;

static EXECUTOR: Executor<'static> = Executor::new();
static WORKERS: OnceLock<()> = OnceLock::new();

/// The maximum number of executor threads, and the number used if the available
/// parallelism is unknown.
const MAX_THREADS: usize = 4;

/// Spawns a task on the process-wide executor.
pub fn spawn<F>(future: F) -> Task<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    WORKERS.get_or_init(start_workers);
    EXECUTOR.spawn(future)
}

/// Blocks the calling thread until `future` completes, while the executor threads
/// run spawned tasks.
pub fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    WORKERS.get_or_init(start_workers);
    async_io::block_on(future)
}

fn start_workers() {
    let threads = thread::available_parallelism().map_or(MAX_THREADS, usize::from);
    for i in 0..threads.min(MAX_THREADS) {
        thread::Builder::new()
            .name(format!("worker-{i}"))
            .spawn(|| async_io::block_on(EXECUTOR.run(std::future::pending::<()>())))
            .expect("failed to start an executor thread");
    }
}
