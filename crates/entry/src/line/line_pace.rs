use base::{ClockTime, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::PlaceReach;

/// Time in which a domain hears of a placement: half the gap between pushes, and the way.
const NEWS_TIME: TimeSpan = TimeSpan::new(10);
/// Turns of a node of which one may use engines of other domains, whose load is known with a delay
/// of some 200 ms, ten times that of near ones.
const FAR_TURNS: u32 = 10;

/// When a node gives room on engines to the calls of its line.
///
/// Load: more generations than engines have room for, so that many nodes wait. If all looked at once,
/// each would place a call on the first engine with room before it hears of the others. So a node
/// takes a turn at a random moment, once in the time in which all rivals can take one apart.
///
/// ```
/// use base::ClockTime;
/// let mut pace = entry::LinePace::new(7);
/// let now = ClockTime::new(1_000);
/// assert!(pace.take_turn(now, 5).is_some());
/// assert!(pace.take_turn(now, 5).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct LinePace {
    next: ClockTime,
    turns: u32,
    random: Pcg64,
}

impl LinePace {
    /// Creates the pace of a node; `seed` has to differ between nodes.
    pub fn new(seed: u64) -> Self {
        Self {
            next: ClockTime::default(),
            turns: 0,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Takes a turn for one call if it is time, beside `rivals` other nodes of the domain whose calls
    /// wait; returns which engines may be used.
    pub fn take_turn(&mut self, now: ClockTime, rivals: usize) -> Option<PlaceReach> {
        if now < self.next {
            return None;
        }
        let mean = (NEWS_TIME * (rivals as u64)).as_millis();
        // From half to one and a half times the mean, so that the turns of nodes drift apart.
        let gap = mean / 2 + self.random.random_range(0..=mean);
        self.next = now + TimeSpan::new(gap);
        self.turns = self.turns.wrapping_add(1);
        match rivals == 0 || self.turns.is_multiple_of(FAR_TURNS) {
            true => Some(PlaceReach::Any),
            false => Some(PlaceReach::Near),
        }
    }
}
