use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::{RefusalState, TargetBackoff, TargetHealth, TargetLoad, TargetRecord};
use crate::{TargetPace, TargetRate};

/// Whether a target takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It takes calls.
    Ready,
    /// Its record disappeared, perhaps only because the store was down; it takes calls until the
    /// given time.
    Lapsed(ClockTime),
    /// It is leaving or gone and takes no new calls; calls that run on it may still end.
    Leaving,
}

/// What this node knows about one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Its latest registration record.
    pub record: TargetRecord,
    /// Whether it takes calls.
    pub phase: TargetPhase,
    /// Load of the calls of this node.
    pub own_load: TargetLoad,
    /// Load of the calls of peers, as they reported it.
    pub peer_load: TargetLoad,
    /// Load of calls that were granted room here but that their nodes have not reported yet.
    pub granted_load: TargetLoad,
    /// Failure rate, and pauses after failed connections.
    pub health: TargetHealth,
    /// Backoff that it asked this node for.
    pub backoff: TargetBackoff,
    /// Rate of calls that it accepts from all nodes together, and permits to send to it.
    pub rate: TargetRate,
    /// Whether this run announced that it leaves, other than by its record.
    pub has_announced_leave: bool,
    /// Whether this run ended although it is still listed.
    pub has_ended: bool,
    /// Whether its failure domain is evacuated, so that it takes no calls until that is taken back.
    pub is_evacuated: bool,
    /// When it stops being cold.
    pub warm_at: ClockTime,
    /// Limit of the calls that it may refuse, and the slots withheld for that reason.
    pub refusals: RefusalState,
    /// Its pace beside the other engines of its service.
    pub pace: TargetPace,
}

impl TargetState {
    /// Creates the state of a target that has just been registered.
    pub fn new(now: ClockTime, record: TargetRecord) -> Self {
        let phase = match record.is_leaving {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        };
        Self {
            backoff: TargetBackoff::default(),
            rate: TargetRate::default(),
            has_announced_leave: false,
            has_ended: false,
            is_evacuated: false,
            warm_at: now + record.cold_left,
            refusals: RefusalState::default(),
            pace: TargetPace::default(),
            record,
            phase,
            own_load: TargetLoad::default(),
            peer_load: TargetLoad::default(),
            granted_load: TargetLoad::default(),
            health: TargetHealth::default(),
        }
    }

    /// Phase of a target whose record is listed in the store.
    pub(super) fn listed_phase(&self) -> TargetPhase {
        match self.record.is_leaving || self.has_announced_leave || self.has_ended {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        }
    }

    /// Name and incarnation of the run.
    pub fn run(&self) -> (TargetName, IncarnationNumber) {
        (self.record.name.clone(), self.record.incarnation)
    }

    /// Whether it may be chosen for calls once it has room: it neither leaves nor is evacuated.
    pub fn is_open(&self) -> bool {
        self.phase != TargetPhase::Leaving && !self.is_evacuated
    }

    /// Whether its phase, health, backoff and rate allow new calls and it is not evacuated; whether
    /// it has room is not checked.
    pub fn accepts(&self, now: ClockTime) -> bool {
        self.is_open()
            && self.health.accepts(now)
            && self.backoff.allows(now, self.own_load.calls)
            && self.rate.wait_left(now).is_none()
    }

    /// Time until it accepts calls of this node again, if it asked for a backoff or its rate is
    /// used up.
    pub fn wait_left(&self, now: ClockTime) -> Option<TimeSpan> {
        self.backoff.left(now).max(self.rate.wait_left(now))
    }

    /// Load of this node, of its peers and of grants.
    pub fn total(&self) -> TargetLoad {
        let mut total = self.own_load;
        total += self.peer_load;
        total += self.granted_load;
        total
    }
}
