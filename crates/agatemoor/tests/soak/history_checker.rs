use std::collections::BTreeMap;

use super::soak_history::{
    Arrival, ArrivalOutcome, CallKind, CallRecord, GatewayEvent, History, Millis,
};

/// The users' bounds.
const CONTACT: Millis = 3_000;
const DRAIN: Millis = 2_000;
const QUIET_SLACK: Millis = 500;
/// Sends that the users allow of a call that crashed three targets, and during a quiet time.
const CRASH_SENDS: usize = 3;
const QUIET_SENDS: usize = 2;
/// Time of a planned stop in which nothing may be lost.
const STOP_TIME: Millis = 9_000;
/// Share of the calls of the last part that are served, at least.
const SERVED_SHARE: f64 = 0.25;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenRule {
    /// A call that crashed three targets was sent on.
    CrashBudget,
    /// A target that said that it leaves got calls of the node that passed it on.
    LeavingTarget,
    /// A target that wanted quiet got calls.
    QuietTarget,
    /// A call that is not idempotent ran twice.
    RanTwice,
    /// A caller was told that its call did not run.
    FalseRefusal,
    /// A caller got another answer than its own, or one that is not whole.
    MixedAnswer,
    /// A planned stop cut a call off.
    LostInStop,
    /// Too few calls are served after the faults.
    NotRecovered,
}

/// Finds broken rules in a history; `calm` is when the last fault ended.
pub fn check_history(history: &History, calm: Millis) -> Vec<(BrokenRule, String)> {
    let mut broken = Vec::new();
    check_crashers(history, &mut broken);
    check_leaving(history, &mut broken);
    check_quiet(history, &mut broken);
    check_runs(history, &mut broken);
    check_answers(history, &mut broken);
    check_stops(history, &mut broken);
    check_recovery(history, calm, &mut broken);
    broken
}

type Broken = Vec<(BrokenRule, String)>;

/// Whether a gateway was disturbed within a time; only starts and ends of a process and freezes count.
fn is_disturbed(history: &History, gateway: usize, from: Millis, until: Millis) -> bool {
    let events = history.gateways.iter();
    let mut own = events.filter(|(_, known, _)| *known == gateway);
    let mut frozen_since = None;
    own.any(|(at, _, event)| {
        match event {
            GatewayEvent::Frozen => frozen_since = Some(*at),
            GatewayEvent::Woken => frozen_since = None,
            _ => {}
        }
        *at >= from && *at <= until
    }) || frozen_since.is_some_and(|at| at <= until)
}

/// Arrivals with their calls, by time.
fn arrivals(history: &History) -> Vec<(&String, &CallRecord, &Arrival)> {
    let mut all: Vec<_> = history
        .arrivals
        .iter()
        .filter_map(|(id, arrivals)| Some((id, history.calls.get(id)?, arrivals)))
        .flat_map(|(id, call, arrivals)| arrivals.iter().map(move |one| (id, call, one)))
        .collect();
    all.sort_by_key(|(_, _, arrival)| arrival.at);
    all
}

fn check_crashers(history: &History, broken: &mut Broken) {
    let mut by_call: BTreeMap<u32, Vec<(&CallRecord, &Arrival)>> = BTreeMap::new();
    for (_, call, arrival) in arrivals(history) {
        if let Some(crasher) = call.crasher {
            by_call.entry(crasher).or_default().push((call, arrival));
        }
    }
    for (crasher, sends) in by_call {
        let deaths = sends.iter();
        let mut deaths = deaths.filter(|(_, one)| one.outcome == ArrivalOutcome::Died);
        let Some((_, third)) = deaths.nth(2) else {
            continue;
        };
        let from = third.at + CONTACT;
        let later = sends.iter().filter(|(call, one)| {
            let is_calm = !is_disturbed(
                history,
                call.gateway,
                one.at.saturating_sub(CONTACT),
                one.at,
            );
            one.at > from && is_calm
        });
        let count = later.count();
        if count > CRASH_SENDS {
            let all = sends.len();
            let text = format!("call {crasher}: {count} sends after three deaths, {all} in all");
            broken.push((BrokenRule::CrashBudget, text));
        }
    }
}

fn check_leaving(history: &History, broken: &mut Broken) {
    let mut passed_on: BTreeMap<(usize, u64), Millis> = BTreeMap::new();
    for call in history.calls.values() {
        let end = call.end.as_ref();
        if let Some((end, run)) = end.and_then(|end| Some((end, end.leaving_run?))) {
            let at = passed_on.entry((call.gateway, run)).or_insert(end.at);
            *at = end.at.min(*at);
        }
    }
    for (id, call, arrival) in arrivals(history) {
        let Some(at) = passed_on.get(&(call.gateway, arrival.run)) else {
            continue;
        };
        let is_late = call.sent > at + DRAIN;
        if is_late && !is_disturbed(history, call.gateway, *at, arrival.at) {
            let text = format!("{id} at {} by {}, told at {at}", arrival.at, call.gateway);
            broken.push((BrokenRule::LeavingTarget, text));
        }
    }
}

fn check_quiet(history: &History, broken: &mut Broken) {
    let all = arrivals(history);
    for (_, call, ask) in &all {
        let ArrivalOutcome::WantsQuiet(span) = ask.outcome else {
            continue;
        };
        let (from, until) = (ask.at + QUIET_SLACK, ask.at + span);
        let sends = all.iter().filter(|(_, other, one)| {
            other.gateway == call.gateway && one.run == ask.run && one.at > from && one.at < until
        });
        let count = sends.count();
        if count > QUIET_SENDS && !is_disturbed(history, call.gateway, ask.at, until) {
            let text = format!("run {}: {count} sends by {}", ask.run, call.gateway);
            broken.push((BrokenRule::QuietTarget, text));
        }
    }
}

fn check_runs(history: &History, broken: &mut Broken) {
    for (id, arrivals) in &history.arrivals {
        let runs = arrivals.iter().filter(|one| one.outcome.has_run()).count();
        let Some(call) = history.calls.get(id) else {
            broken.push((BrokenRule::MixedAnswer, format!("{id}: nobody sent it")));
            continue;
        };
        if runs > 1 && call.kind != CallKind::Read {
            broken.push((BrokenRule::RanTwice, format!("{id}: {runs} runs")));
        }
        let status = call.end.as_ref().and_then(|end| end.status);
        let is_refused = matches!(status, Some(408 | 421 | 429 | 503));
        if runs > 0 && is_refused && call.kind != CallKind::Read {
            broken.push((BrokenRule::FalseRefusal, format!("{id}: {status:?}")));
        }
    }
}

fn check_answers(history: &History, broken: &mut Broken) {
    for (id, call) in &history.calls {
        let Some(end) = &call.end else {
            continue;
        };
        if end.status == Some(200) && !end.is_own {
            broken.push((BrokenRule::MixedAnswer, id.clone()));
        }
    }
}

fn check_stops(history: &History, broken: &mut Broken) {
    for (at, gateway, event) in &history.gateways {
        if *event != GatewayEvent::Terminated {
            continue;
        }
        for (id, call) in &history.calls {
            let is_there = call.gateway == *gateway && call.sent + CONTACT > *at;
            let Some(end) = call.end.as_ref().filter(|_| is_there) else {
                continue;
            };
            let is_in_stop = end.at >= *at && end.at <= at + STOP_TIME;
            let ran = history.arrivals.get(id).and_then(|all| all.last());
            let was_answered = ran.is_some_and(|one| one.outcome == ArrivalOutcome::Ran);
            if end.status.is_none()
                && !end.has_given_up
                && is_in_stop
                && was_answered
                && !is_hit(history, *gateway, call.sent.saturating_sub(CONTACT), end.at)
            {
                broken.push((BrokenRule::LostInStop, format!("{id}: {call:?}")));
            }
        }
    }
}

/// Whether a gateway was killed or frozen within a time.
fn is_hit(history: &History, gateway: usize, from: Millis, until: Millis) -> bool {
    let mut events = history.gateways.iter();
    events.any(|(at, known, event)| {
        let is_hit = !matches!(event, GatewayEvent::Terminated | GatewayEvent::Started);
        *known == gateway && is_hit && (from..=until).contains(at)
    })
}

fn check_recovery(history: &History, calm: Millis, broken: &mut Broken) {
    let calls = history.calls.values();
    let late: Vec<_> = calls
        .filter(|call| call.sent > calm + CONTACT && call.crasher.is_none())
        .collect();
    let served = late.iter().filter(|call| {
        let end = call.end.as_ref();
        end.is_some_and(|end| end.status == Some(200))
    });
    let (served, all) = (served.count(), late.len());
    if (served as f64) < all as f64 * SERVED_SHARE || all == 0 {
        broken.push((
            BrokenRule::NotRecovered,
            format!("{served} of {all} served"),
        ));
    }
}
