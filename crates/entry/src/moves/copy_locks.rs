use base::{ClockTime, NodeName, TargetName, TimeSpan};

/// Time within which a node that acquired a lock has to report that it copies.
const START_TIMEOUT: TimeSpan = TimeSpan::new(400);
/// Time after which the lock of a node that sends no more reports is released.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::new(1_500);

/// Lock of an engine that a node holds until it expires.
#[derive(Clone, Debug)]
struct CopyLock {
    source: TargetName,
    node: NodeName,
    expires_at: ClockTime,
    /// Whether the node has reported that it copies.
    has_started: bool,
}

/// Locks by which a placement coordinator lets one node at a time copy generations off an engine.
///
/// An engine that leaves may run generations of several nodes, and its link carries one copy after
/// another. Without the locks, the short last copy of a generation, during which the generation is
/// stopped, would wait behind the full copies of others.
///
/// ```
/// use base::ClockTime;
/// let mut locks = entry::CopyLocks::default();
/// let (now, source) = (ClockTime::new(1_000), "e1".parse().unwrap());
/// let (first, second) = ("n1".parse().unwrap(), "n2".parse().unwrap());
/// locks.acquire(now, &source, &first);
/// assert!(locks.is_free(now, &source, &first));
/// assert!(!locks.is_free(now, &source, &second));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CopyLocks {
    locks: Vec<CopyLock>,
}

impl CopyLocks {
    /// Whether a node may acquire the lock of an engine: it is free, expired, or held by this node.
    pub fn is_free(&self, now: ClockTime, source: &TargetName, node: &NodeName) -> bool {
        let mut held = self.locks.iter().filter(|lock| lock.source == *source);
        held.all(|lock| lock.node == *node || lock.expires_at <= now)
    }

    /// Gives the lock of an engine to a node.
    pub fn acquire(&mut self, now: ClockTime, source: &TargetName, node: &NodeName) {
        self.locks
            .retain(|lock| lock.source != *source && lock.expires_at > now);
        self.locks.push(CopyLock {
            source: source.clone(),
            node: node.clone(),
            expires_at: now + START_TIMEOUT,
            has_started: false,
        });
    }

    /// Updates the locks of a node from its report of the engines off which it copies; returns
    /// whether a lock became free.
    ///
    /// A lock that the node has not reported yet is kept, since the report may have been sent
    /// before the node knew of the lock.
    pub fn update_holder(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        sources: &[TargetName],
    ) -> bool {
        let before = self.locks.len();
        self.locks.retain_mut(|lock| {
            if lock.node != *node {
                return true;
            }
            if sources.contains(&lock.source) {
                lock.has_started = true;
                lock.expires_at = now + REPORT_TIMEOUT;
                return true;
            }
            !lock.has_started
        });
        before != self.locks.len()
    }
}
