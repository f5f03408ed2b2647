use std::sync::Arc;

use base::{ClockTime, RanState, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::{ProcessId, RequestHash, RetainedAnswer};

/// State of one ticket in an exported window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExportedTicket {
    /// The ticket was not used; the successor may run it.
    Unused,
    /// The request ended without a retained answer, or was in flight at the handover.
    Finished {
        /// Hash of the request.
        #[serde(rename = "body")]
        request: RequestHash,
        /// Whether the request ran.
        ran: RanState,
    },
    /// The request ended with this answer.
    Answered {
        /// Hash of the request.
        #[serde(rename = "body")]
        request: RequestHash,
        /// The retained answer.
        answer: Arc<RetainedAnswer>,
    },
    /// The ticket expired before any use; it never runs.
    #[serde(rename = "Void")]
    Expired,
}

/// Content of a sealed ticket window, sent to the one process that may run its tickets now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowExport {
    /// The process that issued the tickets.
    pub owner: ProcessId,
    /// The only process that may import the window.
    pub successor: ProcessId,
    /// Sequence number of the first entry; tickets below it have expired.
    pub floor: u64,
    /// Remaining lifetime and state of each ticket from the floor on. A lifetime is sent and not a
    /// time of expiry, because the clocks of nodes differ.
    pub entries: Vec<(TimeSpan, ExportedTicket)>,
}

impl WindowExport {
    /// Time of expiry, on this process's clock, of a ticket with a `remaining` lifetime.
    pub(super) fn expiry(now: ClockTime, remaining: TimeSpan) -> ClockTime {
        now + remaining
    }
}
