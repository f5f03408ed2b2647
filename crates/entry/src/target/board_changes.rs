use base::{IncarnationNumber, TargetName};

use super::TargetState;

/// A run of a target that ended without notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The target.
    pub target: TargetName,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Whether another run has its name or address, so that it is surely gone.
    pub is_replaced: bool,
}

/// What new entries or the lack of old ones change for targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoardChanges {
    /// Targets that left or started to leave.
    pub leaving: Vec<TargetName>,
    /// Runs that the platform lists as ready again after it listed them as leaving.
    pub stayed: Vec<(TargetName, IncarnationNumber)>,
    /// Runs that ended without notice.
    pub ended: Vec<EndedRun>,
}

impl BoardChanges {
    /// Notes a target whose entry is gone without notice.
    pub(super) fn note_vanished(&mut self, state: &TargetState, is_replaced: bool) {
        self.leaving.push(state.record.name.clone());
        self.note_ended(state, is_replaced);
    }

    /// Notes a run that ended without notice.
    pub(super) fn note_ended(&mut self, state: &TargetState, is_replaced: bool) {
        let (target, incarnation) = state.run();
        self.ended.push(EndedRun {
            target,
            incarnation,
            is_replaced,
        });
    }
}
