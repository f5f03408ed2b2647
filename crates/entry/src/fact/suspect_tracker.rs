use base::{ClockTime, NodeName, TargetName, TimeSpan};
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Age at which the list of a peer that sends no new one is ignored.
const PEER_EXPIRY: TimeSpan = TimeSpan::new(2_500);
/// Largest number of suspect calls that a node reports to its peers.
const CALL_LIMIT: usize = 64;

/// A running call that is suspect because it ran on a target that died before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// Fingerprint of the call.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Target on which it runs now.
    pub target: TargetName,
}

/// Latest list of suspect calls that a peer reported.
#[derive(Clone, Debug)]
struct PeerSuspects {
    node: NodeName,
    received_at: ClockTime,
    calls: Vec<SuspectCall>,
}

/// Tracks on which targets suspect calls run, on this node and on its peers.
///
/// Two different suspect calls must not run on one target: if it died, the harmless one would be
/// taken for the cause as well.
#[derive(Clone, Debug, Default)]
pub struct SuspectTracker {
    local: Vec<SuspectCall>,
    peers: Vec<PeerSuspects>,
}

impl SuspectTracker {
    /// Suspect calls of this node.
    pub fn local(&self) -> &[SuspectCall] {
        &self.local
    }

    /// Adds a suspect call that this node sends.
    pub fn add_local(&mut self, call: SuspectCall) {
        if self.local.len() < CALL_LIMIT {
            self.local.push(call);
        }
    }

    /// Removes a suspect call of this node that no longer runs on its target.
    pub fn remove_local(&mut self, call: &SuspectCall) {
        if let Some(at) = self.local.iter().position(|known| known == call) {
            self.local.swap_remove(at);
        }
    }

    /// Replaces the suspect calls that a peer reported.
    pub fn replace_peer(&mut self, now: ClockTime, node: &NodeName, mut calls: Vec<SuspectCall>) {
        self.peers
            .retain(|peer| peer.node != *node && now - peer.received_at < PEER_EXPIRY);
        calls.truncate(CALL_LIMIT);
        if !calls.is_empty() {
            self.peers.push(PeerSuspects {
                node: node.clone(),
                received_at: now,
                calls,
            });
        }
    }

    /// Targets on which a suspect call with another fingerprint runs.
    pub fn occupied_targets(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<TargetName> {
        let peers = self.peers.iter();
        let peers = peers.filter(|peer| now - peer.received_at < PEER_EXPIRY);
        let calls = peers.flat_map(|peer| &peer.calls).chain(&self.local);
        let others = calls.filter(|call| call.fingerprint != fingerprint);
        others.map(|call| call.target.clone()).collect()
    }
}
