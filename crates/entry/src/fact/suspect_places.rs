use base::{ClockTime, NodeName, TargetName, TimeSpan};
use calls::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// Age at which the word of a silent peer is dropped.
const PEER_EXPIRY: TimeSpan = TimeSpan::new(2_500);
/// Places that a node tells.
const PLACE_LIMIT: usize = 64;

/// A call runs that was on a target that died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPlace {
    /// The call.
    pub print: RequestFingerprint,
    /// Where it runs.
    pub target: TargetName,
}

#[derive(Clone, Debug)]
struct PeerPlaces {
    node: NodeName,
    heard_at: ClockTime,
    places: Vec<SuspectPlace>,
}

/// Where calls run that were on a target that died: two of them must not meet, or an innocent one is
/// taken for the cause of the next death.
#[derive(Clone, Debug, Default)]
pub struct SuspectPlaces {
    own: Vec<SuspectPlace>,
    peers: Vec<PeerPlaces>,
}

impl SuspectPlaces {
    /// Such calls of this node.
    pub fn own(&self) -> &[SuspectPlace] {
        &self.own
    }

    /// A call of this node is sent.
    pub fn enter(&mut self, place: SuspectPlace) {
        if self.own.len() < PLACE_LIMIT {
            self.own.push(place);
        }
    }

    /// A call of this node is no more on a target.
    pub fn leave(&mut self, place: &SuspectPlace) {
        if let Some(at) = self.own.iter().position(|known| known == place) {
            self.own.swap_remove(at);
        }
    }

    /// Takes what a peer says of its calls.
    pub fn take_peer(&mut self, now: ClockTime, node: &NodeName, mut places: Vec<SuspectPlace>) {
        self.peers
            .retain(|peer| peer.node != *node && now - peer.heard_at < PEER_EXPIRY);
        places.truncate(PLACE_LIMIT);
        if !places.is_empty() {
            self.peers.push(PeerPlaces {
                node: node.clone(),
                heard_at: now,
                places,
            });
        }
    }

    /// Targets on which another such call runs.
    pub fn occupied(&self, now: ClockTime, print: RequestFingerprint) -> Vec<TargetName> {
        let peers = self.peers.iter();
        let peers = peers.filter(|peer| now - peer.heard_at < PEER_EXPIRY);
        let places = peers.flat_map(|peer| &peer.places).chain(&self.own);
        let others = places.filter(|place| place.print != print);
        others.map(|place| place.target.clone()).collect()
    }
}
