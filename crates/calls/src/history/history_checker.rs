use std::collections::{BTreeMap, BTreeSet};

use base::{ClockTime, GenerationId, RanState, RequestId, TargetName, TimeSpan};

use crate::{CallerRecord, SendNumber, TargetRecord, Violation, ViolationKind};

/// Time after which a leaving target gets nothing new.
const LEAVE_BOUND: TimeSpan = TimeSpan::from_secs(3);
/// Retries may add this part of the offered load, in percent.
const RETRY_PERCENT: u64 = 10;

/// Everything that callers and targets recorded, each in its own order.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    /// Records of callers.
    pub callers: Vec<CallerRecord>,
    /// Records of targets.
    pub targets: Vec<TargetRecord>,
}

/// One run of a request at a target.
#[derive(Clone, Debug)]
struct RunRecord {
    request: RequestId,
    send: SendNumber,
    at: ClockTime,
    tokens: BTreeSet<u64>,
    finished: Option<u64>,
}

/// What one send of a request got.
#[derive(Clone, Debug, Default)]
struct SendRecord {
    keyed: bool,
    tokens: Vec<(GenerationId, u64)>,
    ended: Option<u64>,
    told_no: Option<ClockTime>,
}

/// Checks the guarantees P1 to P5 and the bound on retries against a history.
///
/// ```
/// use base::{ClockTime, RanState};
/// use calls::{CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord, ViolationKind};
/// let (request, send, at) = ("r1".parse::<base::RequestId>().unwrap(), SendNumber(0), ClockTime::ZERO);
/// let mut history = CallHistory::default();
/// history.callers.push(CallerRecord::Sent { request: request.clone(), send, at, idempotent: false, keyed: true });
/// history.callers.push(CallerRecord::Told { request: request.clone(), send, at, ran: RanState::No });
/// assert!(HistoryChecker::new(0).check(&history).is_empty());
/// let (target, generation) = ("e1".parse().unwrap(), "g1".parse().unwrap());
/// history.targets.push(TargetRecord::Run { target, at, request, send, generation });
/// assert_eq!(HistoryChecker::new(0).check(&history)[0].kind, ViolationKind::ToldNotRun);
/// ```
#[derive(Clone, Debug)]
pub struct HistoryChecker {
    retry_floor: u64,
}

impl HistoryChecker {
    /// Creates a checker that grants `retry_floor` retries beyond 10% of the load.
    pub fn new(retry_floor: u64) -> Self {
        Self { retry_floor }
    }

    /// Returns every violation in the history.
    pub fn check(&self, history: &CallHistory) -> Vec<Violation> {
        let runs = collect_runs(&history.targets);
        let sends = collect_sends(&history.callers);
        let mut found = Vec::new();
        for ((request, send), record) in &sends {
            check_tokens(request, *send, record, &runs, &mut found);
            check_end(request, *send, record, &runs, &mut found);
        }
        check_told(&sends, &runs, &mut found);
        check_once(&history.callers, &runs, &mut found);
        check_leaving(&history.targets, &mut found);
        self.check_retries(&sends, &runs, &mut found);
        found
    }

    fn check_retries(&self, sends: &Sends, runs: &Runs, found: &mut Vec<Violation>) {
        let mut per_send: BTreeMap<_, u64> = BTreeMap::new();
        for run in runs.values() {
            *per_send.entry((&run.request, run.send)).or_default() += 1;
        }
        let retries: u64 = per_send.values().map(|count| count - 1).sum();
        let offered = sends.len() as u64;
        let allowed = offered * RETRY_PERCENT / 100 + self.retry_floor;
        if retries > allowed {
            let text = format!("{retries} repeated runs of {offered} sends, {allowed} allowed");
            found.push(Violation::new(ViolationKind::RetryLoad, text));
        }
    }
}

type Runs = BTreeMap<GenerationId, RunRecord>;
type Sends = BTreeMap<(RequestId, SendNumber), SendRecord>;

fn collect_runs(records: &[TargetRecord]) -> Runs {
    let mut runs = Runs::new();
    for record in records {
        match record {
            TargetRecord::Run {
                at,
                request,
                send,
                generation,
                ..
            } => {
                let run = RunRecord {
                    request: request.clone(),
                    send: *send,
                    at: *at,
                    tokens: BTreeSet::new(),
                    finished: None,
                };
                runs.insert(generation.clone(), run);
            }
            TargetRecord::Token { generation, offset } => {
                if let Some(run) = runs.get_mut(generation) {
                    run.tokens.insert(*offset);
                }
            }
            TargetRecord::Finished { generation, count } => {
                if let Some(run) = runs.get_mut(generation) {
                    run.finished = Some(*count);
                }
            }
            TargetRecord::Leaving { .. } | TargetRecord::Returned { .. } => {}
        }
    }
    runs
}

fn collect_sends(records: &[CallerRecord]) -> Sends {
    let mut sends = Sends::new();
    for record in records {
        match record {
            CallerRecord::Sent {
                request,
                send,
                keyed,
                ..
            } => {
                let record = sends.entry((request.clone(), *send)).or_default();
                record.keyed = *keyed;
            }
            CallerRecord::Token {
                request,
                send,
                generation,
                offset,
            } => {
                let record = sends.entry((request.clone(), *send)).or_default();
                record.tokens.push((generation.clone(), *offset));
            }
            CallerRecord::Ended {
                request,
                send,
                count,
            } => sends.entry((request.clone(), *send)).or_default().ended = Some(*count),
            CallerRecord::Told {
                request,
                send,
                at,
                ran,
            } => {
                let record = sends.entry((request.clone(), *send)).or_default();
                if *ran == RanState::No {
                    record.told_no = Some(*at);
                }
            }
        }
    }
    sends
}

fn check_tokens(
    request: &RequestId,
    send: SendNumber,
    record: &SendRecord,
    runs: &Runs,
    found: &mut Vec<Violation>,
) {
    let mut note = |kind, text: String| found.push(Violation::new(kind, text));
    for (at, (generation, offset)) in record.tokens.iter().enumerate() {
        let place = format!("{request}/{} token {at}: {generation}:{offset}", send.0);
        if *offset != at as u64 {
            note(ViolationKind::TokenOrder, place.clone());
        }
        if *generation != record.tokens[0].0 {
            note(ViolationKind::MixedGenerations, place.clone());
        }
        let run = runs.get(generation);
        if !run.is_some_and(|run| run.tokens.contains(offset)) {
            note(ViolationKind::UnknownToken, place.clone());
        }
        if run.is_some_and(|run| run.request != *request) {
            note(ViolationKind::ForeignAnswer, place);
        }
    }
}

fn check_end(
    request: &RequestId,
    send: SendNumber,
    record: &SendRecord,
    runs: &Runs,
    found: &mut Vec<Violation>,
) {
    let Some(count) = record.ended else {
        return;
    };
    let received = record.tokens.len() as u64;
    let run = record.tokens.first().and_then(|(name, _)| runs.get(name));
    let finished = run.and_then(|run| run.finished);
    // An empty answer names no generation, so any finished run of the request will do.
    let empty = || {
        let mut runs = runs.values();
        count == 0 && runs.any(|run| run.request == *request && run.finished == Some(0))
    };
    if received != count || (finished != Some(count) && !empty()) {
        let text = format!(
            "{request}/{} got {received} tokens, end {count}, target finished {finished:?}",
            send.0
        );
        found.push(Violation::new(ViolationKind::PartialAnswer, text));
    }
}

/// A send that was told "not run" never runs. With a key, no other send of the request ran
/// before; one that the caller still has under way may run later.
fn check_told(sends: &Sends, runs: &Runs, found: &mut Vec<Violation>) {
    let mut by_request: BTreeMap<&RequestId, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs.values() {
        by_request.entry(&run.request).or_default().push(run);
    }
    for ((request, send), record) in sends {
        let Some(told) = record.told_no else {
            continue;
        };
        let none = Vec::new();
        let runs = by_request.get(request).unwrap_or(&none);
        let before = |run: &RunRecord| record.keyed && run.at < told;
        if runs.iter().any(|run| run.send == *send || before(run)) {
            let text = format!("{request}/{} was told no at {told}", send.0);
            found.push(Violation::new(ViolationKind::ToldNotRun, text));
        }
    }
}

fn check_once(records: &[CallerRecord], runs: &Runs, found: &mut Vec<Violation>) {
    let mut counts: BTreeMap<&RequestId, u64> = BTreeMap::new();
    for run in runs.values() {
        *counts.entry(&run.request).or_default() += 1;
    }
    let fragile: BTreeSet<_> = records
        .iter()
        .filter_map(|record| match record {
            CallerRecord::Sent {
                request,
                idempotent: false,
                ..
            } => Some(request),
            _ => None,
        })
        .collect();
    for request in fragile {
        let count = counts.get(request).copied().unwrap_or(0);
        if count > 1 {
            let text = format!("{request} ran {count} times");
            found.push(Violation::new(ViolationKind::RanTwice, text));
        }
    }
}

fn check_leaving(records: &[TargetRecord], found: &mut Vec<Violation>) {
    let mut leaving: BTreeMap<&TargetName, ClockTime> = BTreeMap::new();
    for record in records {
        match record {
            TargetRecord::Leaving { target, at } => {
                leaving.insert(target, *at);
            }
            TargetRecord::Returned { target, .. } => {
                leaving.remove(target);
            }
            TargetRecord::Run { target, at, .. } => {
                let since = leaving.get(target).map(|left| *at - *left);
                if since.is_some_and(|since| since > LEAVE_BOUND) {
                    let text = format!("{target} got work at {at}");
                    found.push(Violation::new(ViolationKind::WorkAfterLeaving, text));
                }
            }
            TargetRecord::Token { .. } | TargetRecord::Finished { .. } => {}
        }
    }
}
