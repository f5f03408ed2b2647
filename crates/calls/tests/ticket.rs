//! Guards tickets: forged texts, the window against a naive one, handover and routing.

mod seeded;

use std::sync::Arc;

use base::{ClockTime, ErrorKind, IncarnationNumber, RanState, TimeSpan, WorkspaceName};
use calls::{
    BodyHash, CallOutcome, ImportError, OwnerId, OwnerReach, RetainedAnswer, TicketClaim,
    TicketIssuer, TicketKey, TicketRoute, TicketRouting, TicketText, TicketWindow, WindowImports,
    WindowLimits,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use yare::parameterized;

const LIMITS: WindowLimits = WindowLimits {
    tickets: 6,
    answer_bytes: 10,
};

fn owner(name: &str, run: u64) -> OwnerId {
    OwnerId::new(name.parse().unwrap(), IncarnationNumber(run))
}

fn workspace() -> WorkspaceName {
    "tarn".parse().unwrap()
}

fn body(number: u8) -> BodyHash {
    BodyHash::new("POST", "/svc/mail", &[number])
}

fn answer(bytes: usize) -> Arc<RetainedAnswer> {
    Arc::new(RetainedAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: vec![7; bytes].into(),
    })
}

fn ticket() -> TicketText {
    let key = TicketKey::new(b"secret");
    TicketText::new(
        &key,
        &workspace(),
        owner("n.1", 7),
        3,
        ClockTime::new(60_000),
    )
}

/// Guards against forged tickets: no other text passes, whatever character is changed.
#[test]
fn changed_ticket_is_not_accepted() {
    let key = TicketKey::new(b"secret");
    let text = ticket().to_string();
    assert_eq!(text.parse::<TicketText>().unwrap(), ticket());
    for at in 0..text.len() {
        for other in "019.aAzZ_-+".chars() {
            let mut changed = text.clone();
            changed.replace_range(at..=at, &other.to_string());
            let read = changed.parse::<TicketText>();
            let accepted = read.is_ok_and(|read| read.verify(&key, &workspace()));
            assert!(!accepted || changed == text, "{changed}");
        }
    }
    assert!(!ticket().verify(&TicketKey::new(b"another"), &workspace()));
}

/// Guards against texts that only look like tickets.
#[parameterized(
    empty = { "" },
    short = { "n1.7.3.60000" },
    no_number = { "n1.x.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    signed = { "n1.+7.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    leading_zero = { "n1.07.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    too_large = { "n1.7.99999999999999999999.60000.AAAAAAAAAAAAAAAAAAAAAA" },
    short_mac = { "n1.7.3.60000.AAAA" },
    bad_name = { "n 1.7.3.60000.AAAAAAAAAAAAAAAAAAAAAA" },
)]
fn malformed_ticket_is_refused(text: &str) {
    assert!(text.parse::<TicketText>().is_err());
}

/// Guards P4: only the process that owns a ticket gets it, and nobody runs it in its place.
#[parameterized(
    own = { "n1", 7, OwnerReach::Unreachable, 0, Ok(TicketRoute::RunHere) },
    imported = { "n2", 8, OwnerReach::Imported, 3, Ok(TicketRoute::RunImported) },
    reachable = { "n2", 8, OwnerReach::Reachable, 0, Ok(TicketRoute::Forward(owner("n2", 8))) },
    handed_over = {
        "n2", 8, OwnerReach::HandedOver { successor: owner("n3", 9) }, 1,
        Ok(TicketRoute::Successor(owner("n3", 9)))
    },
    own_earlier_run = { "n1", 6, OwnerReach::Reachable, 0, Err(ErrorKind::OwnerUnreachable) },
    replaced = { "n2", 8, OwnerReach::Replaced, 0, Err(ErrorKind::OwnerUnreachable) },
    unreachable = { "n2", 8, OwnerReach::Unreachable, 0, Err(ErrorKind::OwnerUnreachable) },
    too_many_hops = { "n2", 8, OwnerReach::Reachable, 3, Err(ErrorKind::OwnerUnreachable) },
)]
fn route(
    name: &str,
    run: u64,
    reach: OwnerReach,
    hops: u8,
    expected: Result<TicketRoute, ErrorKind>,
) {
    let key = TicketKey::new(b"secret");
    let ticket = TicketText::new(&key, &workspace(), owner(name, run), 0, ClockTime::ZERO);
    let routing = TicketRouting::new(owner("n1", 7), key);
    let route = routing.decide(&ticket, &workspace(), &reach, hops);
    let found = match route {
        TicketRoute::Answer(failure) => {
            assert_eq!(failure.ran, RanState::Unknown);
            Err(failure.kind)
        }
        route => Ok(route),
    };
    assert_eq!(found, expected);
    let other = routing.decide(&ticket, &"moor".parse().unwrap(), &reach, hops);
    assert!(matches!(other, TicketRoute::Answer(failure) if failure.kind == ErrorKind::BadTicket));
}

/// Guards the handover: one successor, one import, nothing runs at the old node.
#[test]
fn window_is_handed_over_once() {
    let now = ClockTime::ZERO;
    let old = owner("n1", 7);
    let mut window = TicketWindow::new(old.clone(), LIMITS);
    let issuer = TicketIssuer::new(TicketKey::new(b"secret"), TimeSpan::from_secs(60));
    let issue = |window: &mut TicketWindow| issuer.issue(window, now, &workspace());
    let tickets: Vec<_> = (0..3)
        .map(|_| issue(&mut window).unwrap().sequence)
        .collect();
    window.claim(now, tickets[0], body(0));
    window.finish(tickets[0], CallOutcome::Answered(answer(3)));
    window.claim(now, tickets[1], body(1));
    assert_eq!(
        window.export(now, owner("n2", 8)),
        None,
        "only a sealed window"
    );
    window.seal();
    assert_eq!(issue(&mut window), None);
    assert_eq!(window.claim(now, tickets[2], body(2)), TicketClaim::Sealed);
    assert_eq!(window.claim(now, tickets[1], body(1)), TicketClaim::Join);
    let export = window.export(now, owner("n2", 8)).unwrap();
    assert_eq!(
        window.export(now, owner("n3", 9)),
        None,
        "to one successor only"
    );
    for sequence in &tickets {
        assert_eq!(window.claim(now, *sequence, body(0)), TicketClaim::Moved);
    }
    let mut other = WindowImports::new(owner("n2", 9), LIMITS, 2);
    let refused = other.import(now, export.clone()).unwrap_err();
    assert!(
        matches!(refused, ImportError::OtherSuccessor { .. }),
        "not to a later run"
    );
    let mut imports = WindowImports::new(owner("n2", 8), LIMITS, 2);
    imports.import(now, export.clone()).unwrap();
    let window = imports.get_mut(&old).unwrap();
    assert_eq!(
        window.claim(now, tickets[0], body(0)),
        TicketClaim::Replay(answer(3))
    );
    let lost = TicketClaim::Finished(RanState::Unknown);
    assert_eq!(window.claim(now, tickets[1], body(1)), lost);
    assert_eq!(window.claim(now, tickets[2], body(2)), TicketClaim::Run);
    let late = now + TimeSpan::from_secs(3_600);
    imports.expire(late);
    let again = imports.import(late, export).unwrap_err();
    assert!(
        matches!(again, ImportError::AlreadyImported { .. }),
        "not even after expiry"
    );
}

/// What becomes of one ticket in the naive window.
#[derive(Clone, Debug, PartialEq)]
enum NaiveState {
    Unused,
    InFlight(u8),
    Answered(u8, usize),
    Finished(u8, RanState),
    Void,
}

#[derive(Clone, Debug)]
enum Op {
    Open(u64),
    Claim(u64, u8),
    Finish(u64, u8),
    Advance(u64),
    Seal,
    HandOver,
}

/// Remembers every ticket for ever and decides by scanning them all.
#[derive(Clone, Debug, Default)]
struct NaiveWindow {
    now: u64,
    tickets: Vec<(u64, NaiveState)>,
    /// Tickets up to the last look at the expiries that count as forgotten.
    floor: usize,
    sealed: bool,
    /// What the last step must return.
    claim: Option<TicketClaim>,
    opened: Option<Option<u64>>,
}

impl NaiveWindow {
    fn expire(&mut self) {
        let keeps = |ticket: &(u64, NaiveState)| {
            ticket.0 > self.now || matches!(ticket.1, NaiveState::InFlight(_))
        };
        let first = self.tickets.iter().position(keeps);
        self.floor = self.floor.max(first.unwrap_or(self.tickets.len()));
    }

    fn claim(&mut self, sequence: u64, number: u8) -> TicketClaim {
        let (now, sealed, floor) = (self.now, self.sealed, self.floor);
        let at = sequence as usize;
        let Some((expiry, state)) = self.tickets.get_mut(at).filter(|_| at >= floor) else {
            return TicketClaim::Expired(RanState::Unknown);
        };
        match state.clone() {
            NaiveState::Unused if *expiry <= now => {
                *state = NaiveState::Void;
                TicketClaim::Expired(RanState::No)
            }
            NaiveState::Unused if sealed => TicketClaim::Sealed,
            NaiveState::Unused => {
                *state = NaiveState::InFlight(number);
                TicketClaim::Run
            }
            NaiveState::Void => TicketClaim::Expired(RanState::No),
            NaiveState::InFlight(first) if first == number => TicketClaim::Join,
            NaiveState::Answered(first, bytes) if first == number => {
                TicketClaim::Replay(answer(bytes))
            }
            NaiveState::Finished(first, ran) if first == number => TicketClaim::Finished(ran),
            _ => TicketClaim::KeyReused,
        }
    }

    fn finish(&mut self, sequence: u64, how: u8) {
        let at = sequence as usize;
        let Some((_, state)) = self.tickets.get_mut(at) else {
            return;
        };
        let NaiveState::InFlight(number) = *state else {
            return;
        };
        *state = match how {
            0 => NaiveState::Unused,
            1 => NaiveState::Finished(number, RanState::Unknown),
            bytes if usize::from(bytes) > LIMITS.answer_bytes => {
                NaiveState::Finished(number, RanState::Yes)
            }
            bytes => NaiveState::Answered(number, usize::from(bytes)),
        };
        loop {
            let live = self.tickets.iter_mut().skip(self.floor);
            let mut answers = live.filter_map(|(_, state)| match state {
                NaiveState::Answered(number, bytes) => Some((*number, *bytes, state)),
                _ => None,
            });
            let Some((number, first, state)) = answers.next() else {
                return;
            };
            let rest: usize = answers.map(|(_, bytes, _)| bytes).sum();
            if first + rest <= LIMITS.answer_bytes {
                return;
            }
            *state = NaiveState::Finished(number, RanState::Yes);
        }
    }

    fn hand_over(&mut self) {
        self.sealed = false;
        for (_, state) in &mut self.tickets {
            if let NaiveState::InFlight(number) = *state {
                *state = NaiveState::Finished(number, RanState::Unknown);
            }
        }
    }
}

impl ReferenceStateMachine for NaiveWindow {
    type State = Self;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Op> {
        let sequence = 0_u64..24;
        prop_oneof![
            4 => (50_u64..400).prop_map(Op::Open),
            8 => (sequence.clone(), 0_u8..2).prop_map(|(at, number)| Op::Claim(at, number)),
            4 => (sequence, 0_u8..14).prop_map(|(at, how)| Op::Finish(at, how)),
            3 => (1_u64..120).prop_map(Op::Advance),
            1 => Just(Op::Seal),
            1 => Just(Op::HandOver),
        ]
        .boxed()
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        state.claim = None;
        state.opened = None;
        match *op {
            Op::Open(life) => {
                state.expire();
                let full = state.tickets.len() - state.floor >= LIMITS.tickets;
                let sequence = state.tickets.len() as u64;
                let open = !state.sealed && !full;
                if open {
                    state.tickets.push((state.now + life, NaiveState::Unused));
                }
                state.opened = Some(open.then_some(sequence));
            }
            Op::Claim(sequence, number) => state.claim = Some(state.claim(sequence, number)),
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
    type Reference = NaiveWindow;

    fn init_test(_state: &NaiveWindow) -> TicketWindow {
        TicketWindow::new(owner("n1", 7), LIMITS)
    }

    fn apply(mut window: TicketWindow, state: &NaiveWindow, op: Op) -> TicketWindow {
        let now = ClockTime::new(state.now);
        match op {
            Op::Open(life) => {
                let sequence = window.open(now, now + TimeSpan::new(life));
                assert_eq!(Some(sequence), state.opened);
            }
            Op::Claim(sequence, number) => {
                let claim = window.claim(now, sequence, body(number));
                assert_eq!(Some(claim), state.claim);
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
                let successor = owner("n2", 8);
                let export = window.export(now, successor.clone()).unwrap();
                let mut imports = WindowImports::new(successor, LIMITS, 1);
                imports.import(now, export).unwrap();
                window = imports.get_mut(&owner("n1", 7)).unwrap().clone();
            }
        }
        window
    }

    fn check_invariants(window: &TicketWindow, state: &NaiveWindow) {
        assert!(window.len() <= LIMITS.tickets);
        assert!(window.answer_bytes() <= LIMITS.answer_bytes);
        let flying = |ticket: &&(u64, NaiveState)| matches!(ticket.1, NaiveState::InFlight(_));
        assert_eq!(
            window.in_flight(),
            state.tickets.iter().filter(flying).count()
        );
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(seeded::config(800))]

    /// Guards P4 and the memory bounds: the same decisions as a window that forgets nothing.
    #[test]
    fn window_agrees_with_the_naive_one(sequential 1..80 => WindowTest);
}
