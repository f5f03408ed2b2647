use base::{ClockTime, TimeSpan};
use schema::member::TargetRecord;

use crate::{TargetState, target_state};

/// Time for which a recovered target is still reported to other domains.
const RECOVERY_NOTICE_TIME: TimeSpan = TimeSpan::from_secs(120);

/// Which records of a domain a sync compares: all within the domain, fewer between domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncScope {
    /// All records.
    Full,
    /// All nodes, and only those targets that accept no new work or recovered recently.
    Exported,
}

/// What this node holds about a target: its record and when it changed.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) record: TargetRecord,
    /// When this node first learned of the current run.
    pub(crate) run_first_seen: ClockTime,
    pub(crate) changed_at: ClockTime,
    /// Whether the record is compared with other domains.
    pub(crate) exported: bool,
}

impl TargetEntry {
    pub(crate) fn new(now: ClockTime, record: TargetRecord) -> Self {
        Self {
            exported: target_state(&record) != TargetState::Alive,
            record,
            run_first_seen: now,
            changed_at: now,
        }
    }

    /// Replaces the record; a target that accepts no new work becomes exported.
    pub(crate) fn update(&mut self, now: ClockTime, record: TargetRecord) {
        if record.incarnation != self.record.incarnation {
            self.run_first_seen = now;
        }
        self.changed_at = now;
        self.exported |= target_state(&record) != TargetState::Alive;
        self.record = record;
    }

    /// Whether an exported target has been alive for so long that other domains had time to learn
    /// of it.
    pub(crate) fn is_recovery_notice_over(&self, now: ClockTime) -> bool {
        let alive = target_state(&self.record) == TargetState::Alive;
        self.exported && alive && now - self.changed_at > RECOVERY_NOTICE_TIME
    }

    pub(crate) fn is_in(&self, scope: SyncScope) -> bool {
        self.exported || scope == SyncScope::Full
    }
}
