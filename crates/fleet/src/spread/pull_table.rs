use base::{ClockTime, NodeName, TimeSpan};

/// Most pulls in flight at once.
const PULL_LIMIT: usize = 16;

/// One pull in flight.
#[derive(Clone, Debug)]
pub struct OpenPull {
    pub pull: u64,
    pub to: NodeName,
    pub sent_at: ClockTime,
    /// Whether it asks for parts of the pending set; else only for the digest.
    pub for_set: bool,
}

/// The pulls in flight.
#[derive(Clone, Debug, Default)]
pub struct PullTable {
    pulls: Vec<OpenPull>,
    next: u64,
}

impl PullTable {
    /// Adds a pull and returns its number, unless there are too many.
    pub fn open(&mut self, now: ClockTime, to: &NodeName, for_set: bool) -> Option<u64> {
        if self.pulls.len() == PULL_LIMIT {
            return None;
        }
        self.next += 1;
        self.pulls.push(OpenPull {
            pull: self.next,
            to: to.clone(),
            sent_at: now,
            for_set,
        });
        Some(self.next)
    }

    /// Removes the pull with this number.
    pub fn close(&mut self, pull: u64) -> Option<OpenPull> {
        let at = self.pulls.iter().position(|open| open.pull == pull)?;
        Some(self.pulls.swap_remove(at))
    }

    /// Removes the pulls older than `timeout`.
    pub fn expire(&mut self, now: ClockTime, timeout: TimeSpan) -> Vec<OpenPull> {
        self.pulls
            .extract_if(.., |open| now - open.sent_at >= timeout)
            .collect()
    }

    /// Forgets all pulls; their answers are ignored.
    pub fn clear(&mut self) {
        self.pulls.clear();
    }

    /// Tells whether a pull for the pending set is in flight.
    pub fn has_set_pull(&self) -> bool {
        self.pulls.iter().any(|open| open.for_set)
    }

    /// Tells whether a pull to `peer` is in flight.
    pub fn has_pull_to(&self, peer: &NodeName) -> bool {
        self.pulls.iter().any(|open| open.to == *peer)
    }
}
