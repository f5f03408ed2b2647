use base::{ClockTime, TimeSpan};
use rand::Rng;

use super::start_check::StartCheck;
use super::{RevisionAction, RevisionBasis, RevisionView};

impl RevisionView {
    /// What the accepted revision rests on at `now`.
    pub(super) fn basis(&self, now: ClockTime) -> RevisionBasis {
        if !self.is_ready() {
            return RevisionBasis::Checking;
        }
        let peers = self.peers_heard(now, self.settings.peer_silence);
        let limit = self.settings.confirm_limit();
        let platform = self.confirmed_at.is_some_and(|at| now - at <= limit);
        match (peers, platform) {
            (true, true) => RevisionBasis::Confirmed,
            (true, false) => RevisionBasis::PeersAlone,
            (false, true) => RevisionBasis::PlatformAlone,
            (false, false) => RevisionBasis::Isolated,
        }
    }

    /// Compares the revision with peers and platform before the node serves.
    pub(super) fn proceed_start(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        if self.start == StartCheck::Idle {
            self.start = StartCheck::Running(now);
            let jitter = self
                .rng
                .random_range(0..=self.settings.check_delay.as_millis());
            self.check_at = now + self.settings.check_delay + TimeSpan::new(jitter);
            self.check_backoff.reset();
            self.greet_at = now;
        }
        let Some(since) = self.start.running_since() else {
            return;
        };
        if now >= self.greet_at && self.settings.switches.peer_bootstrap {
            self.greet_peers(now, since, actions);
            self.greet_at = now + self.settings.check_delay;
        }
        if now >= self.check_at && !self.is_vouched(now) {
            // Readers read the head anyway; the delay bounds the reads of the others.
            self.watch.want_check();
            self.check_at = now + self.check_backoff.next_delay(&mut self.rng);
        }
        if self.may_serve(now, since) {
            self.start = StartCheck::Done;
            let basis = self.basis(now);
            actions.push(RevisionAction::Ready { basis });
        }
    }

    fn is_vouched(&self, now: ClockTime) -> bool {
        let limit = self.settings.confirm_limit();
        self.confirmed_at.is_some_and(|at| now - at <= limit)
    }

    fn may_serve(&self, now: ClockTime, since: ClockTime) -> bool {
        if self.accepted.is_none() {
            return false;
        }
        if !self.settings.switches.peer_bootstrap {
            return self.platform_seen_at.is_some();
        }
        let is_level = self.is_level_with_peers(now);
        if self.peers.heard_since(since) && self.is_vouched(now) && is_level {
            return true;
        }
        // One side or both are out of reach; the basis in the status says so.
        now - since >= self.settings.start_wait && is_level
    }
}
