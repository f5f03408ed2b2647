use std::sync::Arc;

use base::ClockTime;

use super::pending_set::PendingSet;
use super::{
    PlatformHead, PlatformHeadAnswer, RevisionAction, RevisionStamp, RevisionView, SetSource,
};
use crate::{DeclarationMistake, HeadFile, KeySet, KeyText};

impl RevisionView {
    /// Takes the answer to `ReadHead`.
    pub fn on_head(
        &mut self,
        now: ClockTime,
        call: u64,
        answer: &PlatformHeadAnswer,
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        if !self.watch.take_head(call, answer.index, &mut actions) {
            return actions;
        }
        self.platform_seen_at = Some(now);
        if let Some(head) = &answer.head {
            self.take_platform_head(now, head, &mut actions);
        }
        self.proceed(now, actions)
    }

    /// Takes the answer to `ReadKeys`; keys that do not exist are left out.
    pub fn on_keys(&mut self, now: ClockTime, call: u64, keys: &[KeyText]) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        if !self.watch.take_keys(call, &mut actions) {
            return actions;
        }
        let Some(mut pending) = self.from_platform.take() else {
            return self.proceed(now, actions);
        };
        keys.iter().for_each(|key| pending.take_text(key));
        self.settle_platform(now, pending, &mut actions);
        if self.from_platform.is_some() {
            // The platform is there, and the newer set is not whole: the accepted one stands.
            self.confirmed_at = Some(now);
            self.watch.delay_keys(now, &mut self.rng);
        }
        self.proceed(now, actions)
    }

    /// Takes the failure of a platform call.
    pub fn on_platform_failed(&mut self, now: ClockTime, call: u64) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.watch
            .take_failure(now, call, &mut self.rng, &mut actions);
        self.proceed(now, actions)
    }

    fn take_platform_head(
        &mut self,
        now: ClockTime,
        head: &PlatformHead,
        actions: &mut Vec<RevisionAction>,
    ) {
        let file = match HeadFile::parse(&head.text) {
            Ok(file) => file,
            Err(mistakes) => return self.refuse_head(now, head, mistakes, actions),
        };
        let stamp = RevisionStamp::with_epoch(file.epoch, head.modify_index, &head.text);
        self.platform_stale = None;
        if Some(stamp) < self.stamp() {
            self.platform_stale = Some(stamp);
            self.ignore(stamp, SetSource::Platform, actions);
        } else if Some(stamp) == self.stamp() || self.refused.contains(&stamp) {
            self.confirmed_at = Some(now);
        }
        if !self.is_wanted(stamp) {
            return;
        }
        // A watch that ended without a change must not restart the delays of the reads.
        if self
            .from_platform
            .as_ref()
            .is_some_and(|set| set.stamp == stamp)
        {
            return;
        }
        let spare = self.from_platform.take();
        let mut pending = PendingSet::new(stamp, SetSource::Platform);
        let known: Vec<_> = self.accepted.iter().map(|a| &*a.set).collect();
        if pending.take_head(Arc::clone(&head.text), &known).is_err() {
            return;
        }
        if let Some(spare) = spare {
            pending.take_texts_of(&spare);
        }
        self.watch.reset_keys(actions);
        self.settle_platform(now, pending, actions);
    }

    /// The epoch of a head that can't be parsed is unknown; the current one is assumed.
    fn refuse_head(
        &mut self,
        now: ClockTime,
        head: &PlatformHead,
        mistakes: Vec<schema::SettingMistake>,
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
        self.from_platform = None;
        let mistakes = mistakes.into_iter().map(DeclarationMistake::from);
        self.refuse(stamp, SetSource::Platform, mistakes.collect(), actions);
    }

    fn settle_platform(
        &mut self,
        now: ClockTime,
        pending: PendingSet,
        actions: &mut Vec<RevisionAction>,
    ) {
        match self.judged_set(&pending) {
            Some(set) => self.conclude(now, pending.stamp, pending.source, set, actions),
            None => self.from_platform = Some(pending),
        }
    }

    /// The set to judge, if it is time to.
    pub(super) fn judged_set(&self, pending: &PendingSet) -> Option<KeySet> {
        match self.settings.switches.atomic || self.accepted.is_none() {
            true => pending.complete_set(),
            false => pending.partial_set(),
        }
    }

    pub(super) fn proceed_platform(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        // Only readers go on with a set whose keys the platform does not have.
        let may_read = self.watch.is_reader() || !self.is_ready();
        let pending = self.from_platform.take();
        self.from_platform = pending.filter(|set| may_read && self.is_wanted(set.stamp));
        self.watch.start_head(now, actions);
        if let Some(pending) = &self.from_platform {
            let missing = pending.missing().cloned().collect();
            self.watch.start_keys(now, missing, actions);
        }
    }
}
