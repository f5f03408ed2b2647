use std::cmp::Ordering;
use std::collections::BinaryHeap;

use sched::{LoadReport, PeerDigest, RequestPriority};

/// An event of the simulation; nodes, engines and calls are given by index.
#[derive(Clone, Debug)]
pub enum TrialEvent {
    /// A call reaches its node.
    Arrive { call: usize },
    /// The periodic tick of a node's policy is due.
    Tick { node: usize },
    /// A dispatched call reaches its engine.
    Submit {
        engine: usize,
        call: usize,
        attempt: u32,
        priority: RequestPriority,
    },
    /// A changed priority reaches its engine.
    SetPriority {
        engine: usize,
        call: usize,
        priority: RequestPriority,
    },
    /// The engine model has its next event at this time.
    Wake { engine: usize },
    /// The node learns that the engine admitted its call.
    Admitted { call: usize, attempt: u32 },
    /// The node learns how many tokens its call has produced.
    Progress {
        call: usize,
        attempt: u32,
        produced: u32,
    },
    /// The node learns that its call is complete.
    Completed { call: usize, attempt: u32 },
    /// The node learns that the engine did not admit its call.
    NotAdmitted { call: usize, attempt: u32 },
    /// The node learns that its call failed or that the engine died.
    Lost { call: usize, attempt: u32 },
    /// The periodic load report of an engine is due.
    ReportDue { engine: usize },
    /// A load report reaches a node.
    Report { node: usize, report: LoadReport },
    /// A load digest of a peer reaches a node.
    Digest { node: usize, digest: PeerDigest },
    /// News that an engine cached or evicted a prefix reaches a node.
    Cache {
        node: usize,
        engine: usize,
        prefix: u64,
        held: bool,
    },
    /// A probe reaches an engine.
    Probe { node: usize, engine: usize },
    /// The fault with this index in the plan takes place.
    Fault { index: usize },
    /// A reclaimed engine dies at the end of its notice.
    Kill { engine: usize },
    /// The replacement of a killed engine starts.
    Start { engine: usize },
    /// The nodes learn which targets are currently usable.
    Targets,
}

#[derive(Debug)]
struct QueueEntry {
    at: u64,
    sequence: u64,
    event: TrialEvent,
}

impl QueueEntry {
    fn key(&self) -> (u64, u64) {
        (self.at, self.sequence)
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

/// Priority queue of events by time; events of the same time come out in the order in which
/// they were added.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<QueueEntry>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at `at` microseconds.
    pub fn push(&mut self, at: u64, event: TrialEvent) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.heap.push(QueueEntry {
            at,
            sequence,
            event,
        });
    }

    /// Removes the earliest event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, TrialEvent)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
