use base::{ClockTime, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::PlacementScope;

/// Time until the nodes of a domain know of a placement: half the interval between load reports,
/// plus transmission.
const PROPAGATION_TIME: TimeSpan = TimeSpan::new(10);
/// One in so many turns of a node may use engines of other domains. Their load is known with a
/// delay of some 200 ms, ten times that of engines in the own domain.
const REMOTE_TURN_INTERVAL: u32 = 10;

/// Decides when a node may place a call from its queue on an engine, so that waiting nodes do not
/// all place calls at once.
///
/// When generations need more room than the engines have, many nodes wait. If all tried to place a
/// call whenever they could, each would choose the first engine with room before it learns what the
/// others placed there. So each node takes turns at random moments, on average once in the time in
/// which all waiting nodes can take one turn each without overlap.
///
/// ```
/// use base::ClockTime;
/// let mut pacer = entry::PlacementPacer::new(7);
/// let now = ClockTime::new(1_000);
/// assert!(pacer.take_turn(now, 5).is_some());
/// assert!(pacer.take_turn(now, 5).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct PlacementPacer {
    next: ClockTime,
    turns: u32,
    random: Pcg64,
}

impl PlacementPacer {
    /// Creates the pacer of a node; `seed` has to differ between nodes.
    pub fn new(seed: u64) -> Self {
        Self {
            next: ClockTime::default(),
            turns: 0,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Takes a turn to place one call, if the node's next turn is due; returns the domains whose
    /// engines may be used. `rivals` is the number of other nodes of the domain with waiting calls.
    pub fn take_turn(&mut self, now: ClockTime, rivals: usize) -> Option<PlacementScope> {
        if now < self.next {
            return None;
        }
        let mean = (PROPAGATION_TIME * (rivals as u64)).as_millis();
        // From half to one and a half times the mean, so that the turns of nodes drift apart.
        let gap = mean / 2 + self.random.random_range(0..=mean);
        self.next = now + TimeSpan::new(gap);
        self.turns = self.turns.wrapping_add(1);
        match rivals == 0 || self.turns.is_multiple_of(REMOTE_TURN_INTERVAL) {
            true => Some(PlacementScope::AllDomains),
            false => Some(PlacementScope::OwnDomain),
        }
    }
}
