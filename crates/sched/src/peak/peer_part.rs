use base::{ClockTime, TimeSpan};
use rand::Rng;

use super::{CoordinationMode, PeakPolicy};
use crate::{PeerDigest, SchedAction, TargetDigest};

/// Bytes of a digest on the wire without its entries, with HTTP framing and authentication.
const DIGEST_BYTES: u64 = 64;
/// Bytes of one target in a digest on the wire.
const DIGEST_ENTRY_BYTES: u64 = 20;
/// Time for which unused probes are saved up.
const PROBE_BURST: TimeSpan = TimeSpan::new(500);

impl PeakPolicy {
    /// Time until the next digest, so that sending one of this size to all peers keeps the budget.
    pub(super) fn digest_interval(&self, targets: usize) -> TimeSpan {
        let bytes = DIGEST_BYTES + DIGEST_ENTRY_BYTES * targets as u64;
        let millis = bytes * self.peers.len() as u64 * 1_000 / self.settings.digest_budget.max(1);
        self.settings.digest_interval.max(TimeSpan::new(millis))
    }

    pub(super) fn publish(&mut self, now: ClockTime) {
        if self.settings.mode != CoordinationMode::Digests || now < self.digest_at {
            return;
        }
        self.sequence += 1;
        let slots = (0..self.targets.len()).map(|slot| self.targets.state(slot));
        let busy = slots.filter(|state| state.view.own_count() > 0);
        let digest = busy.map(|state| TargetDigest {
            target: state.target.clone(),
            in_flight: state.view.own_count(),
            held_tokens: state.view.own().held() as u32,
            peak_tokens: state.view.own().peak() as u32,
        });
        let mut targets: Vec<_> = digest.collect();
        targets.sort_unstable_by(|left, right| left.target.cmp(&right.target));
        self.digest_at = now + self.digest_interval(targets.len());
        self.actions.push(SchedAction::Publish(PeerDigest {
            node: self.node.clone(),
            sequence: self.sequence,
            targets,
        }));
    }

    /// Asks random targets for their load, as often as the budget for probes allows.
    pub(super) fn probe(&mut self, now: ClockTime, pool: usize) {
        let local = &self.pools.pool(pool).local;
        if local.is_empty() || self.settings.mode != CoordinationMode::Probes {
            return;
        }
        for _ in 0..self.settings.probe_count {
            if self.probe_at > now {
                return;
            }
            let earliest = ClockTime::ZERO + now.since(ClockTime::ZERO + PROBE_BURST);
            self.probe_at = self.probe_at.max(earliest) + self.settings.probe_interval;
            let slot = local[self.random.random_range(0..local.len())];
            let target = self.targets.state(slot).target.clone();
            self.actions.push(SchedAction::Probe(target));
        }
    }
}
