use crate::{Admission, Throttle, ThrottleSettings};
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

/// The log filter: `info` and above, except for calls between processes, which
/// would log several lines a second at `info`.
const FILTER: &str = "info,tarpc=warn";

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// The maximum number of buffered log lines. Further lines are dropped, so that a
/// slow log reader never blocks a request.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging to standard output at level `info` and above.
///
/// Lines are rate-limited per log statement: warnings and errors to a few in ten
/// seconds, other lines to a few hundred a second. The next line of the statement
/// gives the number of suppressed lines. Logging never blocks on the log reader.
/// Further calls in the same process have no effect, so that the embedded demo can
/// host several daemons.
pub fn start_logging(format: LogFormat) {
    let stdout = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder();
    let filter = RustLogFilterBuilder::from_spec(FILTER).build();
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(ThrottledAppend::new(stdout))
        .build();
    let applied = builder
        .dispatch(|d| d.filter(filter).append(append))
        .try_apply();
    if applied.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// How long [`flush_logs`] waits. A stalled log reader must not block the exit
/// of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes the buffered lines, for example the reason why the process exits.
///
/// Gives up after 500 ms if the log reader has stalled.
pub fn flush_logs() {
    let (sender, flushed) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        sender.send(()).ok();
    });
    if flushed.recv_timeout(FLUSH_TIMEOUT).is_err() {
        eprintln!(
            "Log lines may be lost: standard output did not accept them within {FLUSH_TIMEOUT:?}."
        );
    }
}

/// The target and source line of a log statement.
type Callsite = (String, Option<u32>);

/// The maximum number of lines below `warn` that one log statement writes in ten
/// seconds. It allows several lines for each request on a busy host, but limits
/// bursts.
const MAX_CALLSITE_LINES: u32 = 3_000;

/// A log appender that rate-limits repeated lines.
#[derive(Debug)]
struct ThrottledAppend {
    inner: Stdout,
    faults: Mutex<Throttle<Callsite>>,
    lines: Mutex<Throttle<Callsite>>,
    start: Instant,
}

impl ThrottledAppend {
    fn new(inner: Stdout) -> Self {
        let settings = ThrottleSettings::default();
        let lines = ThrottleSettings {
            burst: MAX_CALLSITE_LINES,
            ..settings.clone()
        };
        Self {
            inner,
            faults: Mutex::new(Throttle::new(settings)),
            lines: Mutex::new(Throttle::new(lines)),
            start: Instant::now(),
        }
    }

    fn admit(&self, record: &Record<'_>) -> Admission {
        let throttle = if record.level() < Level::Warn {
            &self.lines
        } else {
            &self.faults
        };
        let callsite = (record.target().to_owned(), record.line());
        let now = Time::ZERO + self.start.elapsed();
        throttle.lock().admit(now, callsite)
    }
}

impl Append for ThrottledAppend {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.admit(record) {
            Admission::Suppressed => Ok(()),
            Admission::Allowed { suppressed: 0 } => self.inner.append(record, diags),
            Admission::Allowed { suppressed } => {
                let text = format!(
                    "{} ({suppressed} similar lines were suppressed.)",
                    record.payload()
                );
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
