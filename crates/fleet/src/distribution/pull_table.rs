use base::{ClockTime, NodeName, TimeSpan};

/// Most pulls in flight at once.
const PULL_LIMIT: usize = 16;

/// One pull in flight.
#[derive(Clone, Debug)]
pub struct OpenPull {
    pub pull: u64,
    pub to: NodeName,
    pub sent_at: ClockTime,
    /// Whether it requests parts of the pending set; otherwise it requests only the digest.
    pub for_set: bool,
}

/// The pulls in flight.
#[derive(Clone, Debug, Default)]
pub struct PullTable {
    pulls: Vec<OpenPull>,
    last_number: u64,
}

impl PullTable {
    /// Adds a pull and returns its number; returns `None` if too many are in flight.
    pub fn open(&mut self, now: ClockTime, to: &NodeName, for_set: bool) -> Option<u64> {
        if self.pulls.len() == PULL_LIMIT {
            return None;
        }
        self.last_number += 1;
        self.pulls.push(OpenPull {
            pull: self.last_number,
            to: to.clone(),
            sent_at: now,
            for_set,
        });
        Some(self.last_number)
    }

    /// Removes and returns the pull with this number.
    pub fn close(&mut self, pull: u64) -> Option<OpenPull> {
        let at = self.pulls.iter().position(|open| open.pull == pull)?;
        Some(self.pulls.swap_remove(at))
    }

    /// Removes and returns the pulls sent at least `timeout` ago.
    pub fn expire(&mut self, now: ClockTime, timeout: TimeSpan) -> Vec<OpenPull> {
        self.pulls
            .extract_if(.., |open| now - open.sent_at >= timeout)
            .collect()
    }

    /// Removes all pulls; their answers will be ignored.
    pub fn clear(&mut self) {
        self.pulls.clear();
    }

    /// Returns whether a pull for parts of the pending set is in flight.
    pub fn has_set_pull(&self) -> bool {
        self.pulls.iter().any(|open| open.for_set)
    }

    /// Returns whether a pull to `peer` is in flight.
    pub fn has_pull_to(&self, peer: &NodeName) -> bool {
        self.pulls.iter().any(|open| open.to == *peer)
    }
}
