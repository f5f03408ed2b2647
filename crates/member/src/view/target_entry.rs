use base::{ClockTime, TimeSpan};
use schema::member::TargetRecord;

use crate::{TargetState, target_state};

/// Time for which other domains are still told that a target is well again.
const RECOVERY_TIME: TimeSpan = TimeSpan::from_secs(120);

/// Which records of a domain are compared: all within it, fewer between domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableScope {
    /// All records.
    Full,
    /// All nodes, and the targets that other domains must not use or stopped using.
    Public,
}

/// What this node knows of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) record: TargetRecord,
    /// When this node first saw the run.
    pub(crate) run_since: ClockTime,
    pub(crate) changed: ClockTime,
    /// Whether other domains are told of it.
    pub(crate) public: bool,
}

impl TargetEntry {
    pub(crate) fn new(now: ClockTime, record: TargetRecord) -> Self {
        Self {
            public: target_state(&record) != TargetState::Alive,
            record,
            run_since: now,
            changed: now,
        }
    }

    /// Replaces the record.
    pub(crate) fn change(&mut self, now: ClockTime, record: TargetRecord) {
        if record.incarnation != self.record.incarnation {
            self.run_since = now;
        }
        self.changed = now;
        self.public |= target_state(&record) != TargetState::Alive;
        self.record = record;
    }

    /// Whether the target has been well for so long that other domains know.
    pub(crate) fn has_recovered(&self, now: ClockTime) -> bool {
        let alive = target_state(&self.record) == TargetState::Alive;
        self.public && alive && now - self.changed > RECOVERY_TIME
    }

    pub(crate) fn is_in(&self, scope: TableScope) -> bool {
        self.public || scope == TableScope::Full
    }
}
