use base::{IncarnationNumber, TargetName};

use super::TargetState;

/// A run of a target that ended: its record disappeared without an announcement that it leaves, or
/// another run registered under its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The target.
    pub target: TargetName,
    /// Incarnation number of the run.
    pub incarnation: IncarnationNumber,
    /// Whether another run is registered under its name or address, which proves that it is gone.
    pub is_replaced: bool,
}

/// What changes for targets when the registered records are updated, or when a record stays missing
/// for too long.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetChanges {
    /// Targets that are gone or have started to leave.
    pub leaving: Vec<TargetName>,
    /// Runs that the platform lists as ready again after it had listed them as leaving.
    pub no_longer_leaving: Vec<(TargetName, IncarnationNumber)>,
    /// Runs that ended without notice, or that another run replaced.
    pub ended: Vec<EndedRun>,
}

impl TargetChanges {
    /// Adds a target whose record disappeared without an announcement that it leaves.
    pub(super) fn add_vanished(&mut self, state: &TargetState, is_replaced: bool) {
        self.leaving.push(state.record.name.clone());
        self.add_ended(state, is_replaced);
    }

    /// Adds a run that ended.
    pub(super) fn add_ended(&mut self, state: &TargetState, is_replaced: bool) {
        let (target, incarnation) = state.run();
        self.ended.push(EndedRun {
            target,
            incarnation,
            is_replaced,
        });
    }
}
