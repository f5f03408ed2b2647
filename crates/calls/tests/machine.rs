//! Guards the attempts of a call: what may be repeated, what is delivered and what is told.

mod seeded;

use base::{ClockTime, ErrorKind, RanState, TargetName, TimeSpan};
use calls::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallMachine, CallPlan,
    ConnectionNumber, ResumePoint,
};
use proptest::prelude::*;
use yare::parameterized;

const NOW: ClockTime = ClockTime::new(5_000);

struct Driver {
    machine: CallMachine,
    now: ClockTime,
    out: Vec<CallAction>,
}

impl Driver {
    fn new(change: impl Fn(&mut CallPlan)) -> Self {
        let mut plan = CallPlan::new("r1".parse().unwrap());
        change(&mut plan);
        let mut driver = Self {
            machine: CallMachine::new(plan),
            now: NOW,
            out: Vec::new(),
        };
        driver.machine.start(NOW, &mut driver.out);
        driver
    }

    /// A call that was sent on connection 1.
    fn sent(change: impl Fn(&mut CallPlan)) -> Self {
        let mut driver = Self::new(change);
        driver.choose("e1");
        driver.connect();
        driver
    }

    /// A call that got two tokens of `g1`.
    fn streaming(change: impl Fn(&mut CallPlan)) -> Self {
        let mut driver = Self::sent(change);
        driver.token("g1", 0);
        driver.token("g1", 1);
        driver
    }

    fn feed(&mut self, event: CallEvent<'_>) -> &[CallAction] {
        self.out.clear();
        self.machine.on_event(self.now, event, &mut self.out);
        &self.out
    }

    fn choose(&mut self, name: &str) {
        let target = name.parse().unwrap();
        self.feed(CallEvent::TargetChosen { target });
    }

    fn connect(&mut self) {
        let connection = self.connection();
        self.feed(CallEvent::Connected { connection });
        self.feed(CallEvent::FirstByteSent { connection });
    }

    fn token(&mut self, generation: &str, offset: u64) -> &[CallAction] {
        let connection = self.connection();
        self.feed(CallEvent::Token {
            connection,
            generation,
            offset,
            len: 1,
        })
    }

    fn connection(&self) -> ConnectionNumber {
        self.machine.current_connection().unwrap()
    }

    /// Waits for the timer and returns what it brings.
    fn wait(&mut self) -> &[CallAction] {
        self.now += TimeSpan::from_secs(3);
        self.feed(CallEvent::Timer)
    }

    fn failure(&self) -> Option<CallFailure> {
        self.out.iter().find_map(|action| match action {
            CallAction::Fail(failure) => Some(*failure),
            _ => None,
        })
    }
}

fn repeatable(plan: &mut CallPlan) {
    plan.repeatable = true;
}

fn whole(plan: &mut CallPlan) {
    plan.repeatable = true;
    plan.mode = AnswerMode::Buffered;
}

fn fixed(_plan: &mut CallPlan) {}

fn lost(driver: &mut Driver) {
    let connection = driver.connection();
    driver.feed(CallEvent::ConnectionLost { connection });
}

fn silent(driver: &mut Driver) {
    let connection = driver.connection();
    driver.feed(CallEvent::ConnectionSilent { connection });
}

fn died(driver: &mut Driver) {
    let target = "e1".parse().unwrap();
    driver.feed(CallEvent::TargetDied { target });
}

fn failed(driver: &mut Driver) {
    let connection = driver.connection();
    driver.feed(CallEvent::TargetFailed {
        connection,
        status: 500,
    });
}

fn deadline(driver: &mut Driver) {
    driver.feed(CallEvent::DeadlineReached);
}

/// Guards P4: after the first byte a call that is not repeatable is never tried again.
#[parameterized(
    connection_lost = { lost, ErrorKind::TargetLost },
    connection_silent = { silent, ErrorKind::TargetLost },
    target_died = { died, ErrorKind::TargetLost },
    target_failed = { failed, ErrorKind::TargetFailed },
    deadline_passed = { deadline, ErrorKind::DeadlineExceeded },
)]
fn sent_call_is_not_repeated(end: fn(&mut Driver), kind: ErrorKind) {
    let mut driver = Driver::sent(fixed);
    end(&mut driver);
    let failure = driver.failure().unwrap();
    assert_eq!((failure.kind, failure.ran), (kind, RanState::Unknown));
    assert_eq!(driver.machine.state(), AttemptState::Done);
}

/// Guards against needless failures: before the first byte any call may go elsewhere.
#[parameterized(
    connection_lost = { lost },
    target_died = { died },
)]
fn unsent_call_goes_to_another_target(end: fn(&mut Driver)) {
    let mut driver = Driver::new(fixed);
    driver.choose("e1");
    end(&mut driver);
    let exclude = vec!["e1".parse().unwrap()];
    let retry = true;
    assert_eq!(driver.wait(), [CallAction::ChooseTarget { exclude, retry }]);
    assert_eq!(driver.machine.ran(), RanState::No);
}

/// Guards P3 and availability: "not admitted" takes the sent request back.
#[test]
fn not_admitted_call_is_tried_again_and_told_not_run() {
    let mut driver = Driver::sent(fixed);
    let connection = driver.connection();
    let retry_after = Some(TimeSpan::from_secs(7));
    driver.feed(CallEvent::NotAdmitted {
        connection,
        retry_after,
    });
    assert!(matches!(driver.wait()[0], CallAction::ChooseTarget { .. }));
    let kind = ErrorKind::Overloaded;
    let retry_after = None;
    driver.feed(CallEvent::NoTarget { kind, retry_after });
    let failure = driver.failure().unwrap();
    assert_eq!(failure.ran, RanState::No);
    assert_eq!(failure.retry_after, Some(TimeSpan::from_secs(7)));
}

/// Guards P3: an earlier attempt that may have run is not forgotten by a later one that did not.
#[test]
fn refused_retry_of_a_lost_attempt_is_told_unknown() {
    let mut driver = Driver::sent(repeatable);
    lost(&mut driver);
    driver.wait();
    driver.choose("e2");
    driver.connect();
    let connection = driver.connection();
    let retry_after = None;
    driver.feed(CallEvent::NotAdmitted {
        connection,
        retry_after,
    });
    driver.wait();
    driver.feed(CallEvent::RetryRefused { retry_after });
    let failure = driver.failure().unwrap();
    assert_eq!(failure.kind, ErrorKind::RetriesExhausted);
    assert_eq!(failure.ran, RanState::Unknown);
}

/// Guards P3 against a shell that reports an answer without having reported the first byte.
#[test]
fn answer_proves_that_the_request_was_sent() {
    let mut driver = Driver::new(fixed);
    driver.choose("e1");
    failed(&mut driver);
    assert_eq!(driver.failure().unwrap().ran, RanState::Unknown);
}

/// Guards streams against a broken or silent connection, whether the call is repeatable or not.
#[parameterized(
    connection_lost = { lost },
    connection_silent = { silent },
)]
fn stream_is_resumed_on_a_fresh_link(end: fn(&mut Driver)) {
    let mut driver = Driver::streaming(fixed);
    end(&mut driver);
    let resume = CallAction::Resume {
        connection: ConnectionNumber(2),
        target: "e1".parse().unwrap(),
        generation: "g1".parse().unwrap(),
        offset: 2,
    };
    let close = CallAction::CloseConnection {
        connection: ConnectionNumber(1),
    };
    assert_eq!(driver.out[..2], [close, resume]);
    let late = CallEvent::Token {
        connection: ConnectionNumber(1),
        generation: "g1",
        offset: 2,
        len: 1,
    };
    assert_eq!(driver.feed(late), [CallAction::Drop]);
    let deliver = CallAction::Deliver { offset: 2, len: 1 };
    assert_eq!(driver.token("g1", 2), [deliver]);
}

/// Guards P1 against tokens that are not the next ones.
#[parameterized(
    duplicate = { "g1", 1, false },
    foreign = { "g2", 2, false },
    gap = { "g1", 4, true },
)]
fn wrong_token_is_dropped(generation: &str, offset: u64, resumes: bool) {
    let mut driver = Driver::streaming(fixed);
    let actions = driver.token(generation, offset);
    assert_eq!(actions[0], CallAction::Drop);
    let resumed = actions
        .iter()
        .any(|action| matches!(action, CallAction::Resume { offset: 2, .. }));
    assert_eq!(resumed, resumes);
}

/// Guards P1: a lost generation is never continued by another one once the caller has a part.
#[parameterized(
    streamed_with_tokens = { repeatable, 2, true },
    streamed_without_tokens = { repeatable, 0, false },
    whole_with_tokens = { whole, 2, false },
    not_repeatable = { fixed, 0, true },
)]
fn lost_generation(change: fn(&mut CallPlan), tokens: u64, fails: bool) {
    let mut driver = Driver::sent(change);
    let connection = driver.connection();
    let generation = "g1";
    driver.feed(CallEvent::Accepted {
        connection,
        generation,
    });
    (0..tokens).for_each(|offset| {
        driver.token("g1", offset);
    });
    died(&mut driver);
    assert_eq!(driver.failure().is_some(), fails);
    if let Some(failure) = driver.failure() {
        assert_eq!(failure.ran, RanState::Yes);
        return;
    }
    let discarded = driver.out.contains(&CallAction::DiscardAnswer);
    assert_eq!(discarded, tokens > 0, "what was collected is dropped");
    assert!(matches!(driver.wait()[0], CallAction::ChooseTarget { .. }));
}

/// Guards P1 for whole answers whose first part went to the caller.
#[test]
fn committed_whole_answer_is_not_rerun() {
    let mut driver = Driver::streaming(whole);
    driver.feed(CallEvent::AnswerCommitted);
    died(&mut driver);
    assert_eq!(driver.failure().unwrap().kind, ErrorKind::GenerationLost);
}

/// Guards P2: the end completes an answer only if nothing is missing.
#[test]
fn end_with_missing_tokens_resumes() {
    let mut driver = Driver::streaming(fixed);
    let connection = driver.connection();
    let generation = "g1";
    let count = 3;
    let end = CallEvent::EndOfStream {
        connection,
        generation,
        count,
    };
    driver.feed(end);
    assert!(
        driver
            .out
            .iter()
            .any(|action| matches!(action, CallAction::Resume { .. }))
    );
    driver.token("g1", 2);
    let connection = driver.connection();
    driver.feed(CallEvent::EndOfStream {
        connection,
        generation,
        count,
    });
    assert_eq!(driver.out.last(), Some(&CallAction::Finish { count: 3 }));
}

/// Guards P3 and P4 against late events of a connection that was given up: none of them may end,
/// take back or answer the attempt that is under way on another one.
#[parameterized(
    not_admitted = { CallEvent::NotAdmitted { connection: ConnectionNumber(1), retry_after: None } },
    accepted = { CallEvent::Accepted { connection: ConnectionNumber(1), generation: "g1" } },
    ended = { CallEvent::EndOfStream { connection: ConnectionNumber(1), generation: "g1", count: 0 } },
    connection_lost = { CallEvent::ConnectionLost { connection: ConnectionNumber(1) } },
    target_failed = { CallEvent::TargetFailed { connection: ConnectionNumber(1), status: 500 } },
    connected = { CallEvent::Connected { connection: ConnectionNumber(1) } },
)]
fn late_event_of_an_abandoned_link_has_no_effect(event: CallEvent<'static>) {
    let mut driver = Driver::new(fixed);
    driver.choose("e1");
    lost(&mut driver);
    driver.wait();
    driver.choose("e2");
    driver.connect();
    assert_eq!(driver.feed(event), []);
    assert_eq!(driver.machine.state(), AttemptState::Sent);
    assert_eq!(driver.machine.ran(), RanState::Unknown);
}

/// Guards against endless resumes of a generation that yields nothing.
#[test]
fn resumes_without_progress_end() {
    let mut driver = Driver::streaming(fixed);
    for _ in 0..20 {
        if driver.machine.state() == AttemptState::Done {
            break;
        }
        match driver.machine.current_connection() {
            Some(_) => lost(&mut driver),
            None => {
                driver.wait();
            }
        }
    }
    assert_eq!(driver.failure().unwrap().kind, ErrorKind::GenerationLost);
}

/// Guards against a connection that is never set up.
#[test]
fn connect_timeout_goes_elsewhere() {
    let mut driver = Driver::new(fixed);
    driver.choose("e1");
    let closed = CallAction::CloseConnection {
        connection: ConnectionNumber(1),
    };
    assert_eq!(driver.wait()[0], closed);
    assert!(matches!(driver.wait()[0], CallAction::ChooseTarget { .. }));
}

/// Guards engines against work that nobody reads, and uninterruptible work against its caller.
#[parameterized(
    interruptible = { false },
    uninterruptible = { true },
)]
fn caller_gone(uninterruptible: bool) {
    let mut driver = Driver::streaming(|plan| plan.uninterruptible = uninterruptible);
    driver.feed(CallEvent::CallerGone);
    if uninterruptible {
        assert_eq!(driver.out, []);
        let deliver = CallAction::Deliver { offset: 2, len: 1 };
        assert_eq!(driver.token("g1", 2), [deliver]);
        return;
    }
    let cancelled = |action: &CallAction| matches!(action, CallAction::Cancel { .. });
    assert!(driver.out.iter().any(cancelled));
    let ran = RanState::Yes;
    assert_eq!(driver.out.last(), Some(&CallAction::Abandon { ran }));
}

/// Guards the caller's deadline: it is told in time although the work goes on.
#[test]
fn deadline_of_an_uninterruptible_call_detaches() {
    let mut driver = Driver::sent(|plan| {
        plan.uninterruptible = true;
        plan.deadline = Some(NOW + TimeSpan::from_secs(2));
    });
    let failure = CallFailure::new(ErrorKind::DeadlineExceeded);
    assert_eq!(driver.wait(), [CallAction::Detach(failure)]);
    assert_eq!(driver.machine.state(), AttemptState::Sent);
}

/// Guards the deadline in front of a backoff: a request given up is not held back.
#[test]
fn retry_past_the_deadline_fails_at_once() {
    let mut driver = Driver::new(|plan| plan.deadline = Some(NOW));
    driver.choose("e1");
    lost(&mut driver);
    assert_eq!(driver.failure().unwrap().ran, RanState::No);
}

/// Guards callers that continue a generation at another node.
#[test]
fn caller_continues_a_generation() {
    let mut driver = Driver::new(|plan| {
        plan.repeatable = true;
        plan.resume = Some(ResumePoint {
            target: "e1".parse().unwrap(),
            generation: "g1".parse().unwrap(),
            next_offset: 5,
        });
    });
    assert!(matches!(
        driver.out[0],
        CallAction::Resume { offset: 5, .. }
    ));
    let connection = driver.connection();
    driver.feed(CallEvent::ResumeRefused { connection });
    let failure = driver.failure().unwrap();
    assert_eq!(failure.kind, ErrorKind::GenerationLost);
    assert_eq!(failure.ran, RanState::Yes);
}

/// An event as the generator draws it; connections count back from the newest one.
#[derive(Clone, Debug)]
enum Step {
    Chosen,
    NoTarget,
    RetryRefused,
    Connected(u32),
    ConnectFailed(u32),
    NotAdmitted(u32),
    Accepted(u32, u8),
    Token(u32, u8, u64, u32),
    End(u32, u8, u64),
    Lost(u32),
    Silent(u32),
    Died,
    Failed(u32),
    ResumeRefused(u32),
    Committed,
    Gone,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let connection = prop_oneof![6 => Just(0_u32), 1 => Just(1), 1 => Just(2)];
    let generation = prop_oneof![8 => Just(1_u8), 1 => Just(2)];
    prop_oneof![
        6 => Just(Step::Chosen),
        1 => Just(Step::NoTarget),
        1 => Just(Step::RetryRefused),
        6 => connection.clone().prop_map(Step::Connected),
        1 => connection.clone().prop_map(Step::ConnectFailed),
        1 => connection.clone().prop_map(Step::NotAdmitted),
        2 => (connection.clone(), generation.clone()).prop_map(|(l, g)| Step::Accepted(l, g)),
        20 => (connection.clone(), generation.clone(), 0_u64..12, 1_u32..3)
            .prop_map(|(l, g, o, n)| Step::Token(l, g, o, n)),
        2 => (connection.clone(), generation, 0_u64..12).prop_map(|(l, g, c)| Step::End(l, g, c)),
        2 => connection.clone().prop_map(Step::Lost),
        1 => connection.clone().prop_map(Step::Silent),
        1 => Just(Step::Died),
        1 => connection.clone().prop_map(Step::Failed),
        1 => connection.prop_map(Step::ResumeRefused),
        1 => Just(Step::Committed),
        1 => Just(Step::Gone),
        5 => (0_u64..2_000).prop_map(Step::Wait),
    ]
}

/// What the caller and the targets see of a machine.
#[derive(Default)]
struct Seen {
    connections: u32,
    /// Link of the request that may run, and whether it was taken back.
    may_run: bool,
    ever_sent: u32,
    delivered: Vec<(u8, u64)>,
    finals: u32,
}

fn feed_step(
    machine: &mut CallMachine,
    now: ClockTime,
    step: &Step,
    connections: u32,
) -> Vec<CallAction> {
    let connection = |back: &u32| ConnectionNumber(connections.saturating_sub(*back));
    let names = ["", "g1", "g2"];
    let target: TargetName = "e1".parse().unwrap();
    let event = match step {
        Step::Chosen => CallEvent::TargetChosen { target },
        Step::NoTarget => CallEvent::NoTarget {
            kind: ErrorKind::NoTarget,
            retry_after: None,
        },
        Step::RetryRefused => CallEvent::RetryRefused { retry_after: None },
        Step::Connected(back) => CallEvent::Connected {
            connection: connection(back),
        },
        Step::ConnectFailed(back) => CallEvent::ConnectFailed {
            connection: connection(back),
        },
        Step::NotAdmitted(back) => CallEvent::NotAdmitted {
            connection: connection(back),
            retry_after: None,
        },
        Step::Accepted(back, generation) => CallEvent::Accepted {
            connection: connection(back),
            generation: names[usize::from(*generation)],
        },
        Step::Token(back, generation, offset, len) => CallEvent::Token {
            connection: connection(back),
            generation: names[usize::from(*generation)],
            offset: *offset,
            len: *len,
        },
        Step::End(back, generation, count) => CallEvent::EndOfStream {
            connection: connection(back),
            generation: names[usize::from(*generation)],
            count: *count,
        },
        Step::Lost(back) => CallEvent::ConnectionLost {
            connection: connection(back),
        },
        Step::Silent(back) => CallEvent::ConnectionSilent {
            connection: connection(back),
        },
        Step::Died => CallEvent::TargetDied { target },
        Step::Failed(back) => CallEvent::TargetFailed {
            connection: connection(back),
            status: 500,
        },
        Step::ResumeRefused(back) => CallEvent::ResumeRefused {
            connection: connection(back),
        },
        Step::Committed => CallEvent::AnswerCommitted,
        Step::Gone => CallEvent::CallerGone,
        Step::Wait(_) => CallEvent::Timer,
    };
    let mut out = Vec::new();
    machine.on_event(now, event, &mut out);
    out
}

fn check_actions(
    seen: &mut Seen,
    machine: &mut CallMachine,
    now: ClockTime,
    step: &Step,
    actions: Vec<CallAction>,
    repeatable: bool,
) {
    for action in actions {
        match action {
            CallAction::Connect { connection, .. } | CallAction::Resume { connection, .. } => {
                assert!(
                    connection.0 > seen.connections,
                    "connections are numbered upwards"
                );
                seen.connections = connection.0;
            }
            CallAction::Send { connection, .. } => {
                assert!(
                    repeatable || !seen.may_run,
                    "sent again after it may have run"
                );
                machine.on_event(
                    now,
                    CallEvent::FirstByteSent { connection },
                    &mut Vec::new(),
                );
                seen.may_run = true;
                seen.ever_sent += 1;
            }
            CallAction::Deliver { offset, len } => {
                let Step::Token(_, generation, ..) = step else {
                    panic!("delivered without a token");
                };
                let next = seen.delivered.len() as u64;
                assert_eq!(offset, next, "tokens are delivered in order");
                let items = (offset..offset + u64::from(len)).map(|at| (*generation, at));
                seen.delivered.extend(items);
                let first = seen.delivered[0].0;
                assert!(seen.delivered.iter().all(|(name, _)| *name == first));
            }
            CallAction::DiscardAnswer => seen.delivered.clear(),
            CallAction::Finish { count } => {
                assert_eq!(count, seen.delivered.len() as u64, "the answer is whole");
                seen.finals += 1;
            }
            CallAction::Fail(failure) => {
                assert!(failure.ran != RanState::No || !seen.may_run, "told not run");
                seen.finals += 1;
            }
            CallAction::Abandon { .. } => seen.finals += 1,
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(seeded::config(2_000))]

    /// Guards P1 to P4 against any order of events, also from abandoned connections.
    #[test]
    fn any_events_keep_the_guarantees(
        steps in prop::collection::vec(step(), 1..60),
        repeatable: bool,
        whole: bool,
        uninterruptible: bool,
        seed: u64,
    ) {
        let mut plan = CallPlan::new("r1".parse().unwrap());
        plan.repeatable = repeatable;
        plan.uninterruptible = uninterruptible;
        plan.seed = seed;
        plan.deadline = Some(NOW + TimeSpan::from_secs(20));
        if whole {
            plan.mode = AnswerMode::Buffered;
        }
        let mut machine = CallMachine::new(plan);
        let mut now = NOW;
        let mut seen = Seen::default();
        let mut out = Vec::new();
        machine.start(now, &mut out);
        for step in &steps {
            if let Step::Wait(millis) = step {
                now += TimeSpan::new(*millis);
            }
            let admitted = machine.state() == AttemptState::Sent;
            let current = machine.current_connection();
            if let Step::NotAdmitted(back) = step
                && admitted
                && current == Some(ConnectionNumber(seen.connections.saturating_sub(*back)))
                && seen.ever_sent == 1
            {
                seen.may_run = false;
                seen.ever_sent = 0;
            }
            let actions = feed_step(&mut machine, now, step, seen.connections);
            let ended = seen.finals > 0;
            let harmless = actions.iter().all(|action| *action == CallAction::Drop);
            prop_assert!(!ended || harmless, "nothing follows the final action");
            check_actions(&mut seen, &mut machine, now, step, actions, repeatable);
            prop_assert!(seen.finals <= 1);
            prop_assert_eq!(seen.finals == 1, machine.state() == AttemptState::Done);
        }
    }
}
