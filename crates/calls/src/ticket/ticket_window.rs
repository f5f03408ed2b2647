use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use base::{ClockTime, RanState};

use crate::{
    CallOutcome, ExportedTicket, ProcessId, RequestHash, RetainedAnswer, TicketVerdict,
    WindowExport,
};

/// Memory limits of a ticket window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLimits {
    /// Tickets remembered at once; while the window is full, no more are issued.
    pub tickets: usize,
    /// Bytes of retained answers. Above it the answer of the oldest ticket is evicted first; that
    /// the ticket's request ran stays recorded.
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

/// Whether a ticket window may issue and run tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WindowPhase {
    /// It issues and runs tickets.
    Open,
    /// It issues no tickets and runs no unused ones; it is about to be handed over.
    Sealed,
    /// It was handed over; this process runs none of its tickets any more.
    HandedOver {
        /// The only process that may run the tickets now.
        successor: ProcessId,
    },
}

/// State of one ticket; the hash is that of the request that first used it.
#[derive(Clone, Debug)]
enum TicketState {
    Unused,
    InFlight(RequestHash),
    Answered(RequestHash, Arc<RetainedAnswer>),
    /// The request ended without a retained answer.
    Finished(RequestHash, RanState),
    /// The ticket was refused as expired before any use, so it never runs.
    Expired,
}

/// Sliding window over the sequence numbers of one process's tickets, with the state of each.
///
/// Sequence numbers are consecutive, so the window is a queue. Tickets are forgotten from the
/// front, which raises `floor`, the lowest remembered sequence number. A ticket below the floor is
/// never run, and because the floor only rises, a clock that is set back can't make one valid
/// again.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{ProcessId, RequestHash, TicketVerdict, TicketWindow, WindowLimits};
/// let now = ClockTime::ZERO;
/// let owner = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let mut window = TicketWindow::new(owner, WindowLimits::default());
/// let sequence = window.allocate(now, ClockTime::new(60_000)).unwrap();
/// let request = RequestHash::new("POST", "/svc/mail", b"hello");
/// assert_eq!(window.claim(now, sequence, request), TicketVerdict::Run);
/// assert_eq!(window.claim(now, sequence, request), TicketVerdict::Join);
/// ```
#[derive(Clone, Debug)]
pub struct TicketWindow {
    owner: ProcessId,
    limits: WindowLimits,
    phase: WindowPhase,
    /// Lowest remembered sequence number, which is that of the first entry.
    floor: u64,
    /// Expiry and state of each ticket from the floor on.
    entries: VecDeque<(ClockTime, TicketState)>,
    in_flight: usize,
    answer_bytes: usize,
    /// Sequence numbers of retained answers.
    answers: BTreeSet<u64>,
}

impl TicketWindow {
    /// Creates an empty window for the tickets that `owner` issues.
    pub fn new(owner: ProcessId, limits: WindowLimits) -> Self {
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
    pub fn owner(&self) -> &ProcessId {
        &self.owner
    }

    /// Whether the window may issue and run tickets.
    pub fn phase(&self) -> &WindowPhase {
        &self.phase
    }

    /// Number of tickets whose request is running.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of tickets remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all retained answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Allocates the next sequence number for a ticket that expires at `expiry`; `None` if the
    /// window is full, sealed or handed over.
    pub fn allocate(&mut self, now: ClockTime, expiry: ClockTime) -> Option<u64> {
        self.expire(now);
        if self.phase != WindowPhase::Open || self.entries.len() >= self.limits.tickets {
            return None;
        }
        let sequence = self.floor + self.entries.len() as u64;
        self.entries.push_back((expiry, TicketState::Unused));
        Some(sequence)
    }

    /// Decides what to do with a request that arrived with ticket `sequence`.
    pub fn claim(&mut self, now: ClockTime, sequence: u64, request: RequestHash) -> TicketVerdict {
        if matches!(self.phase, WindowPhase::HandedOver { .. }) {
            return TicketVerdict::HandedOver;
        }
        let sealed = self.phase == WindowPhase::Sealed;
        let Some(at) = sequence.checked_sub(self.floor) else {
            return TicketVerdict::Expired(RanState::Unknown);
        };
        let Some((expiry, state)) = self.entry(at) else {
            // The ticket is signed, but this window never allocated its number: its issuer lost the
            // window, so nothing is known about it.
            return TicketVerdict::Expired(RanState::Unknown);
        };
        let expired = *expiry <= now;
        match state {
            TicketState::Unused if expired => {
                *state = TicketState::Expired;
                TicketVerdict::Expired(RanState::No)
            }
            TicketState::Unused if sealed => TicketVerdict::Sealed,
            TicketState::Unused => {
                *state = TicketState::InFlight(request);
                self.in_flight += 1;
                TicketVerdict::Run
            }
            TicketState::InFlight(first) if *first == request => TicketVerdict::Join,
            TicketState::Answered(first, answer) if *first == request => {
                TicketVerdict::Replay(answer.clone())
            }
            TicketState::Finished(first, ran) if *first == request => TicketVerdict::Finished(*ran),
            TicketState::Expired => TicketVerdict::Expired(RanState::No),
            _ => TicketVerdict::KeyReused,
        }
    }

    /// Records how the request of ticket `sequence` ended; does nothing unless it is in flight.
    pub fn finish(&mut self, sequence: u64, outcome: CallOutcome) {
        let limit = self.limits.answer_bytes;
        let Some((_, state)) = sequence
            .checked_sub(self.floor)
            .and_then(|at| self.entry(at))
        else {
            return;
        };
        let TicketState::InFlight(request) = *state else {
            return;
        };
        match outcome {
            CallOutcome::NotRun => *state = TicketState::Unused,
            CallOutcome::Answered(answer) if answer.body.len() <= limit => {
                *state = TicketState::Answered(request, answer.clone());
                self.retain_answer(sequence, &answer);
            }
            CallOutcome::Answered(_) => *state = TicketState::Finished(request, RanState::Yes),
            CallOutcome::Unanswered(ran) => *state = TicketState::Finished(request, ran),
        }
        self.in_flight -= 1;
    }

    /// Forgets expired tickets from the floor up, as far as the first that is not expired or is in
    /// flight.
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

    /// Stops issuing tickets and running unused ones; requests in flight continue.
    pub fn seal(&mut self) {
        if self.phase == WindowPhase::Open {
            self.phase = WindowPhase::Sealed;
        }
    }

    /// Hands the window over to `successor`; `None` unless it is sealed and not yet handed over.
    ///
    /// Afterwards this window runs no ticket. A request in flight is exported with an unknown run
    /// state, so the caller of this function should first wait for `in_flight` to reach zero. The
    /// export may be sent to the same successor again, but never to another process.
    pub fn export(&mut self, now: ClockTime, successor: ProcessId) -> Option<WindowExport> {
        if self.phase != WindowPhase::Sealed {
            return None;
        }
        let entries = self
            .entries
            .iter()
            .map(|(expiry, state)| (*expiry - now, export_ticket(state)))
            .collect();
        self.phase = WindowPhase::HandedOver {
            successor: successor.clone(),
        };
        Some(WindowExport {
            owner: self.owner.clone(),
            successor,
            floor: self.floor,
            entries,
        })
    }

    /// Creates the successor's window from an export; see [`WindowImports`](crate::WindowImports).
    pub(super) fn from_export(now: ClockTime, limits: WindowLimits, export: WindowExport) -> Self {
        let mut window = Self::new(export.owner, limits);
        window.floor = export.floor;
        for (remaining, entry) in export.entries {
            let sequence = window.floor + window.entries.len() as u64;
            let expiry = WindowExport::expiry(now, remaining);
            let state = match entry {
                ExportedTicket::Unused => TicketState::Unused,
                ExportedTicket::Finished { request, ran } => TicketState::Finished(request, ran),
                ExportedTicket::Answered { request, answer } => {
                    window
                        .entries
                        .push_back((expiry, TicketState::Answered(request, answer.clone())));
                    window.retain_answer(sequence, &answer);
                    continue;
                }
                ExportedTicket::Expired => TicketState::Expired,
            };
            window.entries.push_back((expiry, state));
        }
        window
    }

    fn entry(&mut self, at: u64) -> Option<&mut (ClockTime, TicketState)> {
        self.entries.get_mut(usize::try_from(at).ok()?)
    }

    /// Counts a new retained answer and evicts the oldest ones above the limit.
    fn retain_answer(&mut self, sequence: u64, answer: &RetainedAnswer) {
        self.answer_bytes += answer.body.len();
        self.answers.insert(sequence);
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answers.pop_first() else {
                return;
            };
            self.evict_answer(oldest);
        }
    }

    /// Removes a retained answer; that its request ran stays recorded.
    fn evict_answer(&mut self, sequence: u64) {
        let Some((_, state)) = self.entry(sequence - self.floor) else {
            return;
        };
        let TicketState::Answered(request, answer) = state else {
            return;
        };
        let bytes = answer.body.len();
        *state = TicketState::Finished(*request, RanState::Yes);
        self.answer_bytes -= bytes;
    }
}

fn export_ticket(state: &TicketState) -> ExportedTicket {
    match state {
        TicketState::Unused => ExportedTicket::Unused,
        TicketState::InFlight(request) => ExportedTicket::Finished {
            request: *request,
            ran: RanState::Unknown,
        },
        TicketState::Answered(request, answer) => ExportedTicket::Answered {
            request: *request,
            answer: answer.clone(),
        },
        TicketState::Finished(request, ran) => ExportedTicket::Finished {
            request: *request,
            ran: *ran,
        },
        TicketState::Expired => ExportedTicket::Expired,
    }
}
