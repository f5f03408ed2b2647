use base::NodeName;
use rand::Rng;
use rand::seq::SliceRandom;

/// Peers in random order; each is probed once a round, so the wait for a probe is bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeRing {
    round: Vec<NodeName>,
}

impl ProbeRing {
    /// Returns the next peer; `peers` are those that are probed at the moment.
    pub(crate) fn next(&mut self, peers: &[NodeName], random: &mut impl Rng) -> Option<NodeName> {
        while let Some(node) = self.round.pop() {
            if peers.contains(&node) {
                return Some(node);
            }
        }
        self.round = peers.to_vec();
        self.round.shuffle(random);
        self.round.pop()
    }
}
