//! The history checker finds each kind of violation in a constructed history.

use super::history_checker::{RuleViolation, check_history, check_read_calls};
use super::soak_history::{
    Arrival, ArrivalOutcome, AttemptEnd, AttemptRecord, CallKind, GatewayEvent, History, Millis,
    RateChange,
};

/// When the faults of the constructed histories end.
const FAULTS_END: Millis = 20_000;

fn attempt(kind: CallKind, gateway: usize, sent: Millis, status: Option<u16>) -> AttemptRecord {
    AttemptRecord {
        kind,
        crashing_call: None,
        has_deadly_part: false,
        gateway,
        sent,
        end: Some(AttemptEnd {
            at: sent + 100,
            status,
            is_correct: true,
            has_timed_out: false,
            leaving_instance: None,
        }),
    }
}

fn arrival(instance: u64, at: Millis, outcome: ArrivalOutcome) -> Arrival {
    Arrival {
        instance,
        at,
        outcome,
    }
}

/// A history without a violation.
fn valid_history() -> History {
    let mut history = History::default();
    for number in 0..10 {
        let sent = FAULTS_END + 4_000 + number;
        add_attempt(
            &mut history,
            &format!("s{number}"),
            attempt(CallKind::Order, 0, sent, Some(200)),
        );
        add_arrival(
            &mut history,
            &format!("s{number}"),
            arrival(1, sent, ArrivalOutcome::Ran),
        );
    }
    history
}

fn add_attempt(history: &mut History, id: &str, attempt: AttemptRecord) {
    history.attempts.insert(id.to_owned(), attempt);
}

fn add_arrival(history: &mut History, id: &str, arrival: Arrival) {
    history
        .arrivals
        .entry(id.to_owned())
        .or_default()
        .push(arrival);
}

fn violated_rules(history: &History) -> Vec<RuleViolation> {
    let violations = check_history(history, FAULTS_END);
    let mut rules: Vec<_> = violations.into_iter().map(|(rule, _)| rule).collect();
    rules.sort();
    rules.dedup();
    rules
}

/// A history with so many sends of a call that crashes its targets, two seconds apart.
fn crashing_history(sends: u64) -> History {
    let mut history = valid_history();
    for number in 0..sends {
        let (id, sent) = (format!("c{number}"), 1_000 + number * 2_000);
        let mut attempt = attempt(CallKind::Order, 0, sent, Some(502));
        attempt.crashing_call = Some(7);
        add_attempt(&mut history, &id, attempt);
        add_arrival(
            &mut history,
            &id,
            arrival(number, sent, ArrivalOutcome::Crashed),
        );
    }
    history
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(violated_rules(&valid_history()), []);
}

#[test]
fn finds_a_crashing_call_that_is_sent_too_often() {
    assert_eq!(violated_rules(&crashing_history(5)), []);
    assert_eq!(
        violated_rules(&crashing_history(9)),
        [RuleViolation::CrashBudget]
    );
    let mut restarted = crashing_history(9);
    for at in 0..10 {
        restarted
            .gateways
            .push((at * 2_000, 0, GatewayEvent::Started));
    }
    assert_eq!(violated_rules(&restarted), []);
}

#[test]
fn finds_a_deadly_part_that_is_sent_too_often() {
    let history = |sends| {
        let mut history = crashing_history(sends);
        for attempt in history.attempts.values_mut() {
            attempt.has_deadly_part = attempt.crashing_call.take().is_some();
        }
        history
    };
    assert_eq!(violated_rules(&history(9)), []);
    assert_eq!(violated_rules(&history(10)), [RuleViolation::PartBudget]);
}

#[test]
fn finds_calls_to_a_leaving_target() {
    let mut history = valid_history();
    let mut informed = attempt(CallKind::Order, 0, 1_000, Some(200));
    informed.end.as_mut().unwrap().leaving_instance = Some(5);
    add_attempt(&mut history, "informed", informed);
    add_arrival(
        &mut history,
        "informed",
        arrival(5, 1_000, ArrivalOutcome::Ran),
    );
    add_attempt(
        &mut history,
        "late",
        attempt(CallKind::Order, 0, 3_200, Some(200)),
    );
    add_arrival(&mut history, "late", arrival(5, 3_200, ArrivalOutcome::Ran));
    assert_eq!(violated_rules(&history), [RuleViolation::LeavingTarget]);
    history.gateways.push((2_000, 0, GatewayEvent::Paused));
    assert_eq!(violated_rules(&history), []);
}

#[test]
fn finds_calls_to_a_target_that_asked_for_a_backoff() {
    let mut history = valid_history();
    for (number, at) in [1_000, 1_700, 1_800, 1_900].into_iter().enumerate() {
        let id = format!("q{number}");
        let outcome = match number {
            0 => ArrivalOutcome::AskedBackoff(2_000),
            _ => ArrivalOutcome::Refused,
        };
        add_attempt(
            &mut history,
            &id,
            attempt(CallKind::Order, 0, at, Some(503)),
        );
        add_arrival(&mut history, &id, arrival(5, at, outcome));
    }
    assert_eq!(violated_rules(&history), [RuleViolation::BackoffIgnored]);
    history.arrivals.remove("q3");
    assert_eq!(violated_rules(&history), []);
}

#[test]
fn finds_calls_to_an_instance_that_another_one_replaced() {
    let mut history = valid_history();
    for (id, at) in [("w1", 1_000), ("w2", 1_400)] {
        add_attempt(&mut history, id, attempt(CallKind::Order, 0, at, Some(503)));
        add_arrival(
            &mut history,
            id,
            arrival(5, at, ArrivalOutcome::WrongInstance(4)),
        );
    }
    assert_eq!(violated_rules(&history), []);
    let late = attempt(CallKind::Order, 0, 1_600, Some(503));
    add_attempt(&mut history, "w3", late);
    let late = arrival(5, 1_600, ArrivalOutcome::WrongInstance(4));
    add_arrival(&mut history, "w3", late);
    assert_eq!(violated_rules(&history), [RuleViolation::ReplacedInstance]);
    // Another gateway, to which the call was forwarded, may not know it yet; it sends no later call.
    let sent = attempt(CallKind::Order, 1, 1_600, Some(503));
    history.forwarded.insert("w3".to_owned(), sent);
    assert_eq!(violated_rules(&history), []);
    let sent = attempt(CallKind::Order, 1, 1_000, Some(503));
    history.forwarded.insert("w1".to_owned(), sent);
    assert_eq!(violated_rules(&history), [RuleViolation::ReplacedInstance]);
    history.forwarded.clear();
    history.gateways.push((1_500, 0, GatewayEvent::Paused));
    assert_eq!(violated_rules(&history), []);
}

/// A history in which a target names two calls a second and two gateways send it so many in a second.
fn rate_history(sends: u64) -> History {
    let mut history = valid_history();
    history.rates.push(RateChange {
        at: 1_000,
        instance: 5,
        rate: Some(2.0),
    });
    for number in 0..sends {
        let (id, at) = (format!("l{number}"), 5_000 + number * 1_000 / sends);
        let gateway = number as usize % 2;
        add_attempt(
            &mut history,
            &id,
            attempt(CallKind::Order, gateway, at, Some(200)),
        );
        add_arrival(&mut history, &id, arrival(5, at, ArrivalOutcome::Ran));
    }
    history
}

#[test]
fn finds_calls_beyond_the_rate_that_a_target_names() {
    assert_eq!(violated_rules(&rate_history(17)), []);
    assert_eq!(
        violated_rules(&rate_history(18)),
        [RuleViolation::RateExceeded]
    );
    let mut paused = rate_history(18);
    paused.gateways.push((5_500, 1, GatewayEvent::Paused));
    assert_eq!(violated_rules(&paused), []);
    for (at, rate) in [(2_500, Some(4.0)), (4_000, None), (8_000, None)] {
        let mut changed = rate_history(18);
        let change = RateChange {
            at,
            instance: 5,
            rate,
        };
        changed.rates.push(change);
        assert_eq!(violated_rules(&changed), []);
    }
    let mut lowered = rate_history(18);
    lowered.rates[0].rate = Some(9.0);
    let change = RateChange {
        at: 1_500,
        instance: 5,
        rate: Some(2.0),
    };
    lowered.rates.push(change);
    assert_eq!(violated_rules(&lowered), [RuleViolation::RateExceeded]);
}

#[test]
fn finds_repeated_executions_and_false_refusals() {
    let mut history = valid_history();
    add_arrival(
        &mut history,
        "s1",
        arrival(2, FAULTS_END + 5_000, ArrivalOutcome::BrokeOff),
    );
    assert_eq!(violated_rules(&history), [RuleViolation::RanTwice]);
    let mut history = valid_history();
    add_attempt(
        &mut history,
        "r",
        attempt(CallKind::Stream, 0, 1_000, Some(503)),
    );
    add_arrival(
        &mut history,
        "r",
        arrival(1, 1_000, ArrivalOutcome::BrokeOff),
    );
    assert_eq!(violated_rules(&history), [RuleViolation::FalseRefusal]);
}

#[test]
fn finds_answers_to_another_call() {
    let mut history = valid_history();
    history
        .attempts
        .get_mut("s1")
        .unwrap()
        .end
        .as_mut()
        .unwrap()
        .is_correct = false;
    assert_eq!(violated_rules(&history), [RuleViolation::MixedAnswer]);
    let mut history = valid_history();
    add_arrival(
        &mut history,
        "unknown",
        arrival(1, 1_000, ArrivalOutcome::Ran),
    );
    assert_eq!(violated_rules(&history), [RuleViolation::MixedAnswer]);
}

#[test]
fn finds_calls_that_a_planned_stop_cuts_off() {
    let mut history = valid_history();
    history.gateways.push((1_050, 0, GatewayEvent::Terminated));
    add_attempt(
        &mut history,
        "cut",
        attempt(CallKind::Order, 0, 1_000, None),
    );
    add_arrival(&mut history, "cut", arrival(1, 1_000, ArrivalOutcome::Ran));
    assert_eq!(violated_rules(&history), [RuleViolation::CutOffByStop]);
    history.gateways.push((1_060, 0, GatewayEvent::Killed));
    assert_eq!(violated_rules(&history), []);
}

#[test]
fn finds_a_fleet_that_does_not_recover() {
    let mut history = valid_history();
    for attempt in history.attempts.values_mut() {
        attempt.end.as_mut().unwrap().status = Some(503);
    }
    history.arrivals.clear();
    assert_eq!(violated_rules(&history), [RuleViolation::NotRecovered]);
}

/// Rules that a call breaks which ended without an answer in a soak of stressed stops.
fn rules_of_unanswered(
    kind: CallKind,
    sent: Millis,
    ended: Millis,
    outcome: Option<ArrivalOutcome>,
    is_logged: bool,
) -> Vec<RuleViolation> {
    let mut history = valid_history();
    history.gateways.push((1_000, 0, GatewayEvent::Terminated));
    let mut call = attempt(kind, 0, sent, None);
    call.end.as_mut().unwrap().at = ended;
    add_attempt(&mut history, "s1", call);
    history.arrivals.remove("s1");
    if let Some(outcome) = outcome {
        add_arrival(&mut history, "s1", arrival(1, sent, outcome));
    }
    if is_logged {
        history.read.insert("s1".to_owned());
    }
    let found = check_read_calls(&history);
    found.into_iter().map(|(rule, _)| rule).collect()
}

// Guards against a checker of stressed stops that passes over calls that were read, whether or not
// they reached a target, or counts calls that were not read, whose target broke them off, or that
// outlast the stop.
#[test]
fn finds_read_calls_without_an_answer() {
    let (order, stream) = (CallKind::Order, CallKind::Stream);
    let ran = Some(ArrivalOutcome::Ran);
    let found = [RuleViolation::UnansweredCall];
    assert_eq!(rules_of_unanswered(order, 900, 1_100, None, true), found);
    assert_eq!(rules_of_unanswered(order, 900, 1_100, ran, false), found);
    assert_eq!(rules_of_unanswered(stream, 900, 3_000, ran, true), found);
    assert_eq!(rules_of_unanswered(stream, 5_000, 8_900, ran, true), found);
    assert_eq!(rules_of_unanswered(order, 900, 1_100, None, false), []);
    let broke = Some(ArrivalOutcome::BrokeOff);
    assert_eq!(rules_of_unanswered(order, 900, 1_100, broke, true), []);
    assert_eq!(rules_of_unanswered(stream, 900, 8_900, ran, true), []);
}
