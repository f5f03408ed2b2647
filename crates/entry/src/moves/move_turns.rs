use base::{ClockTime, NodeName, TargetName, TimeSpan, TokenRate, rank_score};

use crate::TargetLoad;

/// Time for which a leaving engine is remembered; it is gone or back by then.
const SOURCE_EXPIRY: TimeSpan = TimeSpan::from_secs(20);
/// Time for which the word of a peer holds that it moves something off an engine: four copies of a
/// generation of average size.
const MOVING_EXPIRY: TimeSpan = TimeSpan::from_secs(1);
/// Time of a move beyond its transfer: the orders, and the stop of the generation.
const ORDER_TIME: TimeSpan = TimeSpan::new(12);
/// Windows are longer than the transfers within a failure domain take, by this factor and this many
/// parts: some go to other domains, which takes twice as long.
const WINDOW_FACTOR: (u64, u64) = (3, 2);

#[derive(Clone, Debug)]
struct SourceTurns {
    source: TargetName,
    opened_at: ClockTime,
    /// Peers that go before this node, with the end of their windows.
    ahead: Vec<(NodeName, ClockTime)>,
    waiting: usize,
    is_moving: bool,
    /// Whether the generation whose turn it is has a destination.
    is_copying: bool,
}

/// Whether a generation may be moved now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveTurn {
    /// It may, and nothing else of its engine may until its turn ends.
    Start,
    /// It may not before this moment, unless the nodes ahead finish sooner.
    Wait(ClockTime),
}

/// Who moves generations off a leaving engine, and when.
///
/// An engine sends copies one after another. If all were ordered at once, the short copy that
/// follows the stop of a generation would wait behind all whole copies, and the generation with it.
/// So nodes take turns, in an order that they agree on by a hash, and the generations of a node take
/// turns within. A node goes once those ahead have said that they are done, or had enough time, and
/// no other says that it is at it.
///
/// ```
/// use base::{ClockTime, TargetName, TokenRate};
/// use entry::{MoveTurn, MoveTurns};
/// let mut turns = MoveTurns::new("n1".parse().unwrap());
/// let source: TargetName = "e1".parse().unwrap();
/// let now = ClockTime::new(1_000);
/// turns.open(now, &source, &[], TokenRate(10_000));
/// turns.join(&source);
/// turns.join(&source);
/// assert_eq!(turns.take(now, &source), MoveTurn::Start);
/// assert!(matches!(turns.take(now, &source), MoveTurn::Wait(_)));
/// turns.end(&source);
/// assert_eq!(turns.take(now, &source), MoveTurn::Start);
/// ```
#[derive(Clone, Debug)]
pub struct MoveTurns {
    node: NodeName,
    sources: Vec<SourceTurns>,
    /// Engines that peers have finished with, as they said.
    finished: Vec<(ClockTime, NodeName, TargetName)>,
    /// Engines off which peers move something, as they said, and since when.
    moving: Vec<(ClockTime, NodeName, TargetName)>,
    version: u64,
}

impl MoveTurns {
    /// Creates the turns of a node.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            sources: Vec::new(),
            finished: Vec::new(),
            moving: Vec::new(),
            version: 0,
        }
    }

    /// Notes that an engine leaves on which `peers` have load too.
    pub fn open(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        peers: &[(NodeName, TargetLoad)],
        rate: TokenRate,
    ) {
        self.sources
            .retain(|turns| now.since(turns.opened_at) < SOURCE_EXPIRY);
        self.finished
            .retain(|(at, _, _)| now.since(*at) < SOURCE_EXPIRY);
        if self.find(source).is_some() {
            return;
        }
        self.sources.push(SourceTurns {
            source: source.clone(),
            opened_at: now,
            ahead: self.windows(now, source, peers, rate),
            waiting: 0,
            is_moving: false,
            is_copying: false,
        });
    }

    /// Adds a generation that waits for its turn.
    pub fn join(&mut self, source: &TargetName) {
        if let Some(turns) = self.find_mut(source) {
            turns.waiting += 1;
        }
    }

    /// Removes a generation that ended while it waited.
    pub fn leave(&mut self, source: &TargetName) {
        if let Some(turns) = self.find_mut(source) {
            turns.waiting = turns.waiting.saturating_sub(1);
        }
    }

    /// Takes the turn for a generation that waits.
    pub fn take(&mut self, now: ClockTime, source: &TargetName) -> MoveTurn {
        let finished = &self.finished;
        let Some(turns) = self.sources.iter_mut().find(|one| one.source == *source) else {
            return MoveTurn::Start;
        };
        turns.ahead.retain(|(node, end)| {
            let is_done = |(at, by, what): &(ClockTime, NodeName, TargetName)| {
                *at >= turns.opened_at && by == node && what == source
            };
            *end > now && !finished.iter().any(is_done)
        });
        if let Some(end) = turns.ahead.iter().map(|(_, end)| *end).max() {
            return MoveTurn::Wait(end);
        }
        if turns.is_moving {
            return MoveTurn::Wait(now + SOURCE_EXPIRY);
        }
        let moving = self.moving.iter().filter(|(_, _, what)| what == source);
        let ends = moving.map(|(since, _, _)| *since + MOVING_EXPIRY);
        if let Some(end) = ends.filter(|end| *end > now).max() {
            return MoveTurn::Wait(end);
        }
        turns.is_moving = true;
        turns.waiting = turns.waiting.saturating_sub(1);
        MoveTurn::Start
    }

    /// Takes the turn for a generation that waits, where a desk lets one node after another move
    /// something off the engine.
    pub fn take_own(&mut self, now: ClockTime, source: &TargetName) -> MoveTurn {
        let Some(turns) = self.find_mut(source) else {
            return MoveTurn::Start;
        };
        if turns.is_moving {
            return MoveTurn::Wait(now + SOURCE_EXPIRY);
        }
        turns.is_moving = true;
        turns.waiting = turns.waiting.saturating_sub(1);
        MoveTurn::Start
    }

    /// Notes that the generation whose turn it is has a destination.
    pub fn begin_copy(&mut self, source: &TargetName) {
        if let Some(turns) = self.find_mut(source) {
            turns.is_copying = true;
            self.version += 1;
        }
    }

    /// Ends the turn of a generation.
    pub fn end(&mut self, source: &TargetName) {
        if let Some(turns) = self.find_mut(source) {
            turns.is_moving = false;
            turns.is_copying = false;
            self.version += 1;
        }
    }

    /// Takes what a peer says it is done with.
    pub fn note_finished(&mut self, now: ClockTime, node: &NodeName, sources: Vec<TargetName>) {
        for source in sources {
            let is_known =
                |(_, by, what): &(ClockTime, NodeName, TargetName)| by == node && *what == source;
            if !self.finished.iter().any(is_known) {
                self.finished.push((now, node.clone(), source));
            }
        }
    }

    /// Takes the engines off which a peer moves something now; returns whether they changed.
    pub fn note_moving(&mut self, now: ClockTime, node: &NodeName, sources: &[TargetName]) -> bool {
        let is_over = |(_, by, what): &(ClockTime, NodeName, TargetName)| {
            by == node && !sources.contains(what)
        };
        let before = self.moving.len();
        self.moving.retain(|entry| !is_over(entry));
        let mut changed = before != self.moving.len();
        for source in sources {
            let mut known = self.moving.iter();
            if !known.any(|(_, by, what)| by == node && what == source) {
                self.moving.push((now, node.clone(), source.clone()));
                changed = true;
            }
        }
        changed
    }

    /// Changes with the engines off which this node moves something.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Engines off which this node moves something now.
    pub fn own_moving(&self) -> Vec<TargetName> {
        let moving = self.sources.iter().filter(|turns| turns.is_copying);
        moving.map(|turns| turns.source.clone()).collect()
    }

    /// Leaving engines that this node has nothing more to move off.
    pub fn own_finished(&self) -> Vec<TargetName> {
        let sources = self.sources.iter();
        let done = sources.filter(|turns| turns.waiting == 0 && !turns.is_moving);
        done.map(|turns| turns.source.clone()).collect()
    }

    fn windows(
        &self,
        now: ClockTime,
        source: &TargetName,
        peers: &[(NodeName, TargetLoad)],
        rate: TokenRate,
    ) -> Vec<(NodeName, ClockTime)> {
        let rank = |node: &NodeName| (rank_score(source.as_str(), node.as_str()), node.clone());
        let own = rank(&self.node);
        let mut ahead: Vec<_> = peers.iter().filter(|(node, _)| rank(node) < own).collect();
        ahead.sort_by_key(|(node, _)| rank(node));
        let mut end = now;
        let windows = ahead.into_iter().map(|(node, load)| {
            end += window_time(load, rate);
            (node.clone(), end)
        });
        windows.collect()
    }

    fn find(&self, source: &TargetName) -> Option<&SourceTurns> {
        self.sources.iter().find(|turns| turns.source == *source)
    }

    fn find_mut(&mut self, source: &TargetName) -> Option<&mut SourceTurns> {
        let mut sources = self.sources.iter_mut();
        sources.find(|turns| turns.source == *source)
    }
}

fn window_time(load: &TargetLoad, rate: TokenRate) -> TimeSpan {
    let transfer = TimeSpan::new(load.tokens * 1_000 / rate.0.max(1));
    transfer * WINDOW_FACTOR.0 / WINDOW_FACTOR.1 + ORDER_TIME * u64::from(load.calls)
}
