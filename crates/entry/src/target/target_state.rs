use base::{ClockTime, IncarnationNumber, TargetName};

use super::{LoadSum, TargetHealth, TargetQuiet, TargetRecord};

/// Whether a target takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It takes calls.
    Ready,
    /// Its entry vanished, perhaps only since the store was away; it takes calls until then.
    Lapsed(ClockTime),
    /// It leaves or left; calls on it may still end.
    Leaving,
}

/// What this node knows of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Entry of the target.
    pub record: TargetRecord,
    /// Whether it takes calls.
    pub phase: TargetPhase,
    /// Calls of this node.
    pub own: LoadSum,
    /// Calls of peers.
    pub peers: LoadSum,
    /// Room granted to peers that they have not told as their load yet.
    pub granted: LoadSum,
    /// How its calls ended.
    pub health: TargetHealth,
    /// Time in which it wants nothing from this node.
    pub quiet: TargetQuiet,
    /// Whether this run said itself that it leaves.
    pub has_said: bool,
    /// When it is no longer slow after its start.
    pub warm_at: ClockTime,
}

impl TargetState {
    /// Creates the state of a target that has just appeared.
    pub fn new(now: ClockTime, record: TargetRecord) -> Self {
        let phase = match record.is_leaving {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        };
        Self {
            quiet: TargetQuiet::default(),
            has_said: false,
            warm_at: now + record.cold_left,
            record,
            phase,
            own: LoadSum::default(),
            peers: LoadSum::default(),
            granted: LoadSum::default(),
            health: TargetHealth::default(),
        }
    }

    /// Phase of a target whose entry is there.
    pub(super) fn listed_phase(&self) -> TargetPhase {
        match self.record.is_leaving || self.has_said {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        }
    }

    /// The target and its run.
    pub fn run(&self) -> (TargetName, IncarnationNumber) {
        (self.record.name.clone(), self.record.incarnation)
    }

    /// Whether new calls may be sent, leaving load aside.
    pub fn accepts(&self, now: ClockTime) -> bool {
        let is_open = self.phase != TargetPhase::Leaving && self.health.accepts(now);
        is_open && self.quiet.allows(now, self.own.calls)
    }

    /// Load of this node and its peers.
    pub fn total(&self) -> LoadSum {
        let mut total = self.own;
        total += self.peers;
        total += self.granted;
        total
    }
}
