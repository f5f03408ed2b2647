use std::net::SocketAddr;

use base::{ClockTime, TimeSpan};
use entry::{DeathEvidence, FeatureId, OpenAttempt, TargetFact};
use facts::FactDigest;

use super::GatewayState;
use crate::peer::PushScope;

/// What features of calls are blamed for, told to the peers at once, and which node grants the trials
/// of suspected prompt parts.
impl GatewayState {
    /// Records that the target of a call died. Signs of calls that had answered for a while tell little
    /// and reach the peers when they compare their facts.
    pub fn confirm_death(
        &mut self,
        now: ClockTime,
        attempt: &OpenAttempt,
        evidence: DeathEvidence,
    ) {
        let signs = self.facts.record_crash(now, attempt, evidence);
        if attempt.is_proven(now) {
            return;
        }
        for sign in signs {
            let fact = TargetFact::Crashed(sign);
            self.outbox.push(PushScope::Fleet, fact);
        }
    }

    /// Records that a call ran whose answer began at `began_at`; returns how many signs against its
    /// features that clears.
    pub fn record_completion(
        &mut self,
        now: ClockTime,
        features: impl Iterator<Item = FeatureId>,
        began_at: ClockTime,
    ) -> usize {
        let cleared = self.facts.record_completion(now, features, began_at);
        for sign in &cleared {
            let fact = TargetFact::Completed(sign.clone());
            self.outbox.push(PushScope::Fleet, fact);
        }
        cleared.len()
    }

    /// Takes over for how long a peer may still lack crash signs, if it has the same facts.
    pub fn adopt_completeness(
        &mut self,
        now: ClockTime,
        facts: &FactDigest,
        incomplete_for: Option<TimeSpan>,
    ) {
        let own = self.facts.incomplete_for(now);
        let shorter = incomplete_for.filter(|span| *span < own);
        if let Some(span) = shorter
            && FactDigest::of(&self.facts.set, now) == *facts
        {
            self.facts.complete_within(now, span);
        }
    }

    /// Node from which this node requests trials of a part; `None` if it grants them itself.
    ///
    /// The coordinator of a failure domain that all reachable ones choose grants them, and only
    /// coordinators ask it.
    pub fn trial_source(&mut self, now: ClockTime, part: FeatureId) -> Option<SocketAddr> {
        let own = self.peers.own_address();
        let coordinator = self.coordinator_ranking(now).first().copied();
        if coordinator.is_some() && coordinator != own {
            return coordinator;
        }
        let owner = self.elect_domain(now, &part.to_string())?;
        let ranking = self.remote_coordinator_ranking(now, &owner);
        ranking.first().copied()
    }
}
