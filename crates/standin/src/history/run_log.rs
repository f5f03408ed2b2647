use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use base::EventKind;
use log::Level;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One run of a call at a stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Stand-in that ran it.
    pub target: SmolStr,
    /// Identifier that the node gave to the request.
    pub request: SmolStr,
    /// Mark that the caller put into the request to find it again.
    pub mark: SmolStr,
    /// Generation, for engines.
    pub generation: SmolStr,
    /// Model that was asked for, for engines.
    pub model: SmolStr,
    /// Whether it was a chat completion.
    pub chat: bool,
    /// Whether it ran to its end.
    pub finished: bool,
}

/// The latest runs of a stand-in, bounded in number; clones share one list.
///
/// ```
/// let log = standin::RunLog::new(4);
/// assert!(log.records().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct RunLog {
    limit: usize,
    records: Arc<Mutex<VecDeque<RunRecord>>>,
}

impl RunLog {
    /// Creates a log of at most `limit` runs.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            records: Arc::default(),
        }
    }

    /// Adds a run.
    pub fn push(&self, record: RunRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() == self.limit {
            records.pop_front();
        }
        write_log("started", &record);
        records.push_back(record);
    }

    /// Notes that the latest run of `request` ran to its end.
    pub fn finish(&self, request: &str) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let found = records
            .iter_mut()
            .rev()
            .find(|record| record.request == request);
        if let Some(record) = found {
            record.finished = true;
            write_log("finished", record);
        }
    }

    /// Returns the run of a generation.
    pub fn find_generation(&self, generation: &str) -> Option<RunRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut latest = records.iter().rev();
        latest
            .find(|record| record.generation == generation)
            .cloned()
    }

    /// Returns the runs, oldest first.
    pub fn records(&self) -> Vec<RunRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().cloned().collect()
    }
}

/// Writes a run to the log, where it outlives a killed process.
fn write_log(state: &str, record: &RunRecord) {
    if !log::log_enabled!(target: "event", Level::Debug) {
        return;
    }
    let text = serde_json::to_string(record).unwrap_or_default();
    let number = EventKind::ProcessMessage.number();
    log::debug!(target: "event", event = number; "run {state} {text}");
}
