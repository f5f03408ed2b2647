use std::sync::Arc;

use base::ClockTime;

use super::pending_set::PendingSet;
use super::{
    PlatformHead, PlatformHeadAnswer, RevisionAction, RevisionStamp, RevisionSync, SetSource,
};
use crate::{DeclarationMistake, HeadManifest, KeySet, KeyText};

impl RevisionSync {
    /// Handles the answer to `ReadHead`.
    pub fn on_head_answer(
        &mut self,
        now: ClockTime,
        call: u64,
        answer: &PlatformHeadAnswer,
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        if !self.watch.on_head_answer(call, answer.index, &mut actions) {
            return actions;
        }
        self.platform_seen_at = Some(now);
        if let Some(head) = &answer.head {
            self.handle_platform_head(now, head, &mut actions);
        }
        self.advance(now, actions)
    }

    /// Handles the answer to `ReadKeys`; `keys` leaves out those that do not exist.
    pub fn on_keys_answer(
        &mut self,
        now: ClockTime,
        call: u64,
        keys: &[KeyText],
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        if !self.watch.on_keys_answer(call, &mut actions) {
            return actions;
        }
        let Some(mut pending) = self.platform_set.take() else {
            return self.advance(now, actions);
        };
        keys.iter().for_each(|key| pending.add_text(key));
        self.finish_platform_set(now, pending, &mut actions);
        if self.platform_set.is_some() {
            // The platform answers but the newer set is incomplete, so the accepted revision is
            // still the newest valid one.
            self.confirmed_at = Some(now);
            self.watch.delay_key_read(now, &mut self.rng);
        }
        self.advance(now, actions)
    }

    /// Handles the failure of a platform call.
    pub fn on_platform_failure(&mut self, now: ClockTime, call: u64) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.watch
            .on_failure(now, call, &mut self.rng, &mut actions);
        self.advance(now, actions)
    }

    /// Compares the platform's head with the accepted revision and starts a pending set if it is
    /// newer.
    fn handle_platform_head(
        &mut self,
        now: ClockTime,
        head: &PlatformHead,
        actions: &mut Vec<RevisionAction>,
    ) {
        let manifest = match HeadManifest::parse(&head.text) {
            Ok(manifest) => manifest,
            Err(mistakes) => return self.reject_head(now, head, mistakes, actions),
        };
        let stamp = RevisionStamp::with_epoch(manifest.epoch, head.modify_index, &head.text);
        self.platform_stale = None;
        if Some(stamp) < self.stamp() {
            self.platform_stale = Some(stamp);
            self.report_ignored(stamp, SetSource::Platform, actions);
        } else if Some(stamp) == self.stamp() || self.rejected_stamps.contains(&stamp) {
            self.confirmed_at = Some(now);
        }
        if !self.is_wanted(stamp) {
            return;
        }
        // A watch that ended without a change must not reset the backoff of the key reads.
        if self
            .platform_set
            .as_ref()
            .is_some_and(|set| set.stamp == stamp)
        {
            return;
        }
        let previous = self.platform_set.take();
        let mut pending = PendingSet::new(stamp, SetSource::Platform);
        let known: Vec<_> = self.accepted.iter().map(|a| &*a.set).collect();
        if pending.add_head(Arc::clone(&head.text), &known).is_err() {
            return;
        }
        if let Some(previous) = previous {
            pending.add_texts_of(&previous);
        }
        self.watch.reset_key_reads(actions);
        self.finish_platform_set(now, pending, actions);
    }

    /// Rejects a head that can't be parsed. Its epoch is unknown; the accepted one is assumed.
    fn reject_head(
        &mut self,
        now: ClockTime,
        head: &PlatformHead,
        mistakes: Vec<schema::SettingError>,
        actions: &mut Vec<RevisionAction>,
    ) {
        let epoch = self.stamp().map_or(0, |stamp| stamp.revision.epoch);
        let stamp = RevisionStamp::with_epoch(epoch, head.modify_index, &head.text);
        if Some(stamp) > self.stamp() {
            self.confirmed_at = Some(now);
        }
        if !self.is_wanted(stamp) {
            return;
        }
        self.platform_set = None;
        let mistakes = mistakes.into_iter().map(DeclarationMistake::from);
        self.reject(stamp, SetSource::Platform, mistakes.collect(), actions);
    }

    /// Applies a set from the platform if it is complete; keeps it as pending otherwise.
    fn finish_platform_set(
        &mut self,
        now: ClockTime,
        pending: PendingSet,
        actions: &mut Vec<RevisionAction>,
    ) {
        match self.set_to_validate(&pending) {
            Some(set) => self.validate_and_apply(now, pending.stamp, pending.source, set, actions),
            None => self.platform_set = Some(pending),
        }
    }

    /// Returns the set to validate, if `pending` is ready for it.
    ///
    /// Without [`MechanismSwitches::atomic`](super::MechanismSwitches::atomic), an incomplete set
    /// is ready once a revision has been accepted.
    pub(super) fn set_to_validate(&self, pending: &PendingSet) -> Option<KeySet> {
        match self.settings.switches.atomic || self.accepted.is_none() {
            true => pending.complete_set(),
            false => pending.partial_set(),
        }
    }

    /// Starts the platform calls that are due, and drops a pending set that is no longer wanted.
    pub(super) fn advance_platform(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        // Only readers and nodes that are not ready continue to read missing keys.
        let may_read = self.watch.is_reader() || !self.is_ready();
        let pending = self.platform_set.take();
        self.platform_set = pending.filter(|set| may_read && self.is_wanted(set.stamp));
        self.watch.start_head_read(now, actions);
        if let Some(pending) = &self.platform_set {
            let missing = pending.missing().cloned().collect();
            self.watch.start_key_read(now, missing, actions);
        }
    }
}
