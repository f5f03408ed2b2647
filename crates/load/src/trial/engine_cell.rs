use std::collections::BTreeSet;

use base::{ClockTime, DomainName, TargetName};
use engine::EngineSimulator;
use sched::LoadReport;

/// An engine of a trial.
#[derive(Debug)]
pub struct EngineCell {
    /// Name of the engine.
    pub target: TargetName,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// The engine; `None` while it is dead or absent.
    pub model: Option<EngineSimulator>,
    /// Whether it was told to leave.
    pub leaving: bool,
    /// Calls that it has.
    pub calls: BTreeSet<usize>,
    /// Time for which a wake event is in the queue.
    pub wake_at: Option<u64>,
    /// Counts the starts.
    pub starts: u64,
}

impl EngineCell {
    /// Tells whether nodes should send it new work.
    pub fn is_usable(&self) -> bool {
        self.model.is_some() && !self.leaving
    }

    /// Load of the engine, if it lives.
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
