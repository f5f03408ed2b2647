use std::collections::{BTreeMap, BTreeSet};

use base::{ClockTime, GenerationId, RanState, RequestId, TargetName, TimeSpan};

use crate::{CallerRecord, SendNumber, TargetRecord, Violation, ViolationKind};

/// Time from the start of its leaving after which a target may get no new request.
const LEAVE_LIMIT: TimeSpan = TimeSpan::from_secs(3);
/// How much retries may add to the offered load, in percent.
const RETRY_PERCENT: u64 = 10;

/// All records of callers and of targets, each side in the order of its events.
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
    /// Offsets of the tokens produced.
    tokens: BTreeSet<u64>,
    /// Number of tokens, once the generation is complete.
    finished: Option<u64>,
}

/// What the caller received for one send of a request.
#[derive(Clone, Debug, Default)]
struct SendRecord {
    keyed: bool,
    tokens: Vec<(GenerationId, u64)>,
    /// Number of tokens that the end of the answer states.
    ended: Option<u64>,
    /// Time of the latest error that says that the request did not run.
    not_run_at: Option<ClockTime>,
}

/// Checks a history for violations of the guarantees P1 to P5 and of the limit on retries.
///
/// ```
/// use base::{ClockTime, RanState};
/// use calls::{CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord, ViolationKind};
/// let (request, send, at) = ("r1".parse::<base::RequestId>().unwrap(), SendNumber(0), ClockTime::ZERO);
/// let mut history = CallHistory::default();
/// history.callers.push(CallerRecord::Sent { request: request.clone(), send, at, idempotent: false, keyed: true });
/// history.callers.push(CallerRecord::Failed { request: request.clone(), send, at, ran: RanState::No });
/// assert!(HistoryChecker::new(0).check(&history).is_empty());
/// let (target, generation) = ("e1".parse().unwrap(), "g1".parse().unwrap());
/// history.targets.push(TargetRecord::Run { target, at, request, send, generation });
/// assert_eq!(HistoryChecker::new(0).check(&history)[0].kind, ViolationKind::ToldNotRun);
/// ```
#[derive(Clone, Debug)]
pub struct HistoryChecker {
    extra_retries: u64,
}

impl HistoryChecker {
    /// Creates a checker that allows `extra_retries` retries in addition to 10% of the offered
    /// load.
    pub fn new(extra_retries: u64) -> Self {
        Self { extra_retries }
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
        check_not_run(&sends, &runs, &mut found);
        check_single_run(&history.callers, &runs, &mut found);
        check_work_after_leaving(&history.targets, &mut found);
        self.check_retries(&sends, &runs, &mut found);
        found
    }

    /// Retries: the runs after the first one of each send must together stay within the limit.
    fn check_retries(&self, sends: &Sends, runs: &Runs, found: &mut Vec<Violation>) {
        let mut per_send: BTreeMap<_, u64> = BTreeMap::new();
        for run in runs.values() {
            *per_send.entry((&run.request, run.send)).or_default() += 1;
        }
        let retries: u64 = per_send.values().map(|count| count - 1).sum();
        let offered = sends.len() as u64;
        let allowed = offered * RETRY_PERCENT / 100 + self.extra_retries;
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
            CallerRecord::Failed {
                request,
                send,
                at,
                ran,
            } => {
                let record = sends.entry((request.clone(), *send)).or_default();
                if *ran == RanState::No {
                    record.not_run_at = Some(*at);
                }
            }
        }
    }
    sends
}

/// P1 and P2: the tokens of one send come in order, from one generation of this request.
fn check_tokens(
    request: &RequestId,
    send: SendNumber,
    record: &SendRecord,
    runs: &Runs,
    found: &mut Vec<Violation>,
) {
    let mut report = |kind, text: String| found.push(Violation::new(kind, text));
    for (at, (generation, offset)) in record.tokens.iter().enumerate() {
        let position = format!("{request}/{} token {at}: {generation}:{offset}", send.0);
        if *offset != at as u64 {
            report(ViolationKind::TokenOrder, position.clone());
        }
        if *generation != record.tokens[0].0 {
            report(ViolationKind::MixedGenerations, position.clone());
        }
        let run = runs.get(generation);
        if !run.is_some_and(|run| run.tokens.contains(offset)) {
            report(ViolationKind::UnknownToken, position.clone());
        }
        if run.is_some_and(|run| run.request != *request) {
            report(ViolationKind::ForeignAnswer, position);
        }
    }
}

/// P2: the end of an answer comes with all tokens of a finished generation.
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
    // An empty answer has no token that names a generation, so any finished run of the request with
    // no tokens matches.
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

/// P3: a send whose caller received "not run" must never run. If the request has a ticket or key,
/// no other send of it may have run before that error either; one still in flight may run later.
fn check_not_run(sends: &Sends, runs: &Runs, found: &mut Vec<Violation>) {
    let mut by_request: BTreeMap<&RequestId, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs.values() {
        by_request.entry(&run.request).or_default().push(run);
    }
    for ((request, send), record) in sends {
        let Some(not_run_at) = record.not_run_at else {
            continue;
        };
        let none = Vec::new();
        let runs = by_request.get(request).unwrap_or(&none);
        let ran_before = |run: &RunRecord| record.keyed && run.at < not_run_at;
        if runs.iter().any(|run| run.send == *send || ran_before(run)) {
            let text = format!("{request}/{} got \"not run\" at {not_run_at}", send.0);
            found.push(Violation::new(ViolationKind::ToldNotRun, text));
        }
    }
}

/// P4: a request that is not idempotent runs at most once.
fn check_single_run(records: &[CallerRecord], runs: &Runs, found: &mut Vec<Violation>) {
    let mut counts: BTreeMap<&RequestId, u64> = BTreeMap::new();
    for run in runs.values() {
        *counts.entry(&run.request).or_default() += 1;
    }
    let non_idempotent: BTreeSet<_> = records
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
    for request in non_idempotent {
        let count = counts.get(request).copied().unwrap_or(0);
        if count > 1 {
            let text = format!("{request} ran {count} times");
            found.push(Violation::new(ViolationKind::RanTwice, text));
        }
    }
}

/// P5: a target gets no new request once it has been leaving for longer than the limit.
fn check_work_after_leaving(records: &[TargetRecord], found: &mut Vec<Violation>) {
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
                if since.is_some_and(|since| since > LEAVE_LIMIT) {
                    let text = format!("{target} got work at {at}");
                    found.push(Violation::new(ViolationKind::WorkAfterLeaving, text));
                }
            }
            TargetRecord::Token { .. } | TargetRecord::Finished { .. } => {}
        }
    }
}
