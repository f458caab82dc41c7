use crate::{Admitted, Throttle, ThrottleSettings};
use logforth::{
    Append, Diagnostic, Error,
    append::{Stdout, asynchronous::AsyncBuilder},
    filter::rustlog::RustLogFilterBuilder,
    layout::{JsonLayout, TextLayout},
    record::{Level, Record},
};
use parking_lot::Mutex;
use sequoiawing_types::Time;
use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

/// What is logged: all parts from `info` on, but for the calls between
/// processes, which would be several lines a second.
const FILTER: &str = "info,tarpc=warn";

/// The shape of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// A line for people.
    #[default]
    Text,
    /// A JSON object for collectors.
    Json,
}

/// The lines that may wait to be written; more are dropped, so that a slow
/// reader of the logs never holds up a request.
const WAITING_LINES: usize = 4_096;

/// Starts logging to standard output at level `info` and above.
///
/// Warnings and errors of one place are shown a few times in ten seconds, other
/// lines some hundred times a second; the next one shown says how many were
/// left out. Nothing waits for the reader of the logs. A second call in one process
/// keeps the first set-up, so that the embedded demo can host several daemons.
pub fn start_logging(format: LogFormat) {
    let stdout = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder();
    let filter = RustLogFilterBuilder::from_spec(FILTER).build();
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(WAITING_LINES))
        .overflow_drop_incoming()
        .append(Throttled::new(stdout))
        .build();
    let applied = builder
        .dispatch(|d| d.filter(filter).append(append))
        .try_apply();
    if applied.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// How long the end of a process waits for lines that are not written yet; a
/// reader that stands still must not hold it up.
const LAST_LINES_LIMIT: Duration = Duration::from_millis(500);

/// Writes the lines that still wait, such as the one that says how a process
/// ended, as far as the reader of the logs takes them at once.
pub fn finish_logging() {
    let (sender, written) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        sender.send(()).ok();
    });
    if written.recv_timeout(LAST_LINES_LIMIT).is_err() {
        eprintln!("The last log lines may be lost: their reader does not take them.");
    }
}

/// The target and line of a log statement.
type Place = (String, Option<u32>);

/// The lines of one place, other than warnings and errors, that are shown in
/// ten seconds: some for each request of a busy host, and bounded in a flood.
const PLACE_LINES: u32 = 3_000;

/// Leaves out lines that repeat.
#[derive(Debug)]
struct Throttled {
    inner: Stdout,
    faults: Mutex<Throttle<Place>>,
    lines: Mutex<Throttle<Place>>,
    start: Instant,
}

impl Throttled {
    fn new(inner: Stdout) -> Self {
        let bounds = ThrottleSettings::default();
        let lines = ThrottleSettings {
            burst: PLACE_LINES,
            ..bounds.clone()
        };
        Self {
            inner,
            faults: Mutex::new(Throttle::new(bounds)),
            lines: Mutex::new(Throttle::new(lines)),
            start: Instant::now(),
        }
    }

    fn admit(&self, record: &Record<'_>) -> Admitted {
        let throttle = if record.level() < Level::Warn {
            &self.lines
        } else {
            &self.faults
        };
        let place = (record.target().to_owned(), record.line());
        let now = Time::ZERO + self.start.elapsed();
        throttle.lock().admit(now, place)
    }
}

impl Append for Throttled {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.admit(record) {
            Admitted::Omitted => Ok(()),
            Admitted::Shown { omitted: 0 } => self.inner.append(record, diags),
            Admitted::Shown { omitted } => {
                let text = format!("{} ({omitted} like it were left out.)", record.payload());
                let builder = record.to_builder();
                self.inner
                    .append(&builder.payload(format_args!("{text}")).build(), diags)
            }
        }
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
