use std::sync::Arc;

use base::{ErrorKind, RanState};

use crate::{CallFailure, RetainedAnswer};

/// What to do with a request that arrived with a ticket, as its ticket window decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketVerdict {
    /// Run it, then report the outcome with `TicketWindow::finish`.
    Run,
    /// The first send of the request is still running; wait for its answer.
    Join,
    /// Send the retained answer of the first run.
    Replay(Arc<RetainedAnswer>),
    /// The first run ended and its answer is not retained.
    Finished(RanState),
    /// The ticket was used with another request.
    KeyReused,
    /// The ticket expired or was never issued; the state says whether its request ran.
    Expired(RanState),
    /// The window is sealed for its handover and runs no unused ticket any more.
    Sealed,
    /// The window was handed over; only the successor may run the ticket.
    HandedOver,
}

impl TicketVerdict {
    /// The failure to answer with; `None` if the request runs, waits or gets a retained answer.
    pub fn failure(&self) -> Option<CallFailure> {
        match self {
            Self::Run | Self::Join | Self::Replay(_) => None,
            Self::Finished(ran) => Some(CallFailure::new(ErrorKind::AnswerGone).with_ran(*ran)),
            // The first request with the ticket may have run, but this one did not.
            Self::KeyReused => Some(CallFailure::new(ErrorKind::KeyReused)),
            Self::Expired(ran) => Some(CallFailure::new(ErrorKind::BadTicket).with_ran(*ran)),
            Self::Sealed => Some(CallFailure::new(ErrorKind::Stopping)),
            Self::HandedOver => Some(CallFailure::new(ErrorKind::OwnerUnreachable)),
        }
    }
}
