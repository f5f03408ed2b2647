use std::net::SocketAddr;

use base::ClockTime;
use entry::{CrashSign, FeatureId, TargetFact};

use super::GatewayState;
use crate::peer::PushScope;

/// What features of calls are blamed for, told to the peers at once, and which node grants the trials
/// of suspected prompt parts.
impl GatewayState {
    /// Records that the target of a call died.
    pub fn confirm_death(&mut self, now: ClockTime, sign: CrashSign) {
        if self.facts.confirm_death(now, sign.clone()) {
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
