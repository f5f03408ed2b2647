use base::{ClockTime, NodeName, TargetName, TimeSpan, TokenRate, rank_score};

use crate::LoadSum;

/// Time for which the slots of an engine are remembered; it is gone or back by then.
const SLOT_EXPIRY: TimeSpan = TimeSpan::from_secs(20);
/// Time of a move beyond its transfer: the orders, and the stop of the generation.
const ORDER_TIME: TimeSpan = TimeSpan::new(12);

#[derive(Clone, Debug)]
struct SourceSlots {
    source: TargetName,
    booked_at: ClockTime,
    free_at: ClockTime,
}

/// When each generation of a leaving engine is moved.
///
/// An engine sends copies one after another. If all were ordered at once, the short copy that
/// follows the stop of a generation would wait behind all whole copies, and the generation with it.
/// So each node takes a window after those of the peers that go before it, and its generations take
/// turns in that window. Nodes agree on the order by a hash, without a message.
///
/// ```
/// use base::{ClockTime, TokenRate};
/// let mut slots = entry::MoveSlots::new("n1".parse().unwrap());
/// let source = "e1".parse().unwrap();
/// let now = ClockTime::new(1_000);
/// let first = slots.book(now, &source, &[], 1_000, TokenRate(10_000));
/// let second = slots.book(now, &source, &[], 1_000, TokenRate(10_000));
/// assert_eq!(first, now);
/// assert_eq!(second.since(first).as_millis(), 112);
/// ```
#[derive(Clone, Debug)]
pub struct MoveSlots {
    node: NodeName,
    sources: Vec<SourceSlots>,
}

impl MoveSlots {
    /// Creates the slots of a node.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            sources: Vec::new(),
        }
    }

    /// Books the next slot for a generation of `tokens` on `source`, where `peers` have load too;
    /// returns its start.
    pub fn book(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        peers: &[(NodeName, LoadSum)],
        tokens: u64,
        rate: TokenRate,
    ) -> ClockTime {
        self.sources
            .retain(|slots| now.since(slots.booked_at) < SLOT_EXPIRY);
        let found = self
            .sources
            .iter()
            .position(|slots| slots.source == *source);
        let at = found.unwrap_or_else(|| {
            self.sources.push(SourceSlots {
                source: source.clone(),
                booked_at: now,
                free_at: now + self.wait_for_peers(source, peers, rate),
            });
            self.sources.len() - 1
        });
        let slots = &mut self.sources[at];
        let start = slots.free_at.max(now);
        slots.free_at = start + transfer_time(tokens, 1, rate);
        start
    }

    /// Time that the peers need that go before this node.
    fn wait_for_peers(
        &self,
        source: &TargetName,
        peers: &[(NodeName, LoadSum)],
        rate: TokenRate,
    ) -> TimeSpan {
        let rank = |node: &NodeName| (rank_score(source.as_str(), node.as_str()), node.clone());
        let own = rank(&self.node);
        let ahead = peers.iter().filter(|(node, _)| rank(node) < own);
        ahead.fold(TimeSpan::ZERO, |wait, (_, load)| {
            wait + transfer_time(load.tokens, u64::from(load.calls), rate)
        })
    }
}

fn transfer_time(tokens: u64, moves: u64, rate: TokenRate) -> TimeSpan {
    TimeSpan::new(tokens * 1_000 / rate.0.max(1)) + ORDER_TIME * moves
}
