use std::sync::Arc;

use base::{ClockTime, RanState, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::{BodyHash, OwnerId, RetainedAnswer};

/// State of one ticket in a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExportedEntry {
    /// Not used; the successor may run it.
    Unused,
    /// Ended without a retained answer, or in flight at the handover.
    Finished {
        /// The request.
        body: BodyHash,
        /// Whether it ran.
        ran: RanState,
    },
    /// Ended, with its answer.
    Answered {
        /// The request.
        body: BodyHash,
        /// Its answer.
        answer: Arc<RetainedAnswer>,
    },
    /// Expired without use; it never runs.
    Void,
}

/// A sealed window on its way to the one process that may go on with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowExport {
    /// The process that issued the tickets.
    pub owner: OwnerId,
    /// The only process that may import the window.
    pub successor: OwnerId,
    /// Sequence number of the first entry; tickets below it have expired.
    pub floor: u64,
    /// Time to expiry and state of each ticket from the floor on; clocks of nodes differ.
    pub entries: Vec<(TimeSpan, ExportedEntry)>,
}

impl WindowExport {
    pub(super) fn expiry(now: ClockTime, left: TimeSpan) -> ClockTime {
        now + left
    }
}
