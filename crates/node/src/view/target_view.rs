use base::{ClockTime, TargetName};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::EngineHealth;

/// Whether a target may get work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It has not answered yet.
    #[default]
    Unknown,
    /// It answers.
    Up,
    /// It is about to be taken away and gets nothing new.
    Leaving,
    /// It does not answer.
    Down,
}

/// State of one target as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub target: TargetName,
    /// Whether it may get work.
    pub phase: TargetPhase,
    /// Latest health, for engines.
    pub health: Option<EngineHealth>,
    /// When the health was read, on the clock of this node.
    pub observed_at: ClockTime,
    /// When the phase changed last.
    pub since: ClockTime,
}

impl TargetView {
    /// Creates the state of a target that has not answered yet.
    pub fn new(target: TargetName, now: ClockTime) -> Self {
        Self {
            target,
            phase: TargetPhase::Unknown,
            health: None,
            observed_at: now,
            since: now,
        }
    }

    /// Sets the phase and remembers when it changed; true if it did.
    pub fn set_phase(&mut self, phase: TargetPhase, now: ClockTime) -> bool {
        if self.phase == phase {
            return false;
        }
        self.phase = phase;
        self.since = now;
        true
    }
}
