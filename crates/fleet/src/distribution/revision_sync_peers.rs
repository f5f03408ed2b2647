use base::{ClockTime, NodeName, TimeSpan};
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};

use super::pending_set::PendingSet;
use super::{RevisionAction, RevisionStamp, RevisionSync, SetSource};

impl RevisionSync {
    /// Handles the digest of a peer, sent by itself or within a membership message.
    pub fn on_digest(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        digest: &RevisionDigest,
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.record_digest(now, from, digest, &mut actions);
        self.advance(now, actions)
    }

    /// Handles the answer to a pull; `None` if the peer could not be reached.
    pub fn on_pull_answer(
        &mut self,
        now: ClockTime,
        pull: u64,
        answer: Option<&PullAnswer>,
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        let Some(open) = self.pulls.close(pull) else {
            return actions;
        };
        let Some(answer) = answer else {
            self.record_pull_failure(now, &open.to, open.for_set);
            return self.advance(now, actions);
        };
        self.record_digest(now, &open.to, &answer.digest, &mut actions);
        if open.for_set {
            self.add_parts(now, &open.to, answer, &mut actions);
        }
        self.advance(now, actions)
    }

    /// Records a digest, and sends a reminder to the peer if it is behind.
    fn record_digest(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        digest: &RevisionDigest,
        actions: &mut Vec<RevisionAction>,
    ) {
        self.peers.record_digest(now, from, digest);
        let theirs = digest.accepted.as_ref().map(RevisionStamp::from);
        let ours = self.stamp();
        if theirs <= ours {
            self.adopt_confirmation(now, theirs, digest.confirmed_age_ms);
        }
        if theirs < ours
            && self
                .peers
                .start_reminder(now, from, self.settings.reminder_interval)
        {
            let (to, digest) = (from.clone(), self.digest(now));
            actions.push(RevisionAction::SendDigest { to, digest });
        }
    }

    /// Adopts a peer's platform confirmation of age `age` if it is for the revision accepted here.
    fn adopt_confirmation(
        &mut self,
        now: ClockTime,
        theirs: Option<RevisionStamp>,
        age: Option<u64>,
    ) {
        let Some(age) = age else {
            return;
        };
        if theirs.is_none() || theirs != self.stamp() {
            return;
        }
        let at = ClockTime::new(now.as_millis().saturating_sub(age));
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Avoids the peer for a while and drops the set that was being pulled from it.
    pub(super) fn record_pull_failure(&mut self, now: ClockTime, peer: &NodeName, for_set: bool) {
        self.peers
            .avoid_until(peer, now + self.settings.peer_cooldown);
        if for_set {
            self.peer_set = None;
        }
    }

    /// Adds the parts of an answer to the pending set, and applies the set if it is complete.
    fn add_parts(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        answer: &PullAnswer,
        actions: &mut Vec<RevisionAction>,
    ) {
        let Some(mut pending) = self.peer_set.take() else {
            return;
        };
        if answer.parts.is_empty() {
            let theirs = answer.digest.accepted.as_ref().map(RevisionStamp::from);
            // An empty answer is a failure only if the digest still names the requested revision;
            // otherwise the peer has moved on to another one.
            if theirs == Some(pending.stamp) {
                self.record_pull_failure(now, from, true);
            }
            return;
        }
        let known: Vec<_> = self.accepted.iter().map(|a| &*a.set).collect();
        for part in &answer.parts {
            if pending.add_part(part, &known).is_err() {
                return self.record_pull_failure(now, from, true);
            }
        }
        let Some(set) = self.set_to_validate(&pending) else {
            self.peer_set = Some(pending);
            return;
        };
        self.validate_and_apply(now, pending.stamp, pending.source, set, actions);
        let theirs = answer.digest.accepted.as_ref().map(RevisionStamp::from);
        self.adopt_confirmation(now, theirs, answer.digest.confirmed_age_ms);
    }

    /// Sends the next pull for the pending set, or starts a new set if a peer is ahead.
    pub(super) fn advance_pull(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        if self.pulls.has_set_pull() || !self.may_pull() {
            return;
        }
        if self.peer_set.is_none() {
            self.choose_pull(now);
        }
        let Some(pending) = &self.peer_set else {
            return;
        };
        let SetSource::Peer(to) = &pending.source else {
            return;
        };
        let request = PullRequest {
            stamp: Some(pending.stamp.into()),
            parts: pending.wanted_parts(self.settings.pull_key_limit),
        };
        let Some(pull) = self.pulls.open(now, to, true) else {
            return;
        };
        let to = to.clone();
        actions.push(RevisionAction::Pull { to, pull, request });
    }

    fn may_pull(&self) -> bool {
        self.settings.switches.peer_bootstrap || self.is_ready()
    }

    /// Starts a pending set for the newest revision that a peer has, if that is wanted.
    fn choose_pull(&mut self, now: ClockTime) {
        let floor = match self.settings.switches.monotonic {
            true => self.stamp(),
            false => None,
        };
        let newest = self
            .peers
            .choose_newest(now, floor, &self.rejected_stamps, &mut self.rng);
        let Some((peer, stamp)) = newest.filter(|(_, stamp)| self.is_wanted(*stamp)) else {
            return;
        };
        self.peer_set = Some(PendingSet::new(stamp, SetSource::Peer(peer)));
    }

    /// Sends the digest of a new revision to a few peers in each push round; the other peers learn
    /// of it from membership messages and pull it.
    pub(super) fn advance_push(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        let Some(stamp) = self.stamp() else {
            return;
        };
        if self.push_rounds_left == 0 || now < self.next_push_at {
            return;
        }
        self.push_rounds_left -= 1;
        self.next_push_at = now + self.settings.push_interval;
        let (local, remote) = (self.settings.local_fan_out, self.settings.remote_fan_out);
        for to in self
            .peers
            .choose_behind(stamp, local, remote, &mut self.rng)
        {
            let digest = self.digest(now);
            actions.push(RevisionAction::SendDigest { to, digest });
        }
    }

    /// Requests the digest of peers that have sent none since `since`, by pulls without parts.
    pub(super) fn request_digests(
        &mut self,
        now: ClockTime,
        since: ClockTime,
        actions: &mut Vec<RevisionAction>,
    ) {
        let count = self.settings.local_fan_out;
        for to in self.peers.choose_silent(now, since, count, &mut self.rng) {
            if self.pulls.has_pull_to(&to) {
                continue;
            }
            let Some(pull) = self.pulls.open(now, &to, false) else {
                return;
            };
            let request = PullRequest {
                stamp: None,
                parts: Vec::new(),
            };
            actions.push(RevisionAction::Pull { to, pull, request });
        }
    }

    /// Returns whether no peer that may be asked has a revision that is newer and not rejected
    /// here.
    pub(super) fn has_caught_up_with_peers(&self, now: ClockTime) -> bool {
        !self
            .peers
            .has_pull_candidate(now, self.stamp(), &self.rejected_stamps)
    }

    /// Returns whether a peer sent a digest within the last `span`.
    pub(super) fn has_recent_digest(&self, now: ClockTime, span: TimeSpan) -> bool {
        self.peers.has_digest_within(now, span)
    }
}
