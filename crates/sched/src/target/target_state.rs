use base::{ClockTime, DomainName, TargetName};

use super::TargetHealth;
use crate::{MemoryView, TargetInfo};

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
        }
    }
}
