use std::cmp::Ordering;
use std::collections::BinaryHeap;

use sched::{LoadReport, PeerDigest, RequestPriority};

/// Something that happens in a trial; places of nodes, engines and calls are indices.
#[derive(Clone, Debug)]
pub enum TrialEvent {
    /// The next call reaches its node.
    Arrive { call: usize },
    /// A policy gets its tick.
    Tick { node: usize },
    /// A dispatched call reaches its engine.
    Submit {
        engine: usize,
        call: usize,
        attempt: u32,
        priority: RequestPriority,
    },
    /// A changed priority reaches its engine.
    Prioritise {
        engine: usize,
        call: usize,
        priority: RequestPriority,
    },
    /// The engine has something to tell.
    Wake { engine: usize },
    /// The node learns that its call runs.
    Admitted { call: usize, attempt: u32 },
    /// The node learns how many tokens its call has.
    Progress {
        call: usize,
        attempt: u32,
        produced: u32,
    },
    /// The node learns that its call is complete.
    Completed { call: usize, attempt: u32 },
    /// The node learns that its call was not admitted.
    NotAdmitted { call: usize, attempt: u32 },
    /// The node learns that its call is lost.
    Lost { call: usize, attempt: u32 },
    /// The engine measures its load.
    Measure { engine: usize },
    /// A report reaches a node.
    Report { node: usize, report: LoadReport },
    /// A digest reaches a node.
    Digest { node: usize, digest: PeerDigest },
    /// A cache event reaches a node.
    Cache {
        node: usize,
        engine: usize,
        prefix: u64,
        held: bool,
    },
    /// A probe reaches an engine.
    Probe { node: usize, engine: usize },
    /// A fault of the schedule takes place.
    Fault { at: usize },
    /// A reclaimed engine ends.
    Kill { engine: usize },
    /// A replacement starts.
    Start { engine: usize },
    /// The nodes learn which targets are usable.
    Targets,
}

#[derive(Debug)]
struct QueueEntry {
    at: u64,
    order: u64,
    event: TrialEvent,
}

impl QueueEntry {
    fn key(&self) -> (u64, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    /// The earliest entry is the greatest, since the heap yields the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events in order of time; events of the same time in the order in which they were added.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<QueueEntry>,
    added: u64,
}

impl EventQueue {
    /// Adds an event at `at` microseconds.
    pub fn push(&mut self, at: u64, event: TrialEvent) {
        self.added += 1;
        let order = self.added;
        self.heap.push(QueueEntry { at, order, event });
    }

    /// Takes out the next event with its time.
    pub fn pop(&mut self) -> Option<(u64, TrialEvent)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
