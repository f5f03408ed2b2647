use std::collections::BTreeMap;

use super::soak_history::{
    Arrival, ArrivalOutcome, AttemptRecord, CallKind, GatewayEvent, History, Millis, RateChange,
};

/// The users' bound on the time until gateways have contacted each other and share what they know.
const CONTACT_BOUND: Millis = 3_000;
/// The users' bound on the time until a gateway that was told that a target leaves sends it nothing
/// more.
const LEAVING_BOUND: Millis = 2_000;
/// Time after a request for a back-off in which calls sent before it may still arrive.
const BACKOFF_SLACK: Millis = 500;
/// Time after an answer showed that an instance is over in which calls sent before it may arrive.
const REPLACED_SLACK: Millis = 500;
/// Crashes after which the users bound the sends of a call.
const CALL_CRASHES: usize = 3;
/// Sends that the users allow after those crashes.
const CRASH_SENDS: usize = 3;
/// Crashes after which the users bound the sends of calls with a deadly part in their prompts.
const PART_CRASHES: usize = 5;
/// Sends that the users allow to a target during its back-off.
const BACKOFF_SENDS: usize = 2;
/// Span over which the calls to a target that names a rate are counted.
const RATE_WINDOW: Millis = 4_000;
/// Factor by which the calls in that span may exceed what the rate allows.
const RATE_FACTOR: f64 = 1.5;
/// Calls in that span that are allowed beyond that.
const RATE_EXTRA: f64 = 5.0;
/// Time from the start of a planned stop in which no call may be cut off.
const STOP_DURATION: Millis = 9_000;
/// Time after the stop signal up to which streams may be sent that the end of the process cuts off.
const EXEMPT_SENDS: Millis = 3_000;
/// Time after the stop signal at which the last sixth of the grace period begins.
const LAST_SIXTH: Millis = 6_667;
/// Smallest share of the calls after the faults that must be served.
const MIN_SERVED_SHARE: f64 = 0.25;

/// The rule that a history violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RuleViolation {
    /// A call that had crashed three targets was sent to more targets than allowed.
    CrashBudget,
    /// More calls than allowed with a part in their prompts that had crashed five targets were sent.
    PartBudget,
    /// A gateway sent calls to a target after passing on an answer that said that it leaves.
    LeavingTarget,
    /// A gateway sent more calls than allowed to a target that had asked it to back off.
    BackoffIgnored,
    /// A gateway sent a call to an instance after another one had answered at its address.
    ReplacedInstance,
    /// Gateways together sent a target more calls than the rate that it had named.
    RateExceeded,
    /// A call that is not idempotent was executed twice.
    RanTwice,
    /// A caller was told that its call was not executed although it was.
    FalseRefusal,
    /// A caller got the answer to another call or an incomplete one, or a target got a call that no
    /// caller sent.
    MixedAnswer,
    /// A planned stop of a gateway cut a call off.
    CutOffByStop,
    /// The connection of a call that a gateway had read was closed without an answer.
    UnansweredCall,
    /// Too few calls were served after the faults.
    NotRecovered,
}

/// Finds the violations in a history; `faults_end` is when the last fault ended.
pub fn check_history(history: &History, faults_end: Millis) -> Vec<(RuleViolation, String)> {
    let mut violations = Vec::new();
    check_crash_budget(history, &mut violations);
    check_part_budget(history, &mut violations);
    check_leaving(history, &mut violations);
    check_backoff(history, &mut violations);
    check_replaced(history, &mut violations);
    check_rates(history, &mut violations);
    check_runs(history, &mut violations);
    check_answers(history, &mut violations);
    check_stops(history, &mut violations);
    check_recovery(history, faults_end, &mut violations);
    violations
}

/// Finds the calls that gateways read and that ended without an answer, in a soak in which gateways
/// are neither killed nor paused.
pub fn check_read_calls(history: &History) -> Vec<(RuleViolation, String)> {
    let mut violations = Vec::new();
    for (id, attempt) in &history.attempts {
        let Some(end) = &attempt.end else {
            continue;
        };
        let arrivals = history.arrivals.get(id);
        let last = arrivals.and_then(|all| all.last());
        // The answer of the target itself was incomplete.
        let is_defect = last.is_some_and(|arrival| {
            matches!(
                arrival.outcome,
                ArrivalOutcome::BrokeOff | ArrivalOutcome::Crashed
            )
        });
        let was_read = history.read.contains(id) || last.is_some();
        if end.status.is_none()
            && !end.has_timed_out
            && was_read
            && !is_defect
            && !may_be_cut_by_any_stop(history, attempt, end.at)
        {
            violations.push((RuleViolation::UnansweredCall, format!("{id}: {attempt:?}")));
        }
    }
    violations
}

/// Whether a call is a stream that a planned stop of its gateway may cut off at the end of the grace
/// period. The caller may see that late if it is slow itself.
fn may_be_cut_by_any_stop(history: &History, attempt: &AttemptRecord, end: Millis) -> bool {
    let mut events = history.gateways.iter();
    attempt.kind == CallKind::Stream
        && events.any(|(at, gateway, event)| {
            *gateway == attempt.gateway
                && *event == GatewayEvent::Terminated
                && attempt.sent <= at + EXEMPT_SENDS
                && end >= at + LAST_SIXTH
        })
}

type Violations = Vec<(RuleViolation, String)>;

/// Whether a gateway process was started, ended, paused or resumed within a time, or was paused
/// before and never resumed.
fn was_disturbed(history: &History, gateway: usize, from: Millis, until: Millis) -> bool {
    let events = history.gateways.iter();
    let mut own = events.filter(|(_, known, _)| *known == gateway);
    let mut paused_since = None;
    own.any(|(at, _, event)| {
        match event {
            GatewayEvent::Paused => paused_since = Some(*at),
            GatewayEvent::Resumed => paused_since = None,
            _ => {}
        }
        *at >= from && *at <= until
    }) || paused_since.is_some_and(|at| at <= until)
}

/// Arrivals at targets in order of time, with their attempts as of the gateways that sent them.
fn arrivals(history: &History) -> Vec<(&String, &AttemptRecord, &Arrival)> {
    let attempt = |id| {
        let forwarded = history.forwarded.get(id);
        forwarded.or_else(|| history.attempts.get(id))
    };
    let mut all: Vec<_> = history
        .arrivals
        .iter()
        .filter_map(|(id, arrivals)| Some((id, attempt(id)?, arrivals)))
        .flat_map(|(id, attempt, arrivals)| {
            arrivals.iter().map(move |arrival| (id, attempt, arrival))
        })
        .collect();
    all.sort_by_key(|(_, _, arrival)| arrival.at);
    all
}

fn check_crash_budget(history: &History, violations: &mut Violations) {
    let mut by_call: BTreeMap<u32, Vec<(&AttemptRecord, &Arrival)>> = BTreeMap::new();
    for (_, attempt, arrival) in arrivals(history) {
        if let Some(crashing_call) = attempt.crashing_call {
            by_call
                .entry(crashing_call)
                .or_default()
                .push((attempt, arrival));
        }
    }
    for (crashing_call, sends) in by_call {
        let count = count_sends_after_crashes(history, &sends, CALL_CRASHES);
        if count > CRASH_SENDS {
            let all = sends.len();
            let text =
                format!("call {crashing_call}: {count} sends after three crashes, {all} in total");
            violations.push((RuleViolation::CrashBudget, text));
        }
    }
}

fn check_part_budget(history: &History, violations: &mut Violations) {
    let sends = arrivals(history).into_iter();
    let sends: Vec<_> = sends
        .filter(|(_, attempt, _)| attempt.has_deadly_part)
        .map(|(_, attempt, arrival)| (attempt, arrival))
        .collect();
    let count = count_sends_after_crashes(history, &sends, PART_CRASHES);
    if count > CRASH_SENDS {
        let text = format!("{count} sends after five crashes, {} in total", sends.len());
        violations.push((RuleViolation::PartBudget, text));
    }
}

/// Number of sends by undisturbed gateways after so many of them crashed their targets and gateways
/// had time to tell each other.
fn count_sends_after_crashes(
    history: &History,
    sends: &[(&AttemptRecord, &Arrival)],
    crashes: usize,
) -> usize {
    let crashed = sends.iter();
    let mut crashed = crashed.filter(|(_, arrival)| arrival.outcome == ArrivalOutcome::Crashed);
    let Some((_, last)) = crashed.nth(crashes - 1) else {
        return 0;
    };
    let from = last.at + CONTACT_BOUND;
    let later = sends.iter().filter(|(attempt, arrival)| {
        let since = arrival.at.saturating_sub(CONTACT_BOUND);
        arrival.at > from && !was_disturbed(history, attempt.gateway, since, arrival.at)
    });
    later.count()
}

fn check_leaving(history: &History, violations: &mut Violations) {
    let mut announced: BTreeMap<(usize, u64), Millis> = BTreeMap::new();
    for attempt in history.attempts.values() {
        let end = attempt.end.as_ref();
        if let Some((end, instance)) = end.and_then(|end| Some((end, end.leaving_instance?))) {
            let at = announced
                .entry((attempt.gateway, instance))
                .or_insert(end.at);
            *at = end.at.min(*at);
        }
    }
    for (id, attempt, arrival) in arrivals(history) {
        let Some(at) = announced.get(&(attempt.gateway, arrival.instance)) else {
            continue;
        };
        let is_late = attempt.sent > at + LEAVING_BOUND;
        if is_late && !was_disturbed(history, attempt.gateway, *at, arrival.at) {
            let text = format!(
                "{id} at {} by {}, announced at {at}",
                arrival.at, attempt.gateway
            );
            violations.push((RuleViolation::LeavingTarget, text));
        }
    }
}

fn check_backoff(history: &History, violations: &mut Violations) {
    let all = arrivals(history);
    for (_, attempt, refused) in &all {
        let ArrivalOutcome::AskedBackoff(span) = refused.outcome else {
            continue;
        };
        let (from, until) = (refused.at + BACKOFF_SLACK, refused.at + span);
        let sends = all.iter().filter(|(_, other, arrival)| {
            other.gateway == attempt.gateway
                && arrival.instance == refused.instance
                && arrival.at > from
                && arrival.at < until
        });
        let count = sends.count();
        if count > BACKOFF_SENDS && !was_disturbed(history, attempt.gateway, refused.at, until) {
            let text = format!(
                "instance {}: {count} sends by {}",
                refused.instance, attempt.gateway
            );
            violations.push((RuleViolation::BackoffIgnored, text));
        }
    }
}

fn check_replaced(history: &History, violations: &mut Violations) {
    let mut known: BTreeMap<(usize, u64), Millis> = BTreeMap::new();
    for (id, attempt, arrival) in arrivals(history) {
        let ArrivalOutcome::WrongInstance(expected) = arrival.outcome else {
            continue;
        };
        let first = *known
            .entry((attempt.gateway, expected))
            .or_insert(arrival.at);
        let is_late = arrival.at > first + REPLACED_SLACK;
        if is_late && !was_disturbed(history, attempt.gateway, first, arrival.at) {
            let text = format!(
                "{id} to instance {expected} at {} by {}, known to be over at {first}",
                arrival.at, attempt.gateway
            );
            violations.push((RuleViolation::ReplacedInstance, text));
        }
    }
}

fn check_rates(history: &History, violations: &mut Violations) {
    let mut instances: Vec<u64> = history.rates.iter().map(|change| change.instance).collect();
    instances.sort_unstable();
    instances.dedup();
    let all = arrivals(history);
    for instance in instances {
        let changes: Vec<_> = history
            .rates
            .iter()
            .filter(|change| change.instance == instance)
            .collect();
        let sends: Vec<_> = all
            .iter()
            .filter(|(_, _, arrival)| arrival.instance == instance)
            .map(|(_, attempt, arrival)| (arrival.at, attempt.gateway))
            .collect();
        let excess = sends.iter().find_map(|(from, _)| {
            let until = from + RATE_WINDOW;
            let rate = highest_rate(&changes, from.checked_sub(CONTACT_BOUND)?, until)?;
            let allowed = rate * RATE_FACTOR * RATE_WINDOW as f64 / 1_000.0 + RATE_EXTRA;
            let in_window = sends
                .iter()
                .filter(|(at, _)| (*from..until).contains(at))
                .filter(|(_, gateway)| {
                    !was_disturbed(history, *gateway, from.saturating_sub(CONTACT_BOUND), until)
                });
            let count = in_window.count();
            (count as f64 > allowed).then(|| format!("{count} calls from {from}, rate {rate}"))
        });
        if let Some(excess) = excess {
            let text = format!("instance {instance}: {excess}");
            violations.push((RuleViolation::RateExceeded, text));
        }
    }
}

/// Highest rate that a target named within a time, by its changes in order of time; `None` if it
/// named none at some moment.
fn highest_rate(changes: &[&RateChange], from: Millis, until: Millis) -> Option<f64> {
    let first = changes.iter().rposition(|change| change.at <= from)?;
    let in_force = changes[first..].iter();
    let rates = in_force
        .take_while(|change| change.at < until)
        .map(|change| change.rate)
        .collect::<Option<Vec<_>>>()?;
    rates.into_iter().reduce(f64::max)
}

fn check_runs(history: &History, violations: &mut Violations) {
    for (id, arrivals) in &history.arrivals {
        let runs = arrivals
            .iter()
            .filter(|arrival| arrival.outcome.was_executed())
            .count();
        let Some(attempt) = history.attempts.get(id) else {
            violations.push((RuleViolation::MixedAnswer, format!("{id}: nobody sent it")));
            continue;
        };
        if runs > 1 && attempt.kind != CallKind::Read {
            violations.push((RuleViolation::RanTwice, format!("{id}: {runs} runs")));
        }
        let status = attempt.end.as_ref().and_then(|end| end.status);
        let is_refused = matches!(status, Some(408 | 421 | 429 | 503));
        if runs > 0 && is_refused && attempt.kind != CallKind::Read {
            violations.push((RuleViolation::FalseRefusal, format!("{id}: {status:?}")));
        }
    }
}

fn check_answers(history: &History, violations: &mut Violations) {
    for (id, attempt) in &history.attempts {
        let Some(end) = &attempt.end else {
            continue;
        };
        if end.status == Some(200) && !end.is_correct {
            violations.push((RuleViolation::MixedAnswer, id.clone()));
        }
    }
}

fn check_stops(history: &History, violations: &mut Violations) {
    for (at, gateway, event) in &history.gateways {
        if *event != GatewayEvent::Terminated {
            continue;
        }
        for (id, attempt) in &history.attempts {
            let was_in_flight = attempt.gateway == *gateway && attempt.sent + CONTACT_BOUND > *at;
            let Some(end) = attempt.end.as_ref().filter(|_| was_in_flight) else {
                continue;
            };
            let is_in_stop = end.at >= *at && end.at <= at + STOP_DURATION;
            // A stream that runs on at the end of the grace period may be cut off, if it was sent
            // early in the stop.
            let may_be_cut = attempt.kind == CallKind::Stream
                && attempt.sent <= at + EXEMPT_SENDS
                && end.at >= at + LAST_SIXTH;
            let ran = history.arrivals.get(id).and_then(|all| all.last());
            let was_answered = ran.is_some_and(|arrival| arrival.outcome == ArrivalOutcome::Ran);
            if end.status.is_none()
                && !end.has_timed_out
                && !may_be_cut
                && is_in_stop
                && was_answered
                && !was_killed_or_paused(
                    history,
                    *gateway,
                    attempt.sent.saturating_sub(CONTACT_BOUND),
                    end.at,
                )
            {
                violations.push((RuleViolation::CutOffByStop, format!("{id}: {attempt:?}")));
            }
        }
    }
}

/// Whether a gateway was killed, paused or resumed within a time.
fn was_killed_or_paused(history: &History, gateway: usize, from: Millis, until: Millis) -> bool {
    let mut events = history.gateways.iter();
    events.any(|(at, known, event)| {
        let is_counted = !matches!(event, GatewayEvent::Terminated | GatewayEvent::Started);
        *known == gateway && is_counted && (from..=until).contains(at)
    })
}

fn check_recovery(history: &History, faults_end: Millis, violations: &mut Violations) {
    let attempts = history.attempts.values();
    let late: Vec<_> = attempts
        .filter(|attempt| {
            attempt.sent > faults_end + CONTACT_BOUND && attempt.crashing_call.is_none()
        })
        .collect();
    let served = late.iter().filter(|attempt| {
        let end = attempt.end.as_ref();
        end.is_some_and(|end| end.status == Some(200))
    });
    let (served, all) = (served.count(), late.len());
    if (served as f64) < all as f64 * MIN_SERVED_SHARE || all == 0 {
        violations.push((
            RuleViolation::NotRecovered,
            format!("{served} of {all} served"),
        ));
    }
}
