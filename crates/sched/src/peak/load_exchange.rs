use base::{ClockTime, TimeSpan};
use rand::Rng;

use super::{CoordinationMode, PeakPolicy};
use crate::{PeerDigest, SchedAction, TargetDigest};

/// Size on the wire of a digest without its entries, with HTTP framing and authentication.
const DIGEST_BYTES: u64 = 64;
/// Size on the wire of one target in a digest.
const DIGEST_ENTRY_BYTES: u64 = 20;
/// Largest time for which unused probes accumulate and may be sent in a burst.
const PROBE_BURST: TimeSpan = TimeSpan::new(500);

impl PeakPolicy {
    /// Time until the next digest, such that sending a digest with `targets` entries to all peers
    /// stays within the budget.
    pub(super) fn digest_interval(&self, targets: usize) -> TimeSpan {
        let bytes = DIGEST_BYTES + DIGEST_ENTRY_BYTES * targets as u64;
        let millis = bytes * self.peers.len() as u64 * 1_000 / self.settings.digest_budget.max(1);
        self.settings.digest_interval.max(TimeSpan::new(millis))
    }

    /// Publishes a digest of the own streams when one is due.
    pub(super) fn publish(&mut self, now: ClockTime) {
        if self.settings.mode != CoordinationMode::Digests || now < self.next_digest_at {
            return;
        }
        self.digest_sequence += 1;
        let slots = (0..self.targets.len()).map(|slot| self.targets.state(slot));
        let busy = slots.filter(|state| state.view.own_count() > 0);
        let entries = busy.map(|state| TargetDigest {
            target: state.target.clone(),
            in_flight: state.view.own_count(),
            held_tokens: state.view.own().held() as u32,
            peak_tokens: state.view.own().peak() as u32,
        });
        let mut targets: Vec<_> = entries.collect();
        targets.sort_unstable_by(|left, right| left.target.cmp(&right.target));
        self.next_digest_at = now + self.digest_interval(targets.len());
        self.actions.push(SchedAction::Publish(PeerDigest {
            node: self.node.clone(),
            sequence: self.digest_sequence,
            targets,
        }));
    }

    /// Probes random targets of the pool for their load, as far as `probe_interval` allows.
    pub(super) fn probe(&mut self, now: ClockTime, pool: usize) {
        let local = &self.pools.pool(pool).local;
        if local.is_empty() || self.settings.mode != CoordinationMode::Probes {
            return;
        }
        for _ in 0..self.settings.probe_count {
            if self.next_probe_at > now {
                return;
            }
            let earliest = ClockTime::ZERO + now.since(ClockTime::ZERO + PROBE_BURST);
            self.next_probe_at = self.next_probe_at.max(earliest) + self.settings.probe_interval;
            let slot = local[self.random.random_range(0..local.len())];
            let target = self.targets.state(slot).target.clone();
            self.actions.push(SchedAction::Probe(target));
        }
    }
}
