use super::{CrashLog, Incarnation, MAX_CRASHES, MAX_PARTS, RETENTION};
use sequoiawing_link::CrashedPart;
use sequoiawing_policy::serving::PromptPart;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

const NOW: Time = Time::from_millis(50_000);

fn incarnation(epoch: u64) -> Incarnation {
    (Name::from("u"), epoch)
}

fn parts(ids: impl IntoIterator<Item = u64>) -> Vec<PromptPart> {
    let ids = ids.into_iter();
    ids.map(|id| PromptPart { id, tokens: 1 }).collect()
}

/// Adds an answer that was sent 100 ms before `now` and records its crash.
fn crash(log: &mut CrashLog, now: Time, epoch: u64, shared: &[PromptPart]) {
    let sent = Time::ZERO + now.since(Time::from_millis(100));
    log.add(now, &incarnation(epoch), sent, shared);
    let answers = log.take(&incarnation(epoch)).expect("an answer was added");
    log.record(incarnation(epoch), answers);
}

#[test]
fn answers_that_break_off_together_are_one_crash() {
    let mut log = CrashLog::default();
    let sent = [49_000, 49_500, 49_200].map(Time::from_millis);
    assert!(log.add(NOW, &incarnation(1), sent[0], &parts([1, 2])));
    assert!(!log.add(NOW, &incarnation(1), sent[1], &parts([1])));
    assert!(!log.add(NOW, &incarnation(1), sent[2], &parts([1, 3])));
    let answers = log.take(&incarnation(1)).expect("answers were added");
    log.record(incarnation(1), answers);
    let reports = log.reports(NOW + Duration::from_millis(10));
    let ages: Vec<CrashedPart> = reports[0].parts.clone();
    let age = |part, sent_age| CrashedPart { part, sent_age };
    assert_eq!(ages, [age(1, 510), age(2, 1_010), age(3, 810)]);
    assert_eq!((reports.len(), reports[0].age), (1, 10));
}

#[test]
fn another_start_of_an_upstream_is_another_crash() {
    let mut log = CrashLog::default();
    crash(&mut log, NOW, 1, &parts([1]));
    crash(&mut log, NOW, 2, &parts([1]));
    let numbers: Vec<u64> = log.reports(NOW).iter().map(|r| r.number).collect();
    assert_eq!(numbers, [1, 2]);
}

#[test]
fn a_report_is_bounded_and_keeps_what_is_newest() {
    let mut log = CrashLog::default();
    let last = 3 * MAX_CRASHES as u64;
    for epoch in 1..=last {
        crash(&mut log, NOW, epoch, &parts(0..3 * MAX_PARTS as u64));
    }
    let reports = log.reports(NOW);
    assert_eq!(reports.len(), MAX_CRASHES);
    assert_eq!(reports.last().map(|r| r.number), Some(last));
    assert!(reports.iter().all(|r| r.parts.len() == MAX_PARTS));
}

#[test]
fn crashes_leave_the_report_after_their_retention() {
    let mut log = CrashLog::default();
    crash(&mut log, NOW, 1, &parts([1]));
    assert_eq!(log.reports(NOW + RETENTION).len(), 1);
    let late = NOW + RETENTION + Duration::from_millis(1);
    assert!(log.reports(late).is_empty());
}

#[test]
fn a_crash_without_shared_parts_is_not_reported() {
    let mut log = CrashLog::default();
    crash(&mut log, NOW, 1, &[]);
    assert!(log.reports(NOW).is_empty());
}
