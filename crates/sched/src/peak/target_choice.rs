use rand::Rng;
use rand_pcg::Pcg64;

use super::{CoordinationMode, PolicySettings, TargetRating};
use crate::{PrefixTable, TargetPool, TargetTable};

/// Pairs of random targets that are tried before all are looked at.
const PAIR_TRIES: usize = 3;

/// Targets looked at for one request as long as one of them has room; bounds the time of a decision
/// in large fleets and keeps nodes with the same late reports from all choosing the same target.
const SCAN_LIMIT: usize = 128;

/// Picks the target of one request.
pub struct TargetChoice<'a> {
    /// Candidates of the request.
    pub pool: &'a TargetPool,
    /// What is known of the targets.
    pub targets: &'a TargetTable,
    /// Which targets probably hold the prompt's prefix.
    pub prefixes: &'a PrefixTable,
    /// How targets are rated.
    pub rating: TargetRating<'a>,
}

impl TargetChoice<'_> {
    /// Returns the slot of a target with room, the own failure domain first.
    pub fn choose(&self, random: &mut Pcg64) -> Option<usize> {
        let local = &self.pool.local;
        let allowed = |slot: &usize| self.rating.is_allowed(self.targets.state(*slot));
        let serves = local.iter().any(allowed);
        let found = match self.settings().mode {
            _ if !serves => None,
            CoordinationMode::TwoChoices => self.better_of_two(random),
            CoordinationMode::Probes => self
                .best_probed(random)
                .or_else(|| self.better_of_two(random)),
            _ => self.best(local, random, |slot| self.rate(slot)),
        };
        let waited = self.rating.now.since(self.rating.queued.item.arrival);
        if found.is_some() || (serves && waited < self.settings().spill_after) {
            return found;
        }
        self.best(&self.pool.remote, random, |slot| self.rate_remote(slot))
    }

    fn settings(&self) -> &PolicySettings {
        self.rating.settings
    }

    fn rate(&self, slot: usize) -> Option<u64> {
        let state = self.targets.state(slot);
        if !self.rating.is_allowed(state) {
            return None;
        }
        let holders = self.prefixes.holders(self.rating.queued.item.prefix);
        self.rating.rate(state, holders.contains(&slot))
    }

    fn rate_remote(&self, slot: usize) -> Option<u64> {
        let state = self.targets.state(slot);
        if !self.rating.is_allowed(state) {
            return None;
        }
        self.rating.rate_remote(state)
    }

    /// Returns the best of the first targets that have room, from a random start.
    fn best(
        &self,
        slots: &[usize],
        random: &mut Pcg64,
        rate: impl Fn(usize) -> Option<u64>,
    ) -> Option<usize> {
        if slots.is_empty() {
            return None;
        }
        let (tail, head) = slots.split_at(random.random_range(0..slots.len()));
        let mut best = None;
        for (step, slot) in head.iter().chain(tail).enumerate() {
            if step >= SCAN_LIMIT && best.is_some() {
                break;
            }
            let Some(points) = rate(*slot) else {
                continue;
            };
            if best.is_none_or(|(least, _)| points < least) {
                best = Some((points, *slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn better_of_two(&self, random: &mut Pcg64) -> Option<usize> {
        let local = &self.pool.local;
        for _ in 0..PAIR_TRIES {
            let pair = [(); 2].map(|_| local[random.random_range(0..local.len())]);
            let rated = pair
                .into_iter()
                .filter_map(|slot| Some((self.rate(slot)?, slot)));
            if let Some((_, slot)) = rated.min_by_key(|(points, _)| *points) {
                return Some(slot);
            }
        }
        self.best(local, random, |slot| self.rate(slot))
    }

    fn best_probed(&self, random: &mut Pcg64) -> Option<usize> {
        let settings = self.settings();
        self.best(&self.pool.local, random, |slot| {
            let state = self.targets.state(slot);
            let age = state.reported_at.map(|at| self.rating.now.since(at));
            let fresh = age.is_some_and(|age| age <= settings.probe_age);
            let unused = state.report_uses < settings.probe_uses;
            if fresh && unused {
                self.rate(slot)
            } else {
                None
            }
        })
    }
}
