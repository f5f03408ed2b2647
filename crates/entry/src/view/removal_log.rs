use std::collections::VecDeque;

use smol_str::SmolStr;

use super::{ItemChange, PublishedItem};

/// Largest number of removals that are kept to report to peers; a large release replaces some hundred
/// targets.
const REMOVAL_LIMIT: usize = 1_024;
/// Largest number of spans of skipped changes that are kept.
const SKIPPED_LIMIT: usize = 64;

/// Changes that a copy did not see one by one, as it was replaced by a list of all items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SkippedSpan {
    /// Revision of the copy before the list.
    after: u64,
    /// Revision of the list.
    until: u64,
}

/// An item that was removed.
#[derive(Clone, Debug)]
struct RemovedItem {
    key: SmolStr,
    /// Revision by which it had been removed.
    revision: u64,
    /// The item before, if the copy had it.
    last: Option<PublishedItem>,
}

/// Latest removals from a copy of the store, and the revisions from which on it knows all of them.
///
/// ```
/// let mut log = entry::RemovalLog::default();
/// log.record(7, "servers/e1".into(), None);
/// assert_eq!(log.after(6).count(), 1);
/// // The copy was replaced by a list: what came and went between left no trace.
/// log.record_skipped(8, 12);
/// assert!(log.covers(8) && log.covers(12) && !log.covers(10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RemovalLog {
    /// Oldest first.
    removals: VecDeque<RemovedItem>,
    /// Revision after which all removals are known, but for the skipped ones.
    since: u64,
    /// Oldest first. An item that was added and removed in one of these spans left no trace, so that a
    /// copy from within it can't be brought up to date by changes.
    skipped: VecDeque<SkippedSpan>,
}

impl RemovalLog {
    /// Whether all removals after a revision that a copy with that revision needs are known.
    pub fn covers(&self, revision: u64) -> bool {
        let is_within = |span: &SkippedSpan| span.after < revision && revision < span.until;
        revision >= self.since && !self.skipped.iter().any(is_within)
    }

    /// Whether changes after a revision were skipped.
    pub fn has_skipped_after(&self, revision: u64) -> bool {
        self.skipped.iter().any(|span| span.until > revision)
    }

    /// Removals after a revision.
    pub fn after(&self, revision: u64) -> impl Iterator<Item = ItemChange> {
        let later = self.removals.iter();
        let later = later.filter(move |one| one.revision > revision);
        later.map(|one| ItemChange::Removed {
            key: one.key.clone(),
            revision: one.revision,
        })
    }

    /// What an item was when it was removed last.
    pub fn last(&self, key: &str) -> Option<&PublishedItem> {
        let mut latest = self.removals.iter().rev();
        latest.find(|one| one.key == key)?.last.as_ref()
    }

    /// Records the removal of an item that was `last` before.
    pub fn record(&mut self, revision: u64, key: SmolStr, last: Option<PublishedItem>) {
        if self.removals.len() >= REMOVAL_LIMIT
            && let Some(oldest) = self.removals.pop_front()
        {
            self.since = self.since.max(oldest.revision);
        }
        self.removals.push_back(RemovedItem {
            key,
            revision,
            last,
        });
    }

    /// Records that a copy as of revision `after` was replaced by a list as of `until`.
    pub fn record_skipped(&mut self, after: u64, until: u64) {
        if self.skipped.len() >= SKIPPED_LIMIT
            && let Some(oldest) = self.skipped.pop_front()
        {
            self.since = self.since.max(oldest.until);
        }
        self.skipped.push_back(SkippedSpan { after, until });
    }

    /// Begins anew at a revision, of another era than before. What items were when they were removed stays
    /// known.
    pub fn restart(&mut self, revision: u64) {
        self.since = revision;
        self.skipped.clear();
        for removal in &mut self.removals {
            removal.revision = revision;
        }
    }
}
