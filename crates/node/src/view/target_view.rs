use base::{ClockTime, TargetName};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::EngineHealth;

/// Whether a target is reachable and may get work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// The target has not answered yet.
    #[default]
    Unknown,
    /// The target answers and may get work.
    Up,
    /// The target is about to stop and gets no new work.
    Leaving,
    /// The target does not answer.
    Down,
}

/// State of one target as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub target: TargetName,
    /// Whether it may get work.
    pub phase: TargetPhase,
    /// Latest health; only engines report it.
    pub health: Option<EngineHealth>,
    /// When the health was last updated, by the clock of this node.
    pub observed_at: ClockTime,
    /// When the phase last changed.
    pub phase_since: ClockTime,
}

impl TargetView {
    /// Creates the state of a target that has not answered yet.
    pub fn new(target: TargetName, now: ClockTime) -> Self {
        Self {
            target,
            phase: TargetPhase::Unknown,
            health: None,
            observed_at: now,
            phase_since: now,
        }
    }

    /// Sets the phase and, if it differs, when it changed; returns whether it did.
    pub fn set_phase(&mut self, phase: TargetPhase, now: ClockTime) -> bool {
        if self.phase == phase {
            return false;
        }
        self.phase = phase;
        self.phase_since = now;
        true
    }
}
