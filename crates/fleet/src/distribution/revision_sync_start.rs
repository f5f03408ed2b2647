use base::{ClockTime, TimeSpan};
use rand::Rng;

use super::start_check::StartCheck;
use super::{RevisionAction, RevisionBasis, RevisionSync};

impl RevisionSync {
    /// Returns which sources confirm the accepted revision at `now`.
    pub(super) fn basis(&self, now: ClockTime) -> RevisionBasis {
        if !self.is_ready() {
            return RevisionBasis::Checking;
        }
        let peers = self.has_recent_digest(now, self.settings.peer_timeout);
        let limit = self.settings.confirmation_lifetime();
        let platform = self.confirmed_at.is_some_and(|at| now - at <= limit);
        match (peers, platform) {
            (true, true) => RevisionBasis::Confirmed,
            (true, false) => RevisionBasis::PeersAlone,
            (false, true) => RevisionBasis::PlatformAlone,
            (false, false) => RevisionBasis::Isolated,
        }
    }

    /// Advances the start check, which compares the revision with peers and platform before the
    /// node serves.
    pub(super) fn advance_start_check(
        &mut self,
        now: ClockTime,
        actions: &mut Vec<RevisionAction>,
    ) {
        if self.start_check == StartCheck::Idle {
            self.start_check = StartCheck::Running(now);
            let jitter = self
                .rng
                .random_range(0..=self.settings.check_delay.as_millis());
            self.platform_check_at = now + self.settings.check_delay + TimeSpan::new(jitter);
            self.platform_check_backoff.reset();
            self.digest_request_at = now;
        }
        let Some(since) = self.start_check.running_since() else {
            return;
        };
        if now >= self.digest_request_at && self.settings.switches.peer_bootstrap {
            self.request_digests(now, since, actions);
            self.digest_request_at = now + self.settings.check_delay;
        }
        if now >= self.platform_check_at && !self.is_platform_confirmed(now) {
            // Readers read `head` in any case. The delay limits the reads of the other nodes.
            self.watch.request_head_read();
            self.platform_check_at = now + self.platform_check_backoff.next_delay(&mut self.rng);
        }
        if self.may_serve(now, since) {
            self.start_check = StartCheck::Done;
            let basis = self.basis(now);
            actions.push(RevisionAction::Ready { basis });
        }
    }

    /// Returns whether a platform confirmation of the accepted revision is still recent enough.
    fn is_platform_confirmed(&self, now: ClockTime) -> bool {
        let limit = self.settings.confirmation_lifetime();
        self.confirmed_at.is_some_and(|at| now - at <= limit)
    }

    /// Returns whether the start check, running since `since`, allows the node to serve.
    fn may_serve(&self, now: ClockTime, since: ClockTime) -> bool {
        if self.accepted.is_none() {
            return false;
        }
        if !self.settings.switches.peer_bootstrap {
            return self.platform_seen_at.is_some();
        }
        let has_caught_up = self.has_caught_up_with_peers(now);
        if self.peers.has_digest_since(since) && self.is_platform_confirmed(now) && has_caught_up {
            return true;
        }
        // Peers, platform or both are unreachable; the status shows it as the basis.
        now - since >= self.settings.start_wait && has_caught_up
    }
}
