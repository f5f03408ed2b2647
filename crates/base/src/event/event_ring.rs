use std::collections::VecDeque;

use crate::{EventRecord, HybridTime};

/// Ring buffer of the latest events of a process.
///
/// ```
/// let ring = base::EventRing::new(8);
/// assert_eq!(ring.since(Default::default()).count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct EventRing {
    limit: usize,
    dropped: u64,
    records: VecDeque<EventRecord>,
}

impl EventRing {
    /// Creates a ring that holds at most `limit` events, and at least one.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            dropped: 0,
            records: VecDeque::new(),
        }
    }

    /// Adds an event and drops the oldest one if the ring is full.
    pub fn push(&mut self, record: EventRecord) {
        if self.records.len() == self.limit {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(record);
    }

    /// Returns the events later than `time`, oldest first.
    pub fn since(&self, time: HybridTime) -> impl Iterator<Item = &EventRecord> {
        self.records.iter().filter(move |record| record.time > time)
    }

    /// Number of events that were dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
