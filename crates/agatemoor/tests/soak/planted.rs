//! The checker finds each kind of broken rule in a history that was made up.

use super::history_checker::{BrokenRule, check_history};
use super::soak_history::{
    Arrival, ArrivalOutcome, CallEnd, CallKind, CallRecord, GatewayEvent, History, Millis,
};

/// When the faults of the made-up histories are over.
const CALM: Millis = 20_000;

fn call(kind: CallKind, gateway: usize, sent: Millis, status: Option<u16>) -> CallRecord {
    CallRecord {
        kind,
        crasher: None,
        gateway,
        sent,
        end: Some(CallEnd {
            at: sent + 100,
            status,
            is_own: true,
            has_given_up: false,
            leaving_run: None,
        }),
    }
}

fn arrival(run: u64, at: Millis, outcome: ArrivalOutcome) -> Arrival {
    Arrival { run, at, outcome }
}

/// A history that breaks no rule.
fn sound() -> History {
    let mut history = History::default();
    for number in 0..10 {
        let sent = CALM + 4_000 + number;
        add(
            &mut history,
            &format!("s{number}"),
            call(CallKind::Order, 0, sent, Some(200)),
        );
        arrive(
            &mut history,
            &format!("s{number}"),
            arrival(1, sent, ArrivalOutcome::Ran),
        );
    }
    history
}

fn add(history: &mut History, id: &str, call: CallRecord) {
    history.calls.insert(id.to_owned(), call);
}

fn arrive(history: &mut History, id: &str, arrival: Arrival) {
    history
        .arrivals
        .entry(id.to_owned())
        .or_default()
        .push(arrival);
}

fn rules(history: &History) -> Vec<BrokenRule> {
    let broken = check_history(history, CALM);
    let mut rules: Vec<_> = broken.into_iter().map(|(rule, _)| rule).collect();
    rules.sort();
    rules.dedup();
    rules
}

/// Sends of a call that crashes its targets, with pauses of two seconds.
fn crashing(sends: u64) -> History {
    let mut history = sound();
    for number in 0..sends {
        let (id, sent) = (format!("c{number}"), 1_000 + number * 2_000);
        let mut call = call(CallKind::Order, 0, sent, Some(502));
        call.crasher = Some(7);
        add(&mut history, &id, call);
        arrive(
            &mut history,
            &id,
            arrival(number, sent, ArrivalOutcome::Died),
        );
    }
    history
}

#[test]
fn a_sound_history_breaks_no_rule() {
    assert_eq!(rules(&sound()), []);
}

#[test]
fn finds_a_crashing_call_that_is_sent_on() {
    assert_eq!(rules(&crashing(5)), []);
    assert_eq!(rules(&crashing(9)), [BrokenRule::CrashBudget]);
    let mut excused = crashing(9);
    for at in 0..10 {
        excused
            .gateways
            .push((at * 2_000, 0, GatewayEvent::Started));
    }
    assert_eq!(rules(&excused), []);
}

#[test]
fn finds_calls_to_a_leaving_target() {
    let mut history = sound();
    let mut told = call(CallKind::Order, 0, 1_000, Some(200));
    told.end.as_mut().unwrap().leaving_run = Some(5);
    add(&mut history, "told", told);
    arrive(&mut history, "told", arrival(5, 1_000, ArrivalOutcome::Ran));
    add(
        &mut history,
        "late",
        call(CallKind::Order, 0, 3_200, Some(200)),
    );
    arrive(&mut history, "late", arrival(5, 3_200, ArrivalOutcome::Ran));
    assert_eq!(rules(&history), [BrokenRule::LeavingTarget]);
    history.gateways.push((2_000, 0, GatewayEvent::Frozen));
    assert_eq!(rules(&history), []);
}

#[test]
fn finds_calls_to_a_quiet_target() {
    let mut history = sound();
    for (number, at) in [1_000, 1_700, 1_800, 1_900].into_iter().enumerate() {
        let id = format!("q{number}");
        let outcome = match number {
            0 => ArrivalOutcome::WantsQuiet(2_000),
            _ => ArrivalOutcome::TurnedAway,
        };
        add(&mut history, &id, call(CallKind::Order, 0, at, Some(503)));
        arrive(&mut history, &id, arrival(5, at, outcome));
    }
    assert_eq!(rules(&history), [BrokenRule::QuietTarget]);
    history.arrivals.remove("q3");
    assert_eq!(rules(&history), []);
}

#[test]
fn finds_second_runs_and_false_refusals() {
    let mut history = sound();
    arrive(
        &mut history,
        "s1",
        arrival(2, CALM + 5_000, ArrivalOutcome::Broke),
    );
    assert_eq!(rules(&history), [BrokenRule::RanTwice]);
    let mut history = sound();
    add(&mut history, "r", call(CallKind::Plan, 0, 1_000, Some(503)));
    arrive(&mut history, "r", arrival(1, 1_000, ArrivalOutcome::Broke));
    assert_eq!(rules(&history), [BrokenRule::FalseRefusal]);
}

#[test]
fn finds_answers_that_are_not_the_callers_own() {
    let mut history = sound();
    history
        .calls
        .get_mut("s1")
        .unwrap()
        .end
        .as_mut()
        .unwrap()
        .is_own = false;
    assert_eq!(rules(&history), [BrokenRule::MixedAnswer]);
    let mut history = sound();
    arrive(
        &mut history,
        "unknown",
        arrival(1, 1_000, ArrivalOutcome::Ran),
    );
    assert_eq!(rules(&history), [BrokenRule::MixedAnswer]);
}

#[test]
fn finds_calls_that_a_planned_stop_cuts_off() {
    let mut history = sound();
    history.gateways.push((1_050, 0, GatewayEvent::Terminated));
    add(&mut history, "cut", call(CallKind::Order, 0, 1_000, None));
    arrive(&mut history, "cut", arrival(1, 1_000, ArrivalOutcome::Ran));
    assert_eq!(rules(&history), [BrokenRule::LostInStop]);
    history.gateways.push((1_060, 0, GatewayEvent::Killed));
    assert_eq!(rules(&history), []);
}

#[test]
fn finds_a_fleet_that_does_not_recover() {
    let mut history = sound();
    for call in history.calls.values_mut() {
        call.end.as_mut().unwrap().status = Some(503);
    }
    history.arrivals.clear();
    assert_eq!(rules(&history), [BrokenRule::NotRecovered]);
}
