use base::{ClockTime, NodeName, TargetName, TimeSpan};

/// Time within which a node that was given a lock has to say that it copies.
const BEGIN_WAIT: TimeSpan = TimeSpan::new(400);
/// Time after which a lock of a node that says nothing more counts as given back.
const SILENCE_WAIT: TimeSpan = TimeSpan::new(1_500);

#[derive(Clone, Debug)]
struct CopyLock {
    source: TargetName,
    node: NodeName,
    until: ClockTime,
    /// Whether the node has said that it copies.
    has_begun: bool,
}

/// Which node copies generations off which engine, as a desk has given it out.
///
/// Load: an engine that leaves with the generations of several nodes on it. Its link carries one copy
/// after another; the short last copy of one generation, during which it stands still, waits behind
/// the whole copies of others. So one node at a time copies off an engine.
///
/// ```
/// use base::ClockTime;
/// let mut locks = entry::CopyLocks::default();
/// let (now, source) = (ClockTime::new(1_000), "e1".parse().unwrap());
/// let (first, second) = ("n1".parse().unwrap(), "n2".parse().unwrap());
/// locks.take(now, &source, &first);
/// assert!(locks.is_free(now, &source, &first));
/// assert!(!locks.is_free(now, &source, &second));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CopyLocks {
    locks: Vec<CopyLock>,
}

impl CopyLocks {
    /// Whether a node may copy off an engine now.
    pub fn is_free(&self, now: ClockTime, source: &TargetName, node: &NodeName) -> bool {
        let mut held = self.locks.iter().filter(|lock| lock.source == *source);
        held.all(|lock| lock.node == *node || lock.until <= now)
    }

    /// Gives an engine to a node.
    pub fn take(&mut self, now: ClockTime, source: &TargetName, node: &NodeName) {
        self.locks
            .retain(|lock| lock.source != *source && lock.until > now);
        self.locks.push(CopyLock {
            source: source.clone(),
            node: node.clone(),
            until: now + BEGIN_WAIT,
            has_begun: false,
        });
    }

    /// Takes the word of a node off which engines it copies; returns whether one became free.
    pub fn note_moving(&mut self, now: ClockTime, node: &NodeName, sources: &[TargetName]) -> bool {
        let before = self.locks.len();
        self.locks.retain_mut(|lock| {
            if lock.node != *node {
                return true;
            }
            if sources.contains(&lock.source) {
                lock.has_begun = true;
                lock.until = now + SILENCE_WAIT;
                return true;
            }
            !lock.has_begun
        });
        before != self.locks.len()
    }
}
