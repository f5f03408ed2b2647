use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use base::{ClockTime, RanState};

use crate::{
    BodyHash, CallOutcome, ExportedEntry, OwnerId, RetainedAnswer, TicketClaim, WindowExport,
};

/// Bounds of the memory of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLimits {
    /// Tickets that may be remembered at once; no more are issued.
    pub tickets: usize,
    /// Bytes of retained answers; the oldest ticket's goes first, what ran is never forgotten.
    pub answer_bytes: usize,
}

impl Default for WindowLimits {
    fn default() -> Self {
        Self {
            tickets: 65_536,
            answer_bytes: 64 << 20,
        }
    }
}

/// Whether a window may run tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowPhase {
    /// It may.
    Open,
    /// It runs nothing new and is about to be handed over.
    Sealed,
    /// It was handed over and runs nothing any more.
    Moved {
        /// The only process that may go on.
        successor: OwnerId,
    },
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused,
    InFlight(BodyHash),
    Answered(BodyHash, Arc<RetainedAnswer>),
    Finished(BodyHash, RanState),
    Void,
}

/// What one process knows of the tickets that it issued or took over.
///
/// Sequence numbers are dense, so that the window is a queue and its floor stands for everything
/// forgotten: a ticket below the floor is never run. No clock can bring it back.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{BodyHash, OwnerId, TicketClaim, TicketWindow, WindowLimits};
/// let now = ClockTime::ZERO;
/// let owner = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let mut window = TicketWindow::new(owner, WindowLimits::default());
/// let sequence = window.open(now, ClockTime::new(60_000)).unwrap();
/// let body = BodyHash::new("POST", "/svc/mail", b"hello");
/// assert_eq!(window.claim(now, sequence, body), TicketClaim::Run);
/// assert_eq!(window.claim(now, sequence, body), TicketClaim::Join);
/// ```
#[derive(Clone, Debug)]
pub struct TicketWindow {
    owner: OwnerId,
    limits: WindowLimits,
    phase: WindowPhase,
    floor: u64,
    entries: VecDeque<(ClockTime, TicketState)>,
    in_flight: usize,
    answer_bytes: usize,
    /// Sequence numbers of retained answers.
    answers: BTreeSet<u64>,
}

impl TicketWindow {
    /// Creates an empty window of `owner`.
    pub fn new(owner: OwnerId, limits: WindowLimits) -> Self {
        Self {
            owner,
            limits,
            phase: WindowPhase::Open,
            floor: 0,
            entries: VecDeque::new(),
            in_flight: 0,
            answer_bytes: 0,
            answers: BTreeSet::new(),
        }
    }

    /// The process that issued the tickets.
    pub fn owner(&self) -> &OwnerId {
        &self.owner
    }

    /// Whether the window may run tickets.
    pub fn phase(&self) -> &WindowPhase {
        &self.phase
    }

    /// Tickets that are running.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Tickets remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of retained answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Opens the next sequence number until `expiry`; `None` if the window is full or sealed.
    pub fn open(&mut self, now: ClockTime, expiry: ClockTime) -> Option<u64> {
        self.expire(now);
        if self.phase != WindowPhase::Open || self.entries.len() >= self.limits.tickets {
            return None;
        }
        let sequence = self.floor + self.entries.len() as u64;
        self.entries.push_back((expiry, TicketState::Unused));
        Some(sequence)
    }

    /// Decides on a request that arrived with ticket `sequence`.
    pub fn claim(&mut self, now: ClockTime, sequence: u64, body: BodyHash) -> TicketClaim {
        if matches!(self.phase, WindowPhase::Moved { .. }) {
            return TicketClaim::Moved;
        }
        let sealed = self.phase == WindowPhase::Sealed;
        let Some(at) = sequence.checked_sub(self.floor) else {
            return TicketClaim::Expired(RanState::Unknown);
        };
        let Some((expiry, state)) = self.entry(at) else {
            // Signed but never opened: issued by a run that lost its window, so nothing is known.
            return TicketClaim::Expired(RanState::Unknown);
        };
        let expired = *expiry <= now;
        match state {
            TicketState::Unused if expired => {
                *state = TicketState::Void;
                TicketClaim::Expired(RanState::No)
            }
            TicketState::Unused if sealed => TicketClaim::Sealed,
            TicketState::Unused => {
                *state = TicketState::InFlight(body);
                self.in_flight += 1;
                TicketClaim::Run
            }
            TicketState::InFlight(first) if *first == body => TicketClaim::Join,
            TicketState::Answered(first, answer) if *first == body => {
                TicketClaim::Replay(answer.clone())
            }
            TicketState::Finished(first, ran) if *first == body => TicketClaim::Finished(*ran),
            TicketState::Void => TicketClaim::Expired(RanState::No),
            _ => TicketClaim::KeyReused,
        }
    }

    /// Records how the run of ticket `sequence` ended; ignored unless it is in flight.
    pub fn finish(&mut self, sequence: u64, outcome: CallOutcome) {
        let limit = self.limits.answer_bytes;
        let Some((_, state)) = sequence
            .checked_sub(self.floor)
            .and_then(|at| self.entry(at))
        else {
            return;
        };
        let TicketState::InFlight(body) = *state else {
            return;
        };
        match outcome {
            CallOutcome::NotRun => *state = TicketState::Unused,
            CallOutcome::Answered(answer) if answer.body.len() <= limit => {
                *state = TicketState::Answered(body, answer.clone());
                self.retain(sequence, &answer);
            }
            CallOutcome::Answered(_) => *state = TicketState::Finished(body, RanState::Yes),
            CallOutcome::Unanswered(ran) => *state = TicketState::Finished(body, ran),
        }
        self.in_flight -= 1;
    }

    /// Forgets expired tickets from the floor up; one that is in flight is kept.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((expiry, state)) = self.entries.front() {
            if *expiry > now || matches!(state, TicketState::InFlight(_)) {
                return;
            }
            if let TicketState::Answered(_, answer) = state {
                self.answer_bytes -= answer.body.len();
                self.answers.remove(&self.floor);
            }
            self.entries.pop_front();
            self.floor += 1;
        }
    }

    /// Stops running unused tickets; those in flight go on.
    pub fn seal(&mut self) {
        if self.phase == WindowPhase::Open {
            self.phase = WindowPhase::Sealed;
        }
    }

    /// Hands the window over to one process; `None` unless sealed and not yet handed over.
    ///
    /// From here on the window runs nothing. What is in flight is exported as unknown, so that
    /// a caller should wait for `in_flight` to reach zero first. The export may be sent again to
    /// the same successor, but never to another one.
    pub fn export(&mut self, now: ClockTime, successor: OwnerId) -> Option<WindowExport> {
        if self.phase != WindowPhase::Sealed {
            return None;
        }
        let entries = self
            .entries
            .iter()
            .map(|(expiry, state)| (*expiry - now, export_entry(state)))
            .collect();
        self.phase = WindowPhase::Moved {
            successor: successor.clone(),
        };
        Some(WindowExport {
            owner: self.owner.clone(),
            successor,
            floor: self.floor,
            entries,
        })
    }

    /// Creates the window that goes on with an export; see [`WindowImports`](crate::WindowImports).
    pub(super) fn with_export(now: ClockTime, limits: WindowLimits, export: WindowExport) -> Self {
        let mut window = Self::new(export.owner, limits);
        window.floor = export.floor;
        for (left, entry) in export.entries {
            let sequence = window.floor + window.entries.len() as u64;
            let expiry = WindowExport::expiry(now, left);
            let state = match entry {
                ExportedEntry::Unused => TicketState::Unused,
                ExportedEntry::Finished { body, ran } => TicketState::Finished(body, ran),
                ExportedEntry::Answered { body, answer } => {
                    window
                        .entries
                        .push_back((expiry, TicketState::Answered(body, answer.clone())));
                    window.retain(sequence, &answer);
                    continue;
                }
                ExportedEntry::Void => TicketState::Void,
            };
            window.entries.push_back((expiry, state));
        }
        window
    }

    fn entry(&mut self, at: u64) -> Option<&mut (ClockTime, TicketState)> {
        self.entries.get_mut(usize::try_from(at).ok()?)
    }

    fn retain(&mut self, sequence: u64, answer: &RetainedAnswer) {
        self.answer_bytes += answer.body.len();
        self.answers.insert(sequence);
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answers.pop_first() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, sequence: u64) {
        let Some((_, state)) = self.entry(sequence - self.floor) else {
            return;
        };
        let TicketState::Answered(body, answer) = state else {
            return;
        };
        let bytes = answer.body.len();
        *state = TicketState::Finished(*body, RanState::Yes);
        self.answer_bytes -= bytes;
    }
}

fn export_entry(state: &TicketState) -> ExportedEntry {
    match state {
        TicketState::Unused => ExportedEntry::Unused,
        TicketState::InFlight(body) => ExportedEntry::Finished {
            body: *body,
            ran: RanState::Unknown,
        },
        TicketState::Answered(body, answer) => ExportedEntry::Answered {
            body: *body,
            answer: answer.clone(),
        },
        TicketState::Finished(body, ran) => ExportedEntry::Finished {
            body: *body,
            ran: *ran,
        },
        TicketState::Void => ExportedEntry::Void,
    }
}
