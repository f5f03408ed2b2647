use base::{IncarnationNumber, TargetName};

use super::TargetState;

/// What new entries or the lack of old ones change for targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoardChanges {
    /// Targets that left or started to leave.
    pub leaving: Vec<TargetName>,
    /// Runs that the platform lists as ready again after it listed them as leaving.
    pub stayed: Vec<(TargetName, IncarnationNumber)>,
    /// Runs that ended without notice.
    pub ended: Vec<(TargetName, IncarnationNumber)>,
}

impl BoardChanges {
    /// Notes a target whose entry is gone without notice.
    pub(super) fn note_vanished(&mut self, state: &TargetState) {
        self.leaving.push(state.record.name.clone());
        self.ended.push(state.run());
    }
}
