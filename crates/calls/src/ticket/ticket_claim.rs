use std::sync::Arc;

use base::{ErrorKind, RanState};

use crate::{CallFailure, RetainedAnswer};

/// What becomes of a request that arrived with a ticket or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketClaim {
    /// Run it; `finish` must follow.
    Run,
    /// The first attempt is in flight; wait for its answer.
    Join,
    /// Send the answer of the first attempt.
    Replay(Arc<RetainedAnswer>),
    /// The first attempt ended and its answer is not retained.
    Finished(RanState),
    /// The ticket or key was used with another request.
    KeyReused,
    /// The ticket expired or was never issued.
    Expired(RanState),
    /// The window is sealed; it will be handed over and runs nothing new.
    Sealed,
    /// The window was handed over; the successor owns the ticket.
    Moved,
}

impl TicketClaim {
    /// The failure to answer with, or `None` if the claim leads to an answer.
    pub fn failure(&self) -> Option<CallFailure> {
        match self {
            Self::Run | Self::Join | Self::Replay(_) => None,
            Self::Finished(ran) => Some(CallFailure::new(ErrorKind::AnswerGone).with_ran(*ran)),
            // The first request under the key may have run, but this one did not.
            Self::KeyReused => Some(CallFailure::new(ErrorKind::KeyReused)),
            Self::Expired(ran) => Some(CallFailure::new(ErrorKind::BadTicket).with_ran(*ran)),
            Self::Sealed => Some(CallFailure::new(ErrorKind::Stopping)),
            Self::Moved => Some(CallFailure::new(ErrorKind::OwnerUnreachable)),
        }
    }
}
