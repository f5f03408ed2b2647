//! Guards against a history checker that overlooks a violated guarantee: each test puts one
//! violation into a valid history.

use base::{ClockTime, RanState};
use calls::{CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord, ViolationKind};
use yare::parameterized;

const AT: ClockTime = ClockTime::new(1_000);

fn sent(number: u32, send: u32, idempotent: bool) -> CallerRecord {
    CallerRecord::Sent {
        request: format!("r{number}").parse().unwrap(),
        send: SendNumber(send),
        at: AT,
        idempotent,
        keyed: true,
    }
}

fn token(number: u32, generation: &str, offset: u64) -> CallerRecord {
    CallerRecord::Token {
        request: format!("r{number}").parse().unwrap(),
        send: SendNumber(0),
        generation: generation.parse().unwrap(),
        offset,
    }
}

fn ended(number: u32, count: u64) -> CallerRecord {
    CallerRecord::Ended {
        request: format!("r{number}").parse().unwrap(),
        send: SendNumber(0),
        count,
    }
}

fn failed(number: u32, send: u32, millis: u64, ran: RanState) -> CallerRecord {
    CallerRecord::Failed {
        request: format!("r{number}").parse().unwrap(),
        send: SendNumber(send),
        at: ClockTime::new(millis),
        ran,
    }
}

fn run(number: u32, send: u32, generation: &str, millis: u64) -> TargetRecord {
    TargetRecord::Run {
        target: "e1".parse().unwrap(),
        at: ClockTime::new(millis),
        request: format!("r{number}").parse().unwrap(),
        send: SendNumber(send),
        generation: generation.parse().unwrap(),
    }
}

fn produced(generation: &str, count: u64) -> Vec<TargetRecord> {
    let generation: base::GenerationId = generation.parse().unwrap();
    let token = |offset| TargetRecord::Token {
        generation: generation.clone(),
        offset,
    };
    let mut records: Vec<_> = (0..count).map(token).collect();
    records.push(TargetRecord::Finished { generation, count });
    records
}

fn leaving(millis: u64) -> TargetRecord {
    TargetRecord::Leaving {
        target: "e1".parse().unwrap(),
        at: ClockTime::new(millis),
    }
}

/// Two completely answered requests: r1 by g1 with two tokens, r2 by g2 with two tokens.
fn valid_history() -> CallHistory {
    let mut targets = vec![run(1, 0, "g1", 1_001), run(2, 0, "g2", 1_001)];
    targets.extend(produced("g1", 2));
    targets.extend(produced("g2", 2));
    CallHistory {
        callers: vec![
            sent(1, 0, false),
            sent(2, 0, true),
            token(1, "g1", 0),
            token(2, "g2", 0),
            token(1, "g1", 1),
            token(2, "g2", 1),
            ended(1, 2),
            ended(2, 2),
        ],
        targets,
    }
}

#[test]
fn valid_history_passes() {
    assert_eq!(HistoryChecker::new(0).check(&valid_history()), []);
}

/// A later send of a request may run after an earlier one failed with "not run".
#[test]
fn run_of_a_later_send_passes() {
    let mut history = CallHistory::default();
    history.callers.push(sent(1, 0, false));
    history.callers.push(failed(1, 0, 1_100, RanState::No));
    history.callers.push(sent(1, 1, false));
    history.targets.push(run(1, 1, "g1", 1_200));
    assert_eq!(HistoryChecker::new(0).check(&history), []);
}

#[parameterized(
    token_twice = { |h: &mut CallHistory| h.callers.insert(3, token(1, "g1", 0)), ViolationKind::TokenOrder },
    tokens_swapped = { |h: &mut CallHistory| h.callers.swap(2, 4), ViolationKind::TokenOrder },
    token_missing = { |h: &mut CallHistory| { h.callers.remove(2); }, ViolationKind::TokenOrder },
    generations_mixed = {
        |h: &mut CallHistory| {
            h.targets.push(run(1, 0, "g3", 1_002));
            h.targets.extend(produced("g3", 2));
            h.callers[4] = token(1, "g3", 1);
        },
        ViolationKind::MixedGenerations
    },
    unknown_token = {
        |h: &mut CallHistory| h.callers.insert(6, token(1, "g1", 2)), ViolationKind::UnknownToken
    },
    end_too_early = {
        |h: &mut CallHistory| {
            h.callers.remove(4);
            h.callers[5] = ended(1, 1);
        },
        ViolationKind::PartialAnswer
    },
    end_counts_wrong = { |h: &mut CallHistory| h.callers[6] = ended(1, 3), ViolationKind::PartialAnswer },
    end_of_unfinished = { |h: &mut CallHistory| { h.targets.remove(4); }, ViolationKind::PartialAnswer },
    answer_of_another_request = {
        |h: &mut CallHistory| {
            h.callers[2] = token(1, "g2", 0);
            h.callers[4] = token(1, "g2", 1);
        },
        ViolationKind::ForeignAnswer
    },
    not_run_after_run = {
        |h: &mut CallHistory| h.callers.push(failed(1, 0, 1_500, RanState::No)), ViolationKind::ToldNotRun
    },
    not_run_before_run = {
        |h: &mut CallHistory| h.callers.push(failed(1, 0, 500, RanState::No)), ViolationKind::ToldNotRun
    },
    resend_not_run_after_run = {
        |h: &mut CallHistory| {
            h.callers.push(sent(1, 1, false));
            h.callers.push(failed(1, 1, 1_500, RanState::No));
        },
        ViolationKind::ToldNotRun
    },
    ran_twice = {
        |h: &mut CallHistory| {
            h.callers.push(sent(1, 1, false));
            h.targets.push(run(1, 1, "g3", 1_400));
        },
        ViolationKind::RanTwice
    },
    work_after_leaving = {
        |h: &mut CallHistory| {
            h.targets.push(leaving(1_000));
            h.callers.push(sent(3, 0, true));
            h.targets.push(run(3, 0, "g3", 4_001));
        },
        ViolationKind::WorkAfterLeaving
    },
    too_many_retries = {
        |h: &mut CallHistory| h.targets.push(run(2, 0, "g3", 1_400)), ViolationKind::RetryLoad
    },
)]
fn injected_violation_is_found(inject: fn(&mut CallHistory), kind: ViolationKind) {
    let mut history = valid_history();
    inject(&mut history);
    let found = HistoryChecker::new(0).check(&history);
    assert!(
        found.iter().any(|violation| violation.kind == kind),
        "{found:?}"
    );
}

/// Guards the limit of 3 s: a new run exactly at the limit is allowed, and any run after the
/// return.
#[test]
fn work_within_the_leave_limit_passes() {
    let mut history = valid_history();
    history.targets.push(leaving(1_000));
    history.callers.push(sent(3, 0, true));
    history.targets.push(run(3, 0, "g3", 4_000));
    history.targets.push(TargetRecord::Returned {
        target: "e1".parse().unwrap(),
        at: ClockTime::new(9_000),
    });
    history.callers.push(sent(4, 0, true));
    history.targets.push(run(4, 0, "g4", 9_500));
    assert_eq!(HistoryChecker::new(0).check(&history), []);
}
