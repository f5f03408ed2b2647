//! Tests of the call state machine: which attempts are retried, which tokens are delivered and what
//! the caller is told.
//!
//! The guarantees that the tests refer to:
//!
//! - P1: the caller gets each token of one generation once, in order and without gaps.
//! - P2: an answer counts as complete only if all of it has arrived.
//! - P3: a caller is told "not run" only if the request did not run.
//! - P4: a request that is not repeatable runs at most once.

mod seeded;

use base::{ClockTime, ErrorKind, RanState, TargetName, TimeSpan};
use calls::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallMachine, CallPlan,
    ConnectionNumber, ResumePoint,
};
use proptest::prelude::*;
use yare::parameterized;

const NOW: ClockTime = ClockTime::new(5_000);

/// Feeds events to a machine and keeps the actions of the last event.
struct MachineDriver {
    machine: CallMachine,
    now: ClockTime,
    out: Vec<CallAction>,
}

impl MachineDriver {
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

    /// Driver of a call whose request was sent on connection 1.
    fn sent(change: impl Fn(&mut CallPlan)) -> Self {
        let mut driver = Self::new(change);
        driver.choose("e1");
        driver.connect();
        driver
    }

    /// Driver of a call that received two tokens of generation `g1`.
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

    /// Advances the time by 3 s, reports the timer and returns the resulting actions.
    fn fire_timer(&mut self) -> &[CallAction] {
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

fn buffered(plan: &mut CallPlan) {
    plan.repeatable = true;
    plan.mode = AnswerMode::Buffered;
}

fn not_repeatable_plan(_plan: &mut CallPlan) {}

fn lose_connection(driver: &mut MachineDriver) {
    let connection = driver.connection();
    driver.feed(CallEvent::ConnectionLost { connection });
}

fn silence_connection(driver: &mut MachineDriver) {
    let connection = driver.connection();
    driver.feed(CallEvent::ConnectionSilent { connection });
}

fn kill_target(driver: &mut MachineDriver) {
    let target = "e1".parse().unwrap();
    driver.feed(CallEvent::TargetDied { target });
}

fn fail_target(driver: &mut MachineDriver) {
    let connection = driver.connection();
    driver.feed(CallEvent::TargetFailed {
        connection,
        status: 500,
    });
}

fn pass_deadline(driver: &mut MachineDriver) {
    driver.feed(CallEvent::DeadlineReached);
}

/// Guards P4: once its first byte is sent, a call that is not repeatable is never retried.
#[parameterized(
    connection_lost = { lose_connection, ErrorKind::TargetLost },
    connection_silent = { silence_connection, ErrorKind::TargetLost },
    target_died = { kill_target, ErrorKind::TargetLost },
    target_failed = { fail_target, ErrorKind::TargetFailed },
    deadline_passed = { pass_deadline, ErrorKind::DeadlineExceeded },
)]
fn sent_call_is_not_repeated(end: fn(&mut MachineDriver), kind: ErrorKind) {
    let mut driver = MachineDriver::sent(not_repeatable_plan);
    end(&mut driver);
    let failure = driver.failure().unwrap();
    assert_eq!((failure.kind, failure.ran), (kind, RanState::Unknown));
    assert_eq!(driver.machine.state(), AttemptState::Done);
}

/// Guards against needless failures: before its first byte is sent, any call may go to another
/// target.
#[parameterized(
    connection_lost = { lose_connection },
    target_died = { kill_target },
)]
fn unsent_call_goes_to_another_target(end: fn(&mut MachineDriver)) {
    let mut driver = MachineDriver::new(not_repeatable_plan);
    driver.choose("e1");
    end(&mut driver);
    let exclude = vec!["e1".parse().unwrap()];
    let retry = true;
    assert_eq!(
        driver.fire_timer(),
        [CallAction::ChooseTarget { exclude, retry }]
    );
    assert_eq!(driver.machine.ran(), RanState::No);
}

/// Guards P3, and against needless failures: a request that was sent but not admitted did not run,
/// so it is retried.
#[test]
fn not_admitted_call_is_retried_and_reported_as_not_run() {
    let mut driver = MachineDriver::sent(not_repeatable_plan);
    let connection = driver.connection();
    let retry_after = Some(TimeSpan::from_secs(7));
    driver.feed(CallEvent::NotAdmitted {
        connection,
        retry_after,
    });
    assert!(matches!(
        driver.fire_timer()[0],
        CallAction::ChooseTarget { .. }
    ));
    let kind = ErrorKind::Overloaded;
    let retry_after = None;
    driver.feed(CallEvent::NoTarget { kind, retry_after });
    let failure = driver.failure().unwrap();
    assert_eq!(failure.ran, RanState::No);
    assert_eq!(failure.retry_after, Some(TimeSpan::from_secs(7)));
}

/// Guards P3: if an earlier attempt may have run, a later one that did not run does not hide it.
#[test]
fn refused_retry_of_a_lost_attempt_reports_unknown() {
    let mut driver = MachineDriver::sent(repeatable);
    lose_connection(&mut driver);
    driver.fire_timer();
    driver.choose("e2");
    driver.connect();
    let connection = driver.connection();
    let retry_after = None;
    driver.feed(CallEvent::NotAdmitted {
        connection,
        retry_after,
    });
    driver.fire_timer();
    driver.feed(CallEvent::RetryRefused { retry_after });
    let failure = driver.failure().unwrap();
    assert_eq!(failure.kind, ErrorKind::RetriesExhausted);
    assert_eq!(failure.ran, RanState::Unknown);
}

/// Guards P3 against I/O code that reports an answer without having reported the first byte.
#[test]
fn answer_proves_that_the_request_was_sent() {
    let mut driver = MachineDriver::new(not_repeatable_plan);
    driver.choose("e1");
    fail_target(&mut driver);
    assert_eq!(driver.failure().unwrap().ran, RanState::Unknown);
}

/// Guards streams against a lost or silent connection: they are resumed, although the call is not
/// repeatable.
#[parameterized(
    connection_lost = { lose_connection },
    connection_silent = { silence_connection },
)]
fn stream_is_resumed_on_a_fresh_connection(end: fn(&mut MachineDriver)) {
    let mut driver = MachineDriver::streaming(not_repeatable_plan);
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

/// Guards P1 against tokens that are not the next expected ones.
#[parameterized(
    duplicate = { "g1", 1, false },
    foreign = { "g2", 2, false },
    gap = { "g1", 4, true },
)]
fn wrong_token_is_dropped(generation: &str, offset: u64, resumes: bool) {
    let mut driver = MachineDriver::streaming(not_repeatable_plan);
    let actions = driver.token(generation, offset);
    assert_eq!(actions[0], CallAction::Drop);
    let resumed = actions
        .iter()
        .any(|action| matches!(action, CallAction::Resume { offset: 2, .. }));
    assert_eq!(resumed, resumes);
}

/// Guards P1: once the caller has part of a generation that is lost, no other generation replaces
/// it.
#[parameterized(
    streamed_with_tokens = { repeatable, 2, true },
    streamed_without_tokens = { repeatable, 0, false },
    buffered_with_tokens = { buffered, 2, false },
    not_repeatable = { not_repeatable_plan, 0, true },
)]
fn lost_generation(change: fn(&mut CallPlan), tokens: u64, fails: bool) {
    let mut driver = MachineDriver::sent(change);
    let connection = driver.connection();
    let generation = "g1";
    driver.feed(CallEvent::Accepted {
        connection,
        generation,
    });
    (0..tokens).for_each(|offset| {
        driver.token("g1", offset);
    });
    kill_target(&mut driver);
    assert_eq!(driver.failure().is_some(), fails);
    if let Some(failure) = driver.failure() {
        assert_eq!(failure.ran, RanState::Yes);
        return;
    }
    let discarded = driver.out.contains(&CallAction::DiscardAnswer);
    assert_eq!(discarded, tokens > 0, "collected tokens are discarded");
    assert!(matches!(
        driver.fire_timer()[0],
        CallAction::ChooseTarget { .. }
    ));
}

/// Guards P1 for buffered answers of which the caller has already received a part.
#[test]
fn committed_buffered_answer_is_not_rerun() {
    let mut driver = MachineDriver::streaming(buffered);
    driver.feed(CallEvent::AnswerCommitted);
    kill_target(&mut driver);
    assert_eq!(driver.failure().unwrap().kind, ErrorKind::GenerationLost);
}

/// Guards P2: the end event completes an answer only if no token is missing.
#[test]
fn end_with_missing_tokens_resumes() {
    let mut driver = MachineDriver::streaming(not_repeatable_plan);
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

/// Guards P3 and P4 against late events of an abandoned connection: none of them may end, answer or
/// undo the attempt that is running on another connection.
#[parameterized(
    not_admitted = { CallEvent::NotAdmitted { connection: ConnectionNumber(1), retry_after: None } },
    accepted = { CallEvent::Accepted { connection: ConnectionNumber(1), generation: "g1" } },
    ended = { CallEvent::EndOfStream { connection: ConnectionNumber(1), generation: "g1", count: 0 } },
    connection_lost = { CallEvent::ConnectionLost { connection: ConnectionNumber(1) } },
    target_failed = { CallEvent::TargetFailed { connection: ConnectionNumber(1), status: 500 } },
    connected = { CallEvent::Connected { connection: ConnectionNumber(1) } },
)]
fn late_event_of_an_abandoned_connection_has_no_effect(event: CallEvent<'static>) {
    let mut driver = MachineDriver::new(not_repeatable_plan);
    driver.choose("e1");
    lose_connection(&mut driver);
    driver.fire_timer();
    driver.choose("e2");
    driver.connect();
    assert_eq!(driver.feed(event), []);
    assert_eq!(driver.machine.state(), AttemptState::Sent);
    assert_eq!(driver.machine.ran(), RanState::Unknown);
}

/// Guards against endless resumes of a generation that yields no tokens.
#[test]
fn resumes_without_progress_are_limited() {
    let mut driver = MachineDriver::streaming(not_repeatable_plan);
    for _ in 0..20 {
        if driver.machine.state() == AttemptState::Done {
            break;
        }
        match driver.machine.current_connection() {
            Some(_) => lose_connection(&mut driver),
            None => {
                driver.fire_timer();
            }
        }
    }
    assert_eq!(driver.failure().unwrap().kind, ErrorKind::GenerationLost);
}

/// Guards against calls that hang on a connection that is never established.
#[test]
fn connect_timeout_leads_to_another_target() {
    let mut driver = MachineDriver::new(not_repeatable_plan);
    driver.choose("e1");
    let closed = CallAction::CloseConnection {
        connection: ConnectionNumber(1),
    };
    assert_eq!(driver.fire_timer()[0], closed);
    assert!(matches!(
        driver.fire_timer()[0],
        CallAction::ChooseTarget { .. }
    ));
}

/// Guards engines against work whose caller has disconnected, except uninterruptible work, which
/// has to continue.
#[parameterized(
    interruptible = { false },
    uninterruptible = { true },
)]
fn caller_gone(uninterruptible: bool) {
    let mut driver = MachineDriver::streaming(|plan| plan.uninterruptible = uninterruptible);
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

/// Guards the caller's deadline: the caller is answered in time although uninterruptible work
/// continues.
#[test]
fn deadline_of_an_uninterruptible_call_detaches() {
    let mut driver = MachineDriver::sent(|plan| {
        plan.uninterruptible = true;
        plan.deadline = Some(NOW + TimeSpan::from_secs(2));
    });
    let failure = CallFailure::new(ErrorKind::DeadlineExceeded);
    assert_eq!(driver.fire_timer(), [CallAction::Detach(failure)]);
    assert_eq!(driver.machine.state(), AttemptState::Sent);
}

/// Guards against a needless wait: a call whose backoff would pass the deadline fails at once.
#[test]
fn retry_past_the_deadline_fails_at_once() {
    let mut driver = MachineDriver::new(|plan| plan.deadline = Some(NOW));
    driver.choose("e1");
    lose_connection(&mut driver);
    assert_eq!(driver.failure().unwrap().ran, RanState::No);
}

/// Guards callers that continue a generation through another node.
#[test]
fn caller_continues_a_generation() {
    let mut driver = MachineDriver::new(|plan| {
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

/// A randomly generated event; connections are numbered backwards from the newest one.
#[derive(Clone, Debug)]
enum EventStep {
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

fn event_step() -> impl Strategy<Value = EventStep> {
    let connection = prop_oneof![6 => Just(0_u32), 1 => Just(1), 1 => Just(2)];
    let generation = prop_oneof![8 => Just(1_u8), 1 => Just(2)];
    prop_oneof![
        6 => Just(EventStep::Chosen),
        1 => Just(EventStep::NoTarget),
        1 => Just(EventStep::RetryRefused),
        6 => connection.clone().prop_map(EventStep::Connected),
        1 => connection.clone().prop_map(EventStep::ConnectFailed),
        1 => connection.clone().prop_map(EventStep::NotAdmitted),
        2 => (connection.clone(), generation.clone()).prop_map(|(c, g)| EventStep::Accepted(c, g)),
        20 => (connection.clone(), generation.clone(), 0_u64..12, 1_u32..3)
            .prop_map(|(c, g, o, n)| EventStep::Token(c, g, o, n)),
        2 => (connection.clone(), generation, 0_u64..12)
            .prop_map(|(c, g, n)| EventStep::End(c, g, n)),
        2 => connection.clone().prop_map(EventStep::Lost),
        1 => connection.clone().prop_map(EventStep::Silent),
        1 => Just(EventStep::Died),
        1 => connection.clone().prop_map(EventStep::Failed),
        1 => connection.prop_map(EventStep::ResumeRefused),
        1 => Just(EventStep::Committed),
        1 => Just(EventStep::Gone),
        5 => (0_u64..2_000).prop_map(EventStep::Wait),
    ]
}

/// Records what the caller and the targets observe of a call.
#[derive(Default)]
struct CallObserver {
    connections: u32,
    /// Whether a sent request may have run; cleared when its only send was not admitted.
    may_run: bool,
    /// Number of sends that may have run.
    ever_sent: u32,
    delivered: Vec<(u8, u64)>,
    final_actions: u32,
}

fn feed_step(
    machine: &mut CallMachine,
    now: ClockTime,
    step: &EventStep,
    connections: u32,
) -> Vec<CallAction> {
    let connection = |back: &u32| ConnectionNumber(connections.saturating_sub(*back));
    let names = ["", "g1", "g2"];
    let target: TargetName = "e1".parse().unwrap();
    let event = match step {
        EventStep::Chosen => CallEvent::TargetChosen { target },
        EventStep::NoTarget => CallEvent::NoTarget {
            kind: ErrorKind::NoTarget,
            retry_after: None,
        },
        EventStep::RetryRefused => CallEvent::RetryRefused { retry_after: None },
        EventStep::Connected(back) => CallEvent::Connected {
            connection: connection(back),
        },
        EventStep::ConnectFailed(back) => CallEvent::ConnectFailed {
            connection: connection(back),
        },
        EventStep::NotAdmitted(back) => CallEvent::NotAdmitted {
            connection: connection(back),
            retry_after: None,
        },
        EventStep::Accepted(back, generation) => CallEvent::Accepted {
            connection: connection(back),
            generation: names[usize::from(*generation)],
        },
        EventStep::Token(back, generation, offset, len) => CallEvent::Token {
            connection: connection(back),
            generation: names[usize::from(*generation)],
            offset: *offset,
            len: *len,
        },
        EventStep::End(back, generation, count) => CallEvent::EndOfStream {
            connection: connection(back),
            generation: names[usize::from(*generation)],
            count: *count,
        },
        EventStep::Lost(back) => CallEvent::ConnectionLost {
            connection: connection(back),
        },
        EventStep::Silent(back) => CallEvent::ConnectionSilent {
            connection: connection(back),
        },
        EventStep::Died => CallEvent::TargetDied { target },
        EventStep::Failed(back) => CallEvent::TargetFailed {
            connection: connection(back),
            status: 500,
        },
        EventStep::ResumeRefused(back) => CallEvent::ResumeRefused {
            connection: connection(back),
        },
        EventStep::Committed => CallEvent::AnswerCommitted,
        EventStep::Gone => CallEvent::CallerGone,
        EventStep::Wait(_) => CallEvent::Timer,
    };
    let mut out = Vec::new();
    machine.on_event(now, event, &mut out);
    out
}

fn check_actions(
    observer: &mut CallObserver,
    machine: &mut CallMachine,
    now: ClockTime,
    step: &EventStep,
    actions: Vec<CallAction>,
    repeatable: bool,
) {
    for action in actions {
        match action {
            CallAction::Connect { connection, .. } | CallAction::Resume { connection, .. } => {
                assert!(
                    connection.0 > observer.connections,
                    "connection numbers increase"
                );
                observer.connections = connection.0;
            }
            CallAction::Send { connection, .. } => {
                assert!(
                    repeatable || !observer.may_run,
                    "request sent again although it may have run"
                );
                machine.on_event(
                    now,
                    CallEvent::FirstByteSent { connection },
                    &mut Vec::new(),
                );
                observer.may_run = true;
                observer.ever_sent += 1;
            }
            CallAction::Deliver { offset, len } => {
                let EventStep::Token(_, generation, ..) = step else {
                    panic!("delivered without a token");
                };
                let next = observer.delivered.len() as u64;
                assert_eq!(offset, next, "tokens are delivered in order");
                let items = (offset..offset + u64::from(len)).map(|at| (*generation, at));
                observer.delivered.extend(items);
                let first = observer.delivered[0].0;
                assert!(observer.delivered.iter().all(|(name, _)| *name == first));
            }
            CallAction::DiscardAnswer => observer.delivered.clear(),
            CallAction::Finish { count } => {
                assert_eq!(
                    count,
                    observer.delivered.len() as u64,
                    "the answer is complete"
                );
                observer.final_actions += 1;
            }
            CallAction::Fail(failure) => {
                assert!(
                    failure.ran != RanState::No || !observer.may_run,
                    "reported as not run although it may have run"
                );
                observer.final_actions += 1;
            }
            CallAction::Abandon { .. } => observer.final_actions += 1,
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(seeded::config(2_000))]

    /// Guards P1 to P4 against any order of events, including events of abandoned connections.
    #[test]
    fn any_events_keep_the_guarantees(
        steps in prop::collection::vec(event_step(), 1..60),
        repeatable: bool,
        buffered: bool,
        uninterruptible: bool,
        seed: u64,
    ) {
        let mut plan = CallPlan::new("r1".parse().unwrap());
        plan.repeatable = repeatable;
        plan.uninterruptible = uninterruptible;
        plan.seed = seed;
        plan.deadline = Some(NOW + TimeSpan::from_secs(20));
        if buffered {
            plan.mode = AnswerMode::Buffered;
        }
        let mut machine = CallMachine::new(plan);
        let mut now = NOW;
        let mut observer = CallObserver::default();
        let mut out = Vec::new();
        machine.start(now, &mut out);
        for step in &steps {
            if let EventStep::Wait(millis) = step {
                now += TimeSpan::new(*millis);
            }
            let admitted = machine.state() == AttemptState::Sent;
            let current = machine.current_connection();
            if let EventStep::NotAdmitted(back) = step
                && admitted
                && current == Some(ConnectionNumber(observer.connections.saturating_sub(*back)))
                && observer.ever_sent == 1
            {
                observer.may_run = false;
                observer.ever_sent = 0;
            }
            let actions = feed_step(&mut machine, now, step, observer.connections);
            let ended = observer.final_actions > 0;
            let harmless = actions.iter().all(|action| *action == CallAction::Drop);
            prop_assert!(!ended || harmless, "nothing follows the final action");
            check_actions(&mut observer, &mut machine, now, step, actions, repeatable);
            prop_assert!(observer.final_actions <= 1);
            prop_assert_eq!(observer.final_actions == 1, machine.state() == AttemptState::Done);
        }
    }
}
