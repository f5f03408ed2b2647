use std::collections::VecDeque;
use std::sync::Arc;

use super::RevisionStamp;
use crate::KeySet;

/// Accepted sets kept, to answer pulls that started before the newest set; sets share their texts.
const SETS_KEPT: usize = 4;

/// The latest accepted sets, most recently accepted last.
#[derive(Clone, Debug, Default)]
pub struct SetHistory {
    sets: VecDeque<(RevisionStamp, Arc<KeySet>)>,
}

impl SetHistory {
    /// Adds a set and drops the earliest one if there are too many.
    pub fn push(&mut self, stamp: RevisionStamp, set: Arc<KeySet>) {
        if self.sets.len() == SETS_KEPT {
            self.sets.pop_front();
        }
        self.sets.push_back((stamp, set));
    }

    /// Returns the set of the revision `stamp` if it is still kept.
    pub fn get(&self, stamp: RevisionStamp) -> Option<&Arc<KeySet>> {
        let found = self.sets.iter().rev().find(|(known, _)| *known == stamp);
        found.map(|(_, set)| set)
    }
}
