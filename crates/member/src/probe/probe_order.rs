use base::NodeName;
use rand::Rng;
use rand::seq::SliceRandom;

/// Order in which peers are probed: a new random permutation each round, so that the time between
/// two probes of a peer is bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    remaining: Vec<NodeName>,
}

impl ProbeOrder {
    /// Returns the next peer of the round that is still in `peers`; starts a new round from `peers`
    /// when the current one is used up.
    pub(crate) fn next(&mut self, peers: &[NodeName], random: &mut impl Rng) -> Option<NodeName> {
        while let Some(node) = self.remaining.pop() {
            if peers.contains(&node) {
                return Some(node);
            }
        }
        self.remaining = peers.to_vec();
        self.remaining.shuffle(random);
        self.remaining.pop()
    }
}
