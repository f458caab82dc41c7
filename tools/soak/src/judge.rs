//! Holds what callers received against what runners received and made.

mod backoffs;
mod budget;
mod departures;
mod falls;
mod stops;
mod streams;

use crate::{
    record::{End, Record, Sent},
    runner::Brittle,
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
};

/// A promise of the users' pages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// Repeats stay within the budget of all gateways, attempts and deadlines.
    Budget,
    /// Streams have no gaps, repeats, mixed versions or early ends.
    Order,
    /// A success is the whole answer of a runner to this request.
    Mixed,
    /// A refusal has not run.
    Refused,
    /// What may run once runs once at most.
    Twice,
    /// Brittle runners are not made to fall over.
    Limit,
    /// A gateway that is told to end answers what it has passed on.
    Lost,
    /// A runner whose departure was acknowledged gets no requests.
    Drain,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", format!("{self:?}").to_uppercase())
    }
}

/// The bounds that the promises name.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The repeats allowed for each request.
    pub ratio: f64,
    /// The repeats allowed in each window in addition.
    pub slack: f64,
    /// The window of the retry budget, in milliseconds.
    pub window: u64,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What happened to which request, with figures.
    pub what: String,
}

/// What was judged.
#[derive(Debug, Default)]
pub struct Verdict {
    /// The number of checks by promise.
    pub checks: BTreeMap<Promise, u64>,
    /// The promises that were broken.
    pub findings: Vec<Finding>,
    /// Figures that are no promise, such as the most repeats in a window.
    pub notes: Vec<String>,
}

impl Verdict {
    fn check(&mut self, promise: Promise) {
        *self.checks.entry(promise).or_default() += 1;
    }

    fn find(&mut self, promise: Promise, what: String) {
        self.findings.push(Finding { promise, what });
    }
}

/// A request as it reached a runner.
struct Arrival<'a> {
    at: u64,
    attempt: &'a str,
    service: &'a str,
    runner: &'a str,
    deadline: Option<u64>,
    ran: bool,
    status: u16,
    /// The time for which the runner wanted no requests, in milliseconds.
    retry_after: Option<u64>,
}

/// What a caller received for one try.
#[derive(Default)]
struct Answer<'a> {
    head: Option<(u16, bool, Option<&'a str>)>,
    events: Vec<(u64, &'a str)>,
    end: Option<(u64, End, &'a str)>,
}

/// The records, by try.
#[derive(Default)]
struct Case<'a> {
    sent: Vec<&'a Sent>,
    by_attempt: HashMap<&'a str, &'a Sent>,
    answers: HashMap<&'a str, Answer<'a>>,
    arrivals: Vec<Arrival<'a>>,
    /// The indices of arrivals, by try.
    arrived: HashMap<&'a str, Vec<usize>>,
    /// Text and runner of what runners made, by try.
    made: HashMap<&'a str, Vec<(&'a str, &'a str)>>,
    /// Tries and runners whose answer had neither length nor chunks.
    unframed: HashSet<(&'a str, &'a str)>,
    /// Tries and runners that ended the stream themselves before its last event.
    stopped: HashSet<(&'a str, &'a str)>,
    /// When processes were killed, stopped or started.
    faults: Vec<(u64, &'a str)>,
    /// When gateways were told to end; these are among the faults.
    stops: Vec<(u64, &'a str)>,
    falls: Vec<Fall<'a>>,
    /// When the departures of runners were acknowledged.
    departures: Vec<(u64, &'a str)>,
}

/// A runner that fell over.
struct Fall<'a> {
    at: u64,
    runner: &'a str,
    service: &'a str,
    brittle: Brittle,
    rejected: &'a [String],
}

impl<'a> Case<'a> {
    fn new(records: &'a [Record]) -> Self {
        let mut case = Self::default();
        for record in records {
            case.add(record);
        }
        case.sent.sort_by_key(|s| s.at);
        case.arrivals.sort_by_key(|a| a.at);
        for (i, arrival) in case.arrivals.iter().enumerate() {
            case.arrived.entry(arrival.attempt).or_default().push(i);
        }
        case
    }

    fn add(&mut self, record: &'a Record) {
        match record {
            Record::Sent(sent) => {
                self.sent.push(sent);
                self.by_attempt.insert(&sent.attempt, sent);
            }
            Record::Head {
                attempt,
                status,
                is_sealed,
                echo,
            } => {
                self.answers.entry(attempt).or_default().head =
                    Some((*status, *is_sealed, echo.as_deref()));
            }
            Record::Event { at, attempt, text } => {
                let answer = self.answers.entry(attempt).or_default();
                answer.events.push((*at, text));
            }
            Record::Ended {
                at,
                attempt,
                end,
                body,
            } => {
                self.answers.entry(attempt).or_default().end = Some((*at, *end, body));
            }
            Record::Arrival {
                at,
                attempt,
                service,
                runner,
                deadline,
                ran,
                status,
                retry_after,
                ..
            } => self.arrivals.push(Arrival {
                at: *at,
                attempt,
                service,
                runner,
                deadline: *deadline,
                ran: *ran,
                status: *status,
                retry_after: *retry_after,
            }),
            Record::Unframed { attempt, runner } => {
                self.unframed.insert((attempt, runner));
            }
            Record::Stopped { attempt, runner } => {
                self.stopped.insert((attempt, runner));
            }
            Record::Made {
                attempt,
                runner,
                text,
            } => self.made.entry(attempt).or_default().push((text, runner)),
            Record::Fell {
                at,
                runner,
                service,
                brittle,
                rejected,
            } => {
                self.faults.push((*at, runner));
                self.falls.push(Fall {
                    at: *at,
                    runner,
                    service,
                    brittle: *brittle,
                    rejected,
                });
            }
            Record::Departed { at, runner } => self.departures.push((*at, runner)),
            Record::Fault { at, process, what } => {
                let process = process.as_deref();
                self.faults.extend(process.map(|p| (*at, p)));
                let is_stop = what.starts_with("TermGateway");
                self.stops
                    .extend(process.filter(|_| is_stop).map(|p| (*at, p)));
            }
        }
    }

    /// Returns whether a process was killed, stopped or started from `from` to `to`.
    fn is_disturbed(&self, process: &str, from: u64, to: u64) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|(at, known)| *known == process && (from..=to).contains(at))
    }

    /// Returns the arrivals of a try, in the order of time.
    fn arrivals_of(&self, attempt: &str) -> impl Iterator<Item = &Arrival<'a>> {
        let indices = self.arrived.get(attempt).into_iter().flatten();
        indices.map(|i| &self.arrivals[*i])
    }
}

/// Judges the records of a run.
pub fn judge(records: &[Record], bounds: &Bounds) -> Verdict {
    let case = Case::new(records);
    let mut verdict = Verdict::default();
    budget::judge(&case, bounds, &mut verdict);
    streams::judge(&case, &mut verdict);
    falls::judge(&case, &mut verdict);
    backoffs::judge(&case, &mut verdict);
    stops::judge(&case, &mut verdict);
    departures::judge(&case, &mut verdict);
    for sent in &case.sent {
        judge_runs(&case, sent, &mut verdict);
        judge_answer(&case, sent, &mut verdict);
    }
    verdict
}

/// Judges whether a request that may run once ran twice, or was refused and ran.
fn judge_runs(case: &Case<'_>, sent: &Sent, verdict: &mut Verdict) {
    if sent.is_repeatable {
        return;
    }
    let attempt = &sent.attempt;
    let runners: Vec<_> = case.arrivals_of(attempt).filter(|a| a.ran).collect();
    let names: Vec<_> = runners.iter().map(|a| a.runner).collect();
    verdict.check(Promise::Twice);
    if runners.len() > 1 {
        let what = format!("{attempt} may run once and ran at {}", names.join(", "));
        verdict.find(Promise::Twice, what);
    }
    let head = case.answers.get(attempt.as_str()).and_then(|a| a.head);
    let Some((status @ (429 | 503 | 408 | 421), ..)) = head else {
        return;
    };
    verdict.check(Promise::Refused);
    if !runners.is_empty() {
        let what = format!("{attempt} was answered {status} and ran at {}", names[0]);
        verdict.find(Promise::Refused, what);
    }
}

/// Judges whether an answer that is no stream is what a runner answered to it.
fn judge_answer(case: &Case<'_>, sent: &Sent, verdict: &mut Verdict) {
    let attempt = &sent.attempt;
    let Some(answer) = case.answers.get(attempt.as_str()) else {
        return;
    };
    let Some((status, is_sealed, echo)) = answer.head else {
        return;
    };
    verdict.check(Promise::Mixed);
    if echo.is_some_and(|echo| echo != attempt) {
        let what = format!("{attempt} got an answer to {}", echo.unwrap_or_default());
        verdict.find(Promise::Mixed, what);
    }
    let is_success = (200..300).contains(&status);
    if is_success && !is_sealed {
        let what = format!("{attempt} got {status} without a runner's signature");
        verdict.find(Promise::Mixed, what);
    }
    let gave_it = case.arrivals_of(attempt).any(|a| a.status == status);
    if is_sealed && !gave_it {
        let what = format!("{attempt} got {status}, which no runner answered");
        verdict.find(Promise::Mixed, what);
    }
    let Some((_, End::Whole, body)) = answer.end else {
        return;
    };
    let mut made = case.made.get(attempt.as_str()).into_iter().flatten();
    if is_success && !sent.is_stream && !made.any(|(text, _)| *text == body) {
        let what = format!("{attempt} got a body that no runner made: {body:?}");
        verdict.find(Promise::Mixed, what);
    }
}
