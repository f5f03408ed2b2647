use base::{ClockTime, DomainName, TargetName};

use super::TargetHealth;
use crate::{MemoryView, TargetInfo};

/// Smoothing of the time between tokens.
const GAP_SHARE: f64 = 0.1;

/// What a node knows of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Name of the target.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Whether it is listed and may get new work.
    pub usable: bool,
    /// Memory and number of sequences.
    pub view: MemoryView,
    /// Failures, slow start and preemptions.
    pub health: TargetHealth,
    /// When the report that is used was received.
    pub reported_at: Option<ClockTime>,
    /// Dispatches by the report that is used.
    pub report_uses: u32,
    gap_ms: f64,
}

impl TargetState {
    /// Creates the state of a target of which nothing is known yet.
    pub fn new(info: &TargetInfo) -> Self {
        Self {
            target: info.target.clone(),
            domain: info.domain.clone(),
            usable: info.usable,
            view: MemoryView::default(),
            health: TargetHealth::default(),
            reported_at: None,
            report_uses: 0,
            gap_ms: 0.0,
        }
    }

    /// Notes that a stream got `tokens` tokens in `millis` milliseconds.
    pub fn add_gap(&mut self, millis: u64, tokens: u32) {
        let gap = millis as f64 / f64::from(tokens.max(1));
        self.gap_ms += (gap - self.gap_ms) * GAP_SHARE;
    }

    /// Smoothed time between tokens in milliseconds, as this node sees it.
    pub fn gap_ms(&self) -> f64 {
        self.gap_ms
    }
}
