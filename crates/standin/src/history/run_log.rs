use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use base::EventKind;
use log::Level;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One execution of a call by a stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Name of the stand-in that ran the call.
    pub target: SmolStr,
    /// Request identifier assigned by the node.
    pub request: SmolStr,
    /// Identifier that the caller put into the request, by which history checks find it.
    pub mark: SmolStr,
    /// Generation; empty for plain services.
    pub generation: SmolStr,
    /// Requested model; empty for plain services.
    pub model: SmolStr,
    /// Whether it was a chat completion.
    pub chat: bool,
    /// Whether the call finished.
    pub finished: bool,
}

/// Bounded log of the latest runs of a stand-in; clones share it.
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

    /// Adds a run; drops the oldest one if the limit is reached.
    pub fn push(&self, record: RunRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() == self.limit {
            records.pop_front();
        }
        write_log("started", &record);
        records.push_back(record);
    }

    /// Marks the latest run of `request` as finished.
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

    /// Returns the latest run of a generation.
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

/// Writes a run to the process log, so that it is not lost if the process is killed.
fn write_log(state: &str, record: &RunRecord) {
    if !log::log_enabled!(target: "event", Level::Debug) {
        return;
    }
    let text = serde_json::to_string(record).unwrap_or_default();
    let number = EventKind::ProcessMessage.number();
    log::debug!(target: "event", event = number; "run {state} {text}");
}
