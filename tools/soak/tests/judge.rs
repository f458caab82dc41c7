//! The judge sees a planted fault of each kind, and none in a clean run.

use soak::{Bounds, Brittle, End, Promise, Record, Sent, Verdict, judge};

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 10.0,
    window: 10_000,
};

/// Records, built line by line.
#[derive(Default)]
struct Case(Vec<Record>);

impl Case {
    fn sent(mut self, at: u64, attempt: &str, change: impl FnOnce(&mut Sent)) -> Self {
        let mut sent = Sent {
            at,
            attempt: attempt.to_owned(),
            service: "s".to_owned(),
            is_repeatable: true,
            max_attempts: 3,
            deadline: 4_000,
            ..Sent::default()
        };
        change(&mut sent);
        self.0.push(Record::Sent(sent));
        self
    }

    fn stream(self, attempt: &str) -> Self {
        self.sent(0, attempt, |s| s.is_stream = true)
            .head(attempt, 200)
    }

    fn resumed(self, attempt: &str, first: &str) -> Self {
        let resumed = self.sent(1, attempt, |s| {
            s.is_stream = true;
            s.resumes = Some(first.to_owned());
        });
        resumed.head(attempt, 200)
    }

    /// An answer of a runner, and the arrival before it.
    fn head(self, attempt: &str, status: u16) -> Self {
        let mut case = self.arrival(1, attempt, "r1", Some(4_000), true, status);
        case.0.push(Record::Head {
            attempt: attempt.to_owned(),
            status,
            is_sealed: true,
            echo: Some(attempt.to_owned()),
        });
        case
    }

    fn plain_head(mut self, attempt: &str, status: u16, is_sealed: bool, echo: &str) -> Self {
        self.0.push(Record::Head {
            attempt: attempt.to_owned(),
            status,
            is_sealed,
            echo: Some(echo.to_owned()),
        });
        self
    }

    fn arrival(
        mut self,
        at: u64,
        attempt: &str,
        runner: &str,
        deadline: Option<u64>,
        ran: bool,
        status: u16,
    ) -> Self {
        self.0.push(Record::Arrival {
            at,
            attempt: attempt.to_owned(),
            service: "s".to_owned(),
            runner: runner.to_owned(),
            version: "v1".to_owned(),
            deadline,
            after: None,
            ran,
            status,
            retry_after: None,
        });
        self
    }

    /// A refusal of a runner that wants no requests for 4 s.
    fn backoff(mut self, at: u64, attempt: &str) -> Self {
        self = self.arrival(at, attempt, "r1", Some(4_000), false, 503);
        if let Some(Record::Arrival { retry_after, .. }) = self.0.last_mut() {
            *retry_after = Some(4_000);
        }
        self
    }

    fn told_to_end(mut self, at: u64) -> Self {
        self.0.push(Record::Fault {
            at,
            what: "TermGateway(0)".to_owned(),
            process: Some("gateway-0".to_owned()),
        });
        self
    }

    fn made(mut self, attempt: &str, text: &str) -> Self {
        self.0.push(Record::Made {
            attempt: attempt.to_owned(),
            runner: "r1".to_owned(),
            text: text.to_owned(),
        });
        self
    }

    fn received(mut self, attempt: &str, text: &str) -> Self {
        self.0.push(Record::Event {
            at: 2,
            attempt: attempt.to_owned(),
            text: text.to_owned(),
        });
        self
    }

    /// An event of five that a runner made and the caller received.
    fn event(self, attempt: &str, id: u64, source: &str) -> Self {
        let text = event(id, source);
        self.made(attempt, &text).received(attempt, &text)
    }

    fn unframed(mut self, attempt: &str) -> Self {
        self.0.push(Record::Unframed {
            attempt: attempt.to_owned(),
            runner: "r1".to_owned(),
        });
        self
    }

    fn stopped(mut self, attempt: &str) -> Self {
        self.0.push(Record::Stopped {
            attempt: attempt.to_owned(),
            runner: "r1".to_owned(),
        });
        self
    }

    fn ended(mut self, attempt: &str, end: End, body: &str) -> Self {
        self.0.push(Record::Ended {
            at: 3,
            attempt: attempt.to_owned(),
            end,
            body: body.to_owned(),
        });
        self
    }

    fn killed(mut self, at: u64, runner: &str) -> Self {
        self.0.push(Record::Fault {
            at,
            what: "kill".to_owned(),
            process: Some(runner.to_owned()),
        });
        self
    }

    fn gateway_fault(mut self, at: u64) -> Self {
        self.0.push(Record::Fault {
            at,
            what: "stop".to_owned(),
            process: Some("gateway-0".to_owned()),
        });
        self
    }

    fn controller_fault(mut self, at: u64) -> Self {
        self.0.push(Record::Fault {
            at,
            what: "kill".to_owned(),
            process: Some("controller-0".to_owned()),
        });
        self
    }

    /// A runner of a brittle service of twelve that fell over.
    fn fell(mut self, at: u64, began: u64) -> Self {
        let attempt = format!("f{at}");
        self = self.sent(at - 10, &attempt, |_| ());
        self.0.push(Record::Fell {
            at,
            runner: format!("r{at}"),
            service: "s".to_owned(),
            brittle: Brittle {
                began,
                tolerance: 0,
                queue: 1,
                runners: 12,
            },
            rejected: vec![attempt],
        });
        self
    }

    fn judge(&self) -> Verdict {
        judge(&self.0, &BOUNDS)
    }
}

fn event(id: u64, source: &str) -> String {
    format!("id: {id}\ndata: {source} {id}/5")
}

fn whole_stream(case: Case, attempt: &str, ids: impl Iterator<Item = u64>) -> Case {
    ids.fold(case, |case, id| case.event(attempt, id, "r1 v1"))
}

/// Requests over 10 s from `start`, of which so many reach a second runner at the end.
fn requests(number: u64, repeats: u64, start: u64) -> Case {
    let case = (0..number).fold(Case::default(), |case, i| {
        let (at, attempt) = (start + i * 100, format!("b{i}"));
        let case = case.sent(at, &attempt, |_| ());
        case.arrival(at + 1, &attempt, "r1", Some(4_000), false, 503)
    });
    (0..repeats).fold(case, |case, i| {
        let attempt = format!("b{}", number - 1 - i);
        case.arrival(start + 9_950, &attempt, "r2", Some(100), true, 200)
    })
}

/// Five requests that ran at four runners each, of which so many were killed meanwhile.
fn many_runners(killed: usize) -> Case {
    (0..5).fold(requests(100, 0, 0), |case, i| {
        let attempt = format!("a{i}");
        let case = case.sent(9_000, &attempt, |_| ());
        let case = (0..4).fold(case, |case, r| {
            case.arrival(
                9_010 + r,
                &attempt,
                &format!("r{r}"),
                Some(3_900),
                true,
                500,
            )
        });
        (0..killed).fold(case, |case, r| case.killed(9_013, &format!("r{r}")))
    })
}

/// Requests that run again 2 s after their first run, with so much time left.
fn repeated_with_deadline(deadline: u64) -> Case {
    (0..30).fold(requests(200, 0, 0), |case, i| {
        let attempt = format!("a{i}");
        let case = case.sent(10_000 + i, &attempt, |_| ());
        let case = case.arrival(10_005 + i, &attempt, "r1", Some(3_990), true, 500);
        case.arrival(12_005 + i, &attempt, "r2", Some(deadline), true, 200)
    })
}

/// Requests that reach runners with so much time left.
fn with_deadline(deadline: Option<u64>) -> Case {
    (0..30).fold(Case::default(), |case, i| {
        let attempt = format!("a{i}");
        let case = case.sent(i * 100, &attempt, |_| ());
        case.arrival(i * 100 + 5, &attempt, "r1", deadline, true, 200)
    })
}

/// A runner that asks for no requests at 10 s, and requests to it from `start` on.
fn pressed(start: u64, number: u64, gateway: usize) -> Case {
    let case = requests(100, 0, 0).sent(9_999, "asked", |_| ());
    (0..number).fold(case.backoff(10_000, "asked"), |case, i| {
        let (at, attempt) = (start + i, format!("p{i}"));
        let case = case.sent(at, &attempt, |sent| sent.gateway = gateway);
        case.arrival(at, &attempt, "r1", Some(4_000), true, 200)
    })
}

/// A request that a gateway passed on at 20 s, and that ended without an answer.
fn unanswered(end: End) -> Case {
    let case = Case::default().sent(20_000, "u", |_| ());
    let mut case = case.arrival(20_001, "u", "r1", Some(4_000), true, 0);
    case.0.push(Record::Ended {
        at: 22_000,
        attempt: "u".to_owned(),
        end,
        body: String::new(),
    });
    case
}

/// A runner whose departure was acknowledged at 20 s, and that received a request at `at`.
fn departed(at: u64, status: u16) -> Case {
    let case = Case::default().sent(at - 1, "d", |_| ());
    let mut case = case.arrival(at, "d", "r1", Some(4_000), true, status);
    case.0.push(Record::Departed {
        at: 20_000,
        runner: "r1".to_owned(),
    });
    case
}

macro_rules! cases {
    ($($name:ident: $case:expr => $promise:ident, $text:literal;)*) => {$(
        #[test]
        fn $name() {
            let verdict = $case.judge();
            let found = verdict.findings.iter();
            let found: Vec<_> = found.filter(|f| f.what.contains($text)).collect();
            assert_eq!(verdict.findings.len(), 1, "{:?}", verdict.findings);
            assert_eq!(found.len(), 1, "{:?}", verdict.findings);
            assert_eq!(found[0].promise, Promise::$promise);
        }
    )*};
}

macro_rules! clean_cases {
    ($($name:ident: $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let verdict = $case.judge();
            assert!(verdict.findings.is_empty(), "{:?}", verdict.findings);
        }
    )*};
}

cases! {
    a_request_to_a_departed_runner_is_seen: departed(22_001, 200) => Drain, "received 1 requests";
    a_controller_that_was_killed_long_before_excuses_nothing:
        departed(25_001, 200).controller_fault(22_000) => Drain, "received 1 requests";
    requests_to_a_runner_that_wants_none_are_seen: pressed(10_500, 3, 0) => Budget, "received 3 after the notice";
    requests_up_to_the_end_are_seen: pressed(13_997, 3, 0) => Budget, "received 3 after the notice";
    a_request_that_a_stop_leaves_unanswered_is_seen:
        unanswered(End::Broken).told_to_end(15_000) => Lost, "had no answer";
    repeats_beyond_the_window_are_seen: requests(100, 31, 0) => Budget, "31 repeats";
    a_try_at_too_many_runners_is_seen: many_runners(0) => Budget, "ran at 4 runners";
    too_much_time_is_seen: with_deadline(Some(4_600)) => Budget, "too much time";
    too_much_time_for_a_repeat_is_seen: repeated_with_deadline(3_000) => Budget, "too much time";
    a_missing_deadline_is_seen: with_deadline(None) => Budget, "too much time";
    a_missing_event_is_seen:
        Case::default().stream("a").event("a", 1, "r1 v1").event("a", 3, "r1 v1")
        => Order, "left out events";
    a_repeated_event_is_seen:
        Case::default().stream("a").event("a", 1, "r1 v1").event("a", 1, "r1 v1")
        => Order, "went back";
    a_stream_that_begins_late_is_seen:
        Case::default().stream("a").event("a", 2, "r1 v1") => Order, "began with event 2";
    joined_versions_in_one_answer_are_seen:
        Case::default().stream("a").event("a", 1, "r1 v1").event("a", 2, "r2 v2")
        => Order, "joined two versions";
    joined_versions_over_two_tries_are_seen:
        Case::default().stream("a").event("a", 1, "r1 v1").ended("a", End::Broken, "")
            .resumed("b", "a").event("b", 2, "r2 v2")
        => Order, "joined two versions";
    joined_runs_on_a_route_that_forbids_it_are_seen:
        Case::default().sent(0, "a", |s| { s.is_stream = true; s.is_repeatable = false; })
            .head("a", 200).event("a", 1, "r1 v1").event("a", 2, "r2 v1")
        => Order, "joined two runs";
    a_clean_end_before_the_last_event_is_seen:
        whole_stream(Case::default().stream("a"), "a", 1..=4).ended("a", End::Whole, "")
        => Order, "behind event 4 of 5 of r1, whose answer was with length";
    an_orderly_end_of_a_connection_before_the_last_event_is_seen:
        whole_stream(Case::default().stream("a").unframed("a"), "a", 1..=4)
            .ended("a", End::Whole, "")
        => Order, "behind event 4 of 5 of r1, whose answer was without length";
    an_orderly_end_of_a_connection_before_the_first_event_is_seen:
        Case::default().stream("a").unframed("a").ended("a", End::Whole, "")
        => Order, "behind event 0 of 1 of r1, whose answer was without length";
    an_early_end_by_a_living_runner_is_seen:
        whole_stream(Case::default().stream("a").unframed("a").stopped("a"), "a", 1..=4)
            .ended("a", End::Whole, "")
        => Order, "the runner lived and ended it";
    a_clean_end_before_the_first_event_is_seen:
        Case::default().stream("a").ended("a", End::Whole, "") => Order, "behind event 0";
    a_take_up_that_goes_back_is_seen:
        whole_stream(Case::default().stream("a"), "a", 1..=3).ended("a", End::Broken, "")
            .resumed("b", "a").event("b", 3, "r2 v1")
        => Order, "went back";
    an_event_that_no_runner_made_is_seen:
        Case::default().stream("a").received("a", &event(1, "r1 v1")) => Mixed, "no runner made";
    a_part_of_an_event_behind_the_last_is_seen:
        whole_stream(Case::default().stream("a"), "a", 1..=5).ended("a", End::Whole, "id: 3")
        => Mixed, "part of an event";
    a_cut_body_is_seen:
        Case::default().sent(0, "a", |_| ()).head("a", 200).made("a", "the body")
            .ended("a", End::Whole, "the bo")
        => Mixed, "no runner made";
    a_body_with_foreign_bytes_is_seen:
        Case::default().sent(0, "a", |_| ()).head("a", 200).made("a", "the body")
            .ended("a", End::Whole, "the bodyHTTP/1.1 503")
        => Mixed, "no runner made";
    a_success_without_signature_is_seen:
        Case::default().sent(0, "a", |_| ()).plain_head("a", 200, false, "a")
        => Mixed, "without a runner's signature";
    an_answer_to_another_request_is_seen:
        Case::default().sent(0, "a", |_| ()).plain_head("a", 503, false, "b")
        => Mixed, "an answer to b";
    a_status_that_no_runner_gave_is_seen:
        Case::default().sent(0, "a", |_| ())
            .arrival(1, "a", "r1", Some(4_000), true, 500).plain_head("a", 404, true, "a")
        => Mixed, "which no runner answered";
    a_refused_request_that_ran_is_seen:
        Case::default().sent(0, "a", |s| s.is_repeatable = false)
            .arrival(1, "a", "r1", Some(4_000), true, 200).plain_head("a", 503, false, "a")
        => Refused, "was answered 503 and ran";
    a_request_that_runs_after_its_refusal_is_seen:
        Case::default().sent(0, "a", |s| s.is_repeatable = false)
            .plain_head("a", 429, false, "a").arrival(900, "a", "r1", Some(4_000), true, 200)
        => Refused, "was answered 429 and ran";
    a_second_run_is_seen:
        Case::default().sent(0, "a", |s| s.is_repeatable = false)
            .arrival(1, "a", "r1", Some(4_000), true, 200)
            .arrival(2, "a", "r2", Some(4_000), true, 200)
        => Twice, "ran at r1, r2";
    runners_that_fall_over_too_often_are_seen: falls(4, |_| 10_000)
        => Limit, "4 of 12 runners";
}

/// Falls a second apart, each in a brittle time that began as given.
fn falls(count: u64, began: fn(u64) -> u64) -> Case {
    (0..count).fold(Case::default(), |case, i| {
        case.fell(13_500 + i * 1_000, began(i))
    })
}

clean_cases! {
    a_request_soon_after_a_departure_is_allowed: departed(22_000, 200);
    a_request_for_another_runner_at_the_address_is_allowed: departed(23_000, 421);
    a_request_while_controllers_are_disturbed_is_allowed:
        departed(23_000, 200).controller_fault(20_500);
    a_request_of_a_disturbed_gateway_is_allowed: departed(25_000, 200).gateway_fault(20_000);
    two_requests_to_a_runner_that_wants_none_are_allowed: pressed(10_500, 2, 0);
    requests_within_the_notice_are_allowed: pressed(10_400, 50, 0);
    requests_after_the_end_are_allowed: pressed(14_000, 50, 0);
    requests_of_another_gateway_are_allowed: pressed(10_500, 3, 1);
    requests_of_a_disturbed_gateway_are_allowed: pressed(10_500, 3, 0).gateway_fault(10_200);
    a_caller_that_left_is_not_unanswered: unanswered(End::Abandoned).told_to_end(15_000);
    a_killed_gateway_may_leave_requests_unanswered: unanswered(End::Broken).told_to_end(15_000).gateway_fault(21_000);
    a_killed_runner_may_leave_requests_unanswered: unanswered(End::Broken).told_to_end(15_000).killed(21_000, "r1");
    a_few_falls_are_clean: falls(3, |_| 10_000);
    falls_of_several_brittle_times_are_clean: falls(6, |i| 10_000 + i / 2);
    falls_by_a_gateway_that_was_stopped_are_clean: falls(5, |_| 10_000).gateway_fault(15_000);
    falls_beside_a_controller_that_was_killed_are_clean:
        falls(5, |_| 10_000).controller_fault(15_000);
    repeats_within_the_window_are_clean: requests(100, 30, 0);
    runners_that_were_killed_do_not_count: many_runners(1);
    a_deadline_within_the_slack_is_clean: with_deadline(Some(4_400));
    a_deadline_of_a_repeat_within_the_slack_is_clean: repeated_with_deadline(2_100);
    too_much_time_at_a_gateway_that_was_stopped_is_clean:
        with_deadline(Some(4_600)).gateway_fault(1);
    a_whole_stream_is_clean:
        whole_stream(Case::default().stream("a"), "a", 1..=5).ended("a", End::Whole, "");
    a_stream_that_breaks_off_is_clean:
        whole_stream(Case::default().stream("a"), "a", 1..=3).ended("a", End::Broken, "id: 4");
    a_take_up_at_the_same_version_is_clean:
        whole_stream(
            whole_stream(Case::default().stream("a"), "a", 1..=3)
                .ended("a", End::Broken, "").resumed("b", "a"),
            "b", 4..=5,
        ).ended("b", End::Whole, "");
    a_refused_request_that_did_not_run_is_clean:
        Case::default().sent(0, "a", |s| s.is_repeatable = false)
            .arrival(1, "a", "r1", Some(4_000), false, 503).plain_head("a", 503, false, "a");
}
