use base::{IncarnationNumber, RevisionNumber};

use crate::FencingNumber;

/// Issues fencing numbers that are higher than every number issued or seen before.
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
    /// Creates the clock for one incarnation of a node.
    pub fn new(incarnation: IncarnationNumber) -> Self {
        Self {
            incarnation,
            highest: FencingNumber::default(),
            time: 0,
        }
    }

    /// Records a number that a target or a peer reported.
    pub fn observe(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(number);
        self.time = self.time.max(number.time);
    }

    /// Issues the next number. The logical time is at least `wall` (wall clock in milliseconds), so
    /// that a later order has the higher number even if the two issuers never exchanged theirs.
    pub fn issue(&mut self, revision: RevisionNumber, wall: u64) -> FencingNumber {
        self.time = wall.max(self.time.saturating_add(1));
        let number = FencingNumber::new(revision, self.time, self.incarnation);
        self.highest = self.highest.max(number);
        number
    }

    /// Highest number issued or seen.
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Highest logical time issued or seen; it may belong to an older revision.
    pub fn time(&self) -> u64 {
        self.time
    }
}
