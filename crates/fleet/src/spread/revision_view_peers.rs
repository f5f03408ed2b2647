use base::{ClockTime, NodeName, TimeSpan};
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};

use super::pending_set::PendingSet;
use super::{RevisionAction, RevisionStamp, RevisionView, SetSource};

impl RevisionView {
    /// Takes the digest of a peer, pushed or carried by a membership message.
    pub fn on_digest(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        digest: &RevisionDigest,
    ) -> Vec<RevisionAction> {
        let mut actions = Vec::new();
        self.note_digest(now, from, digest, &mut actions);
        self.proceed(now, actions)
    }

    /// Takes the answer to a pull; `None` if the peer could not be reached.
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
            self.pull_failed(now, &open.to, open.for_set);
            return self.proceed(now, actions);
        };
        self.note_digest(now, &open.to, &answer.digest, &mut actions);
        if open.for_set {
            self.take_parts(now, &open.to, answer, &mut actions);
        }
        self.proceed(now, actions)
    }

    fn note_digest(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        digest: &RevisionDigest,
        actions: &mut Vec<RevisionAction>,
    ) {
        self.peers.note_digest(now, from, digest);
        let theirs = digest.accepted.as_ref().map(RevisionStamp::from);
        let ours = self.stamp();
        if theirs <= ours {
            self.adopt_confirmation(now, theirs, digest.confirmed_age_ms);
        }
        if theirs < ours && self.peers.remind(now, from, self.settings.remind_interval) {
            let (to, digest) = (from.clone(), self.digest(now));
            actions.push(RevisionAction::Announce { to, digest });
        }
    }

    /// A platform answer that vouches for the same revision at a peer vouches for it here.
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

    pub(super) fn pull_failed(&mut self, now: ClockTime, peer: &NodeName, for_set: bool) {
        self.peers.avoid(peer, now + self.settings.peer_cooldown);
        if for_set {
            self.from_peer = None;
        }
    }

    fn take_parts(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        answer: &PullAnswer,
        actions: &mut Vec<RevisionAction>,
    ) {
        let Some(mut pending) = self.from_peer.take() else {
            return;
        };
        if answer.parts.is_empty() {
            let theirs = answer.digest.accepted.as_ref().map(RevisionStamp::from);
            // Unless the peer moved on, its digest names a set that it does not have.
            if theirs == Some(pending.stamp) {
                self.pull_failed(now, from, true);
            }
            return;
        }
        let known: Vec<_> = self.accepted.iter().map(|a| &*a.set).collect();
        for part in &answer.parts {
            if pending.take_part(part, &known).is_err() {
                return self.pull_failed(now, from, true);
            }
        }
        let Some(set) = self.judged_set(&pending) else {
            self.from_peer = Some(pending);
            return;
        };
        self.conclude(now, pending.stamp, pending.source, set, actions);
        let theirs = answer.digest.accepted.as_ref().map(RevisionStamp::from);
        self.adopt_confirmation(now, theirs, answer.digest.confirmed_age_ms);
    }

    pub(super) fn proceed_pull(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        if self.pulls.has_set_pull() || !self.pulls_are_on() {
            return;
        }
        if self.from_peer.is_none() {
            self.choose_pull(now);
        }
        let Some(pending) = &self.from_peer else {
            return;
        };
        let SetSource::Peer(to) = &pending.source else {
            return;
        };
        let request = PullRequest {
            stamp: Some(pending.stamp.into()),
            parts: pending.wanted_parts(self.settings.pull_keys),
        };
        let Some(pull) = self.pulls.open(now, to, true) else {
            return;
        };
        let to = to.clone();
        actions.push(RevisionAction::Pull { to, pull, request });
    }

    fn pulls_are_on(&self) -> bool {
        self.settings.switches.peer_bootstrap || self.is_ready()
    }

    fn choose_pull(&mut self, now: ClockTime) {
        let floor = match self.settings.switches.monotonic {
            true => self.stamp(),
            false => None,
        };
        let newest = self
            .peers
            .newest_after(now, floor, &self.refused, &mut self.rng);
        let Some((peer, stamp)) = newest.filter(|(_, stamp)| self.is_wanted(*stamp)) else {
            return;
        };
        self.from_peer = Some(PendingSet::new(stamp, SetSource::Peer(peer)));
    }

    /// Pushes the new revision to a few peers in each of a few rounds; pulls reach the rest.
    pub(super) fn proceed_push(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        let Some(stamp) = self.stamp() else {
            return;
        };
        if self.pushes_left == 0 || now < self.push_at {
            return;
        }
        self.pushes_left -= 1;
        self.push_at = now + self.settings.push_interval;
        let (near, far) = (self.settings.fan_out, self.settings.far_fan_out);
        for to in self.peers.behind(stamp, near, far, &mut self.rng) {
            let digest = self.digest(now);
            actions.push(RevisionAction::Announce { to, digest });
        }
    }

    /// Asks peers for their digest alone.
    pub(super) fn greet_peers(
        &mut self,
        now: ClockTime,
        since: ClockTime,
        actions: &mut Vec<RevisionAction>,
    ) {
        let count = self.settings.fan_out;
        for to in self.peers.unheard(now, since, count, &mut self.rng) {
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

    /// Whether every revision that reachable peers have is accepted or refused here.
    pub(super) fn is_level_with_peers(&self, now: ClockTime) -> bool {
        !self.peers.has_newer(now, self.stamp(), &self.refused)
    }

    pub(super) fn peers_heard(&self, now: ClockTime, span: TimeSpan) -> bool {
        self.peers.heard_within(now, span)
    }
}
