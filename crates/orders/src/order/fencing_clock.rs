use base::{IncarnationNumber, RevisionNumber};

use crate::FencingNumber;

/// Issues fencing numbers above every number issued or seen.
///
/// ```
/// use base::{IncarnationNumber, RevisionNumber};
/// let mut clock = orders::FencingClock::new(IncarnationNumber(1));
/// let revision = RevisionNumber::new(1, 1);
/// let first = clock.issue(revision, 0);
/// assert!(clock.issue(revision, 0) > first);
/// ```
#[derive(Clone, Debug)]
pub struct FencingClock {
    incarnation: IncarnationNumber,
    highest: FencingNumber,
    time: u64,
}

impl FencingClock {
    /// Creates the clock of one run of a node.
    pub fn new(incarnation: IncarnationNumber) -> Self {
        Self {
            incarnation,
            highest: FencingNumber::default(),
            time: 0,
        }
    }

    /// Takes note of a number that a target reports or a peer mentions.
    pub fn observe(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(number);
        self.time = self.time.max(number.time);
    }

    /// Issues the next number; `wall` in milliseconds lifts the logical time, so that a later
    /// order has the higher number even if the two issuers never exchanged theirs.
    pub fn issue(&mut self, revision: RevisionNumber, wall: u64) -> FencingNumber {
        self.time = wall.max(self.time.saturating_add(1));
        let number = FencingNumber::new(revision, self.time, self.incarnation);
        self.highest = self.highest.max(number);
        number
    }

    /// Highest number issued or seen; peers are told about it.
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Highest logical time issued or seen; it may belong to an older revision.
    pub fn time(&self) -> u64 {
        self.time
    }
}
