use rand::Rng;
use rand_pcg::Pcg64;

use super::{CoordinationMode, PolicySettings, TargetScorer};
use crate::{CandidatePool, PrefixTable, TargetTable};

/// Number of random pairs that are tried before the list is scanned.
const PAIR_ATTEMPTS: usize = 3;

/// Number of targets after which a scan stops if it has found one with room.
///
/// This bounds the time of a decision in large fleets and keeps nodes with the same late reports
/// from all selecting the same target.
const SCAN_LIMIT: usize = 128;

/// Selects the target of one request.
pub struct TargetSelector<'a> {
    /// Candidates of the request.
    pub pool: &'a CandidatePool,
    /// The known targets.
    pub targets: &'a TargetTable,
    /// Which targets probably hold the prompt's prefix.
    pub prefixes: &'a PrefixTable,
    /// Scores targets for the request.
    pub scorer: TargetScorer<'a>,
}

impl TargetSelector<'_> {
    /// Returns the slot of a target with room; prefers the failure domain of this node.
    pub fn select(&self, random: &mut Pcg64) -> Option<usize> {
        let local = &self.pool.local;
        let allowed = |slot: &usize| self.scorer.is_allowed(self.targets.state(*slot));
        let has_local = local.iter().any(allowed);
        let found = match self.settings().mode {
            _ if !has_local => None,
            CoordinationMode::TwoChoices => self.better_of_two(random),
            CoordinationMode::Probes => self
                .best_probed(random)
                .or_else(|| self.better_of_two(random)),
            _ => self.best(local, random, |slot| self.score(slot)),
        };
        let waited = self.scorer.now.since(self.scorer.queued.item.arrival);
        if found.is_some() || (has_local && waited < self.settings().spill_after) {
            return found;
        }
        self.best(&self.pool.remote, random, |slot| self.score_remote(slot))
    }

    fn settings(&self) -> &PolicySettings {
        self.scorer.settings
    }

    fn score(&self, slot: usize) -> Option<u64> {
        let state = self.targets.state(slot);
        if !self.scorer.is_allowed(state) {
            return None;
        }
        let holders = self.prefixes.holders(self.scorer.queued.item.prefix);
        self.scorer.score(state, holders.contains(&slot))
    }

    fn score_remote(&self, slot: usize) -> Option<u64> {
        let state = self.targets.state(slot);
        if !self.scorer.is_allowed(state) {
            return None;
        }
        self.scorer.score_remote(state)
    }

    /// Returns the target with the lowest score in a scan from a random start.
    fn best(
        &self,
        slots: &[usize],
        random: &mut Pcg64,
        score: impl Fn(usize) -> Option<u64>,
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
            let Some(score) = score(*slot) else {
                continue;
            };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, *slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Returns the better of two random targets; scans all if no pair has room.
    fn better_of_two(&self, random: &mut Pcg64) -> Option<usize> {
        let local = &self.pool.local;
        for _ in 0..PAIR_ATTEMPTS {
            let pair = [(); 2].map(|_| local[random.random_range(0..local.len())]);
            let scored = pair
                .into_iter()
                .filter_map(|slot| Some((self.score(slot)?, slot)));
            if let Some((_, slot)) = scored.min_by_key(|(score, _)| *score) {
                return Some(slot);
            }
        }
        self.best(local, random, |slot| self.score(slot))
    }

    /// Returns the best target with a recent probe answer that has uses left.
    fn best_probed(&self, random: &mut Pcg64) -> Option<usize> {
        let settings = self.settings();
        self.best(&self.pool.local, random, |slot| {
            let state = self.targets.state(slot);
            let age = state.reported_at.map(|at| self.scorer.now.since(at));
            let fresh = age.is_some_and(|age| age <= settings.probe_max_age);
            let unused = state.report_uses < settings.probe_use_limit;
            if fresh && unused {
                self.score(slot)
            } else {
                None
            }
        })
    }
}
