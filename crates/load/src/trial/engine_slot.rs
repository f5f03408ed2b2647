use std::collections::BTreeSet;

use base::{ClockTime, DomainName, TargetName};
use engine::EngineSimulator;
use sched::LoadReport;

/// One engine position in a trial; it outlives the engine that runs in it.
#[derive(Debug)]
pub struct EngineSlot {
    /// Name of the engine.
    pub target: TargetName,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Model of the running engine; `None` while no engine runs in the slot.
    pub model: Option<EngineSimulator>,
    /// Whether the engine has notice that it will be reclaimed.
    pub leaving: bool,
    /// Indices of the calls that the engine accepted and that have not ended.
    pub calls: BTreeSet<usize>,
    /// Time of the current wake event in the queue; other wake events of the slot are outdated.
    pub wake_at: Option<u64>,
    /// Number of engines started in the slot so far; part of the engine's seed.
    pub starts: u64,
}

impl EngineSlot {
    /// Whether nodes should send new work to the engine.
    pub fn is_usable(&self) -> bool {
        self.model.is_some() && !self.leaving
    }

    /// Load report of the engine; `None` if no engine runs.
    pub fn report(&self, measured_at: ClockTime) -> Option<LoadReport> {
        let figures = self.model.as_ref()?.load_stats();
        Some(LoadReport {
            target: self.target.clone(),
            measured_at,
            running: figures.running,
            waiting: figures.waiting,
            used_pages: figures.used_pages,
            cached_pages: figures.cached_pages,
            total_pages: figures.total_pages,
            page_tokens: figures.page_tokens,
            preemptions: figures.preemptions,
        })
    }
}
