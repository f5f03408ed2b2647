//! Tests of tickets: forged and malformed texts, routing, handover, and the ticket window against a
//! simple model of it.

mod seeded;

use std::sync::Arc;

use base::{ClockTime, ErrorKind, IncarnationNumber, RanState, TimeSpan, WorkspaceName};
use calls::{
    CallOutcome, ImportError, OwnerStatus, ProcessId, RequestHash, RetainedAnswer, SignedTicket,
    SigningKey, TicketIssuer, TicketRoute, TicketRouter, TicketVerdict, TicketWindow,
    WindowImports, WindowLimits,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use yare::parameterized;

const LIMITS: WindowLimits = WindowLimits {
    tickets: 6,
    answer_bytes: 10,
};

fn process(name: &str, run: u64) -> ProcessId {
    ProcessId::new(name.parse().unwrap(), IncarnationNumber(run))
}

fn workspace() -> WorkspaceName {
    "tarn".parse().unwrap()
}

fn request(number: u8) -> RequestHash {
    RequestHash::new("POST", "/svc/mail", &[number])
}

fn answer(bytes: usize) -> Arc<RetainedAnswer> {
    Arc::new(RetainedAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: vec![7; bytes].into(),
    })
}

fn ticket() -> SignedTicket {
    let key = SigningKey::new(b"secret");
    SignedTicket::new(
        &key,
        &workspace(),
        process("n.1", 7),
        3,
        ClockTime::new(60_000),
    )
}

/// Guards against forged tickets: a ticket with any character changed is refused.
#[test]
fn changed_ticket_is_not_accepted() {
    let key = SigningKey::new(b"secret");
    let text = ticket().to_string();
    assert_eq!(text.parse::<SignedTicket>().unwrap(), ticket());
    for at in 0..text.len() {
        for other in "019.aAzZ_-+".chars() {
            let mut changed = text.clone();
            changed.replace_range(at..=at, &other.to_string());
            let parsed = changed.parse::<SignedTicket>();
            let accepted = parsed.is_ok_and(|ticket| ticket.verify(&key, &workspace()));
            assert!(!accepted || changed == text, "{changed}");
        }
    }
    assert!(!ticket().verify(&SigningKey::new(b"another"), &workspace()));
}

/// Guards the syntax of tickets: a text of another form does not parse.
#[parameterized(
    empty = { "" },
    short = { "n1.7.3.60000" },
    not_a_number = { "n1.x.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    signed = { "n1.+7.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    leading_zero = { "n1.07.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    too_large = { "n1.7.99999999999999999999.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    short_mac = { "n1.7.3.60000.AAAA" },
    bad_name = { "n 1.7.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
)]
fn malformed_ticket_is_refused(text: &str) {
    assert!(text.parse::<SignedTicket>().is_err());
}

/// Guards P4: a ticket goes only to its owner or to the process that took over the owner's window;
/// if that can't be reached, no other process runs it.
#[parameterized(
    own = { "n1", 7, OwnerStatus::Unreachable, 0, Ok(TicketRoute::OwnWindow) },
    imported = { "n2", 8, OwnerStatus::Imported, 3, Ok(TicketRoute::ImportedWindow) },
    reachable = { "n2", 8, OwnerStatus::Reachable, 0, Ok(TicketRoute::Forward(process("n2", 8))) },
    handed_over = {
        "n2", 8, OwnerStatus::HandedOver { successor: process("n3", 9) }, 1,
        Ok(TicketRoute::ForwardToSuccessor(process("n3", 9)))
    },
    own_earlier_run = { "n1", 6, OwnerStatus::Reachable, 0, Err(ErrorKind::OwnerUnreachable) },
    replaced = { "n2", 8, OwnerStatus::Replaced, 0, Err(ErrorKind::OwnerUnreachable) },
    unreachable = { "n2", 8, OwnerStatus::Unreachable, 0, Err(ErrorKind::OwnerUnreachable) },
    too_many_hops = { "n2", 8, OwnerStatus::Reachable, 3, Err(ErrorKind::OwnerUnreachable) },
)]
fn route(
    name: &str,
    run: u64,
    status: OwnerStatus,
    hops: u8,
    expected: Result<TicketRoute, ErrorKind>,
) {
    let key = SigningKey::new(b"secret");
    let ticket = SignedTicket::new(&key, &workspace(), process(name, run), 0, ClockTime::ZERO);
    let router = TicketRouter::new(process("n1", 7), key);
    let route = router.route(&ticket, &workspace(), &status, hops);
    let found = match route {
        TicketRoute::Fail(failure) => {
            assert_eq!(failure.ran, RanState::Unknown);
            Err(failure.kind)
        }
        route => Ok(route),
    };
    assert_eq!(found, expected);
    let other = router.route(&ticket, &"moor".parse().unwrap(), &status, hops);
    assert!(matches!(other, TicketRoute::Fail(failure) if failure.kind == ErrorKind::BadTicket));
}

/// Guards the handover of a window: to one successor only, imported once, and the old process runs
/// none of its tickets afterwards.
#[test]
fn window_is_handed_over_once() {
    let now = ClockTime::ZERO;
    let old = process("n1", 7);
    let mut window = TicketWindow::new(old.clone(), LIMITS);
    let issuer = TicketIssuer::new(SigningKey::new(b"secret"), TimeSpan::from_secs(60));
    let issue = |window: &mut TicketWindow| issuer.issue(window, now, &workspace());
    let tickets: Vec<_> = (0..3)
        .map(|_| issue(&mut window).unwrap().sequence)
        .collect();
    window.claim(now, tickets[0], request(0));
    window.finish(tickets[0], CallOutcome::Answered(answer(3)));
    window.claim(now, tickets[1], request(1));
    assert_eq!(
        window.export(now, process("n2", 8)),
        None,
        "only a sealed window"
    );
    window.seal();
    assert_eq!(issue(&mut window), None);
    assert_eq!(
        window.claim(now, tickets[2], request(2)),
        TicketVerdict::Sealed
    );
    assert_eq!(
        window.claim(now, tickets[1], request(1)),
        TicketVerdict::Join
    );
    let export = window.export(now, process("n2", 8)).unwrap();
    assert_eq!(
        window.export(now, process("n3", 9)),
        None,
        "to one successor only"
    );
    for sequence in &tickets {
        assert_eq!(
            window.claim(now, *sequence, request(0)),
            TicketVerdict::HandedOver
        );
    }
    let mut other = WindowImports::new(process("n2", 9), LIMITS, 2);
    let refused = other.import(now, export.clone()).unwrap_err();
    assert!(
        matches!(refused, ImportError::OtherSuccessor { .. }),
        "not to a later run"
    );
    let mut imports = WindowImports::new(process("n2", 8), LIMITS, 2);
    imports.import(now, export.clone()).unwrap();
    let window = imports.get_mut(&old).unwrap();
    assert_eq!(
        window.claim(now, tickets[0], request(0)),
        TicketVerdict::Replay(answer(3))
    );
    let interrupted = TicketVerdict::Finished(RanState::Unknown);
    assert_eq!(window.claim(now, tickets[1], request(1)), interrupted);
    assert_eq!(
        window.claim(now, tickets[2], request(2)),
        TicketVerdict::Run
    );
    let late = now + TimeSpan::from_secs(3_600);
    imports.expire(late);
    let again = imports.import(late, export).unwrap_err();
    assert!(
        matches!(again, ImportError::AlreadyImported { .. }),
        "not even after expiry"
    );
}

/// State of one ticket in the model.
#[derive(Clone, Debug, PartialEq)]
enum ModelState {
    Unused,
    InFlight(u8),
    Answered(u8, usize),
    Finished(u8, RanState),
    Expired,
}

/// Operation on the window and on the model.
#[derive(Clone, Debug)]
enum Op {
    /// Allocates a ticket with this lifetime in ms.
    Allocate(u64),
    /// Claims a sequence number for the request with this number.
    Claim(u64, u8),
    /// Finishes a sequence number: 0 did not run, 1 has no answer, otherwise the answer's size.
    Finish(u64, u8),
    /// Advances the clock by so many ms.
    Advance(u64),
    Seal,
    /// Exports the window and imports it at a successor.
    HandOver,
}

/// Model of the window that keeps every ticket for ever and decides by scanning them all.
#[derive(Clone, Debug, Default)]
struct ModelWindow {
    now: u64,
    tickets: Vec<(u64, ModelState)>,
    /// Number of tickets that were forgotten when expiries were last checked.
    floor: usize,
    sealed: bool,
    /// Expected result of the last operation, if that was a claim.
    verdict: Option<TicketVerdict>,
    /// Expected result of the last operation, if that was an allocation.
    allocated: Option<Option<u64>>,
}

impl ModelWindow {
    fn expire(&mut self) {
        let keeps = |ticket: &(u64, ModelState)| {
            ticket.0 > self.now || matches!(ticket.1, ModelState::InFlight(_))
        };
        let first = self.tickets.iter().position(keeps);
        self.floor = self.floor.max(first.unwrap_or(self.tickets.len()));
    }

    fn claim(&mut self, sequence: u64, number: u8) -> TicketVerdict {
        let (now, sealed, floor) = (self.now, self.sealed, self.floor);
        let at = sequence as usize;
        let Some((expiry, state)) = self.tickets.get_mut(at).filter(|_| at >= floor) else {
            return TicketVerdict::Expired(RanState::Unknown);
        };
        match state.clone() {
            ModelState::Unused if *expiry <= now => {
                *state = ModelState::Expired;
                TicketVerdict::Expired(RanState::No)
            }
            ModelState::Unused if sealed => TicketVerdict::Sealed,
            ModelState::Unused => {
                *state = ModelState::InFlight(number);
                TicketVerdict::Run
            }
            ModelState::Expired => TicketVerdict::Expired(RanState::No),
            ModelState::InFlight(first) if first == number => TicketVerdict::Join,
            ModelState::Answered(first, bytes) if first == number => {
                TicketVerdict::Replay(answer(bytes))
            }
            ModelState::Finished(first, ran) if first == number => TicketVerdict::Finished(ran),
            _ => TicketVerdict::KeyReused,
        }
    }

    fn finish(&mut self, sequence: u64, how: u8) {
        let at = sequence as usize;
        let Some((_, state)) = self.tickets.get_mut(at) else {
            return;
        };
        let ModelState::InFlight(number) = *state else {
            return;
        };
        *state = match how {
            0 => ModelState::Unused,
            1 => ModelState::Finished(number, RanState::Unknown),
            bytes if usize::from(bytes) > LIMITS.answer_bytes => {
                ModelState::Finished(number, RanState::Yes)
            }
            bytes => ModelState::Answered(number, usize::from(bytes)),
        };
        loop {
            let remembered = self.tickets.iter_mut().skip(self.floor);
            let mut answers = remembered.filter_map(|(_, state)| match state {
                ModelState::Answered(number, bytes) => Some((*number, *bytes, state)),
                _ => None,
            });
            let Some((number, first, state)) = answers.next() else {
                return;
            };
            let rest: usize = answers.map(|(_, bytes, _)| bytes).sum();
            if first + rest <= LIMITS.answer_bytes {
                return;
            }
            *state = ModelState::Finished(number, RanState::Yes);
        }
    }

    fn hand_over(&mut self) {
        self.sealed = false;
        for (_, state) in &mut self.tickets {
            if let ModelState::InFlight(number) = *state {
                *state = ModelState::Finished(number, RanState::Unknown);
            }
        }
    }
}

impl ReferenceStateMachine for ModelWindow {
    type State = Self;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Op> {
        let sequence = 0_u64..24;
        prop_oneof![
            4 => (50_u64..400).prop_map(Op::Allocate),
            8 => (sequence.clone(), 0_u8..2).prop_map(|(at, number)| Op::Claim(at, number)),
            4 => (sequence, 0_u8..14).prop_map(|(at, how)| Op::Finish(at, how)),
            3 => (1_u64..120).prop_map(Op::Advance),
            1 => Just(Op::Seal),
            1 => Just(Op::HandOver),
        ]
        .boxed()
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        state.verdict = None;
        state.allocated = None;
        match *op {
            Op::Allocate(lifetime) => {
                state.expire();
                let full = state.tickets.len() - state.floor >= LIMITS.tickets;
                let sequence = state.tickets.len() as u64;
                let allocated = !state.sealed && !full;
                if allocated {
                    state
                        .tickets
                        .push((state.now + lifetime, ModelState::Unused));
                }
                state.allocated = Some(allocated.then_some(sequence));
            }
            Op::Claim(sequence, number) => state.verdict = Some(state.claim(sequence, number)),
            Op::Finish(sequence, how) => state.finish(sequence, how),
            Op::Advance(millis) => {
                state.now += millis;
                state.expire();
            }
            Op::Seal => state.sealed = true,
            Op::HandOver => state.hand_over(),
        }
        state
    }
}

struct WindowTest;

impl StateMachineTest for WindowTest {
    type SystemUnderTest = TicketWindow;
    type Reference = ModelWindow;

    fn init_test(_state: &ModelWindow) -> TicketWindow {
        TicketWindow::new(process("n1", 7), LIMITS)
    }

    fn apply(mut window: TicketWindow, state: &ModelWindow, op: Op) -> TicketWindow {
        let now = ClockTime::new(state.now);
        match op {
            Op::Allocate(lifetime) => {
                let sequence = window.allocate(now, now + TimeSpan::new(lifetime));
                assert_eq!(Some(sequence), state.allocated);
            }
            Op::Claim(sequence, number) => {
                let verdict = window.claim(now, sequence, request(number));
                assert_eq!(Some(verdict), state.verdict);
            }
            Op::Finish(sequence, how) => {
                let outcome = match how {
                    0 => CallOutcome::NotRun,
                    1 => CallOutcome::Unanswered(RanState::Unknown),
                    bytes => CallOutcome::Answered(answer(usize::from(bytes))),
                };
                window.finish(sequence, outcome);
            }
            Op::Advance(_) => window.expire(now),
            Op::Seal => window.seal(),
            Op::HandOver => {
                window.seal();
                let successor = process("n2", 8);
                let export = window.export(now, successor.clone()).unwrap();
                let mut imports = WindowImports::new(successor, LIMITS, 1);
                imports.import(now, export).unwrap();
                window = imports.get_mut(&process("n1", 7)).unwrap().clone();
            }
        }
        window
    }

    fn check_invariants(window: &TicketWindow, state: &ModelWindow) {
        assert!(window.len() <= LIMITS.tickets);
        assert!(window.answer_bytes() <= LIMITS.answer_bytes);
        let in_flight = |ticket: &&(u64, ModelState)| matches!(ticket.1, ModelState::InFlight(_));
        assert_eq!(
            window.in_flight(),
            state.tickets.iter().filter(in_flight).count()
        );
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(seeded::config(800))]

    /// Guards P4 and the memory limits: the window decides as a model does that forgets nothing.
    #[test]
    fn window_agrees_with_the_model(sequential 1..80 => WindowTest);
}
