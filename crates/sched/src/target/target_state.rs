use base::{ClockTime, DomainName, TargetName};

use super::TargetHealth;
use crate::{MemoryView, TargetInfo};

/// What a node knows about one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Name of the target.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Whether the target is listed and may get new requests.
    pub usable: bool,
    /// Estimated memory use and number of sequences.
    pub view: MemoryView,
    /// Ejection, slow start and memory share.
    pub health: TargetHealth,
    /// When the latest load report was received.
    pub reported_at: Option<ClockTime>,
    /// Requests dispatched to the target since the latest load report.
    pub report_uses: u32,
}

impl TargetState {
    /// Creates the state of a target that has not reported its load yet.
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
