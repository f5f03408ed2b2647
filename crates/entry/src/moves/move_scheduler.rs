use base::{ClockTime, NodeName, TargetName, TimeSpan, TokenRate, rank_score};

use super::MoveWorth;
use crate::TargetLoad;

/// Time after which a leaving engine is forgotten; it is gone or ready again by then.
const SOURCE_EXPIRY: TimeSpan = TimeSpan::from_secs(20);
/// Time for which the report of a peer that it copies off an engine holds; four copies of a
/// generation of average size take that long.
const COPYING_EXPIRY: TimeSpan = TimeSpan::from_secs(1);
/// Time that a move takes in addition to the transfer: the orders to the engines, and the stop of
/// the generation.
const MOVE_OVERHEAD: TimeSpan = TimeSpan::new(12);
/// Factor, as numerator and denominator, by which a window is longer than the transfers within a
/// failure domain take: some go to other domains, which takes twice as long.
const WINDOW_FACTOR: (u64, u64) = (3, 2);

/// Time for which the turn is kept for the generation whose move is worth most, once a turn is
/// free. A generation whose caller reads slowly can't take its turn.
const BEST_FIRST_TIME: TimeSpan = TimeSpan::new(15);

/// Identifies a generation that waits for its turn to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MoveTicket(u64);

/// Turns of one leaving engine.
#[derive(Clone, Debug)]
struct SourceState {
    source: TargetName,
    /// Whether the engine leaves, other than one whose failure domain is evacuated.
    is_leaving: bool,
    added_at: ClockTime,
    /// Peers whose turn comes before this node, with the end of their windows.
    ahead: Vec<(NodeName, ClockTime)>,
    /// Generations that wait for their turn, with the worth of their moves.
    waiting: Vec<(MoveTicket, MoveWorth)>,
    /// Since when no generation has had its turn.
    free_since: ClockTime,
    /// Latest time at which the engine ends, if known.
    ends_by: Option<ClockTime>,
    /// Whether the time from its notice to its end was taken.
    is_notice_taken: bool,
    /// Whether a generation has its turn.
    is_moving: bool,
    /// Whether the generation whose turn it is has a destination.
    is_copying: bool,
}

impl SourceState {
    /// Starts the turn of a waiting generation, unless another one has its turn or one whose move
    /// is worth more waits.
    fn start_waiting(&mut self, now: ClockTime, ticket: MoveTicket) -> MoveTurn {
        if self.is_moving {
            return MoveTurn::Wait(now + SOURCE_EXPIRY);
        }
        let best = self
            .waiting
            .iter()
            .max_by_key(|(ticket, worth)| (*worth, std::cmp::Reverse(*ticket)));
        let open_at = self.free_since + BEST_FIRST_TIME;
        if best.is_some_and(|(best, _)| *best != ticket) && now < open_at {
            return MoveTurn::Wait(open_at);
        }
        self.is_moving = true;
        self.waiting.retain(|(known, _)| *known != ticket);
        MoveTurn::Start
    }
}

/// Whether a generation may start its move now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveTurn {
    /// It may; no other generation of this node on the same engine may until its turn ends.
    Start,
    /// It has to wait until this time, or until the moves ahead of it finish sooner.
    Wait(ClockTime),
}

/// Decides when a node may move its generations off a leaving engine.
///
/// An engine sends copies one after another. If all were ordered at once, the short copy that
/// follows the stop of a generation would wait behind all full copies, and the generation would be
/// stopped for that long. So the nodes take turns, in the order of a hash that all of them compute,
/// and each node moves one generation at a time. A node starts once the nodes ahead of it have
/// reported that they finished, or their windows have ended, and no other node reports that it
/// copies.
///
/// ```
/// use base::{ClockTime, TargetName, TokenRate};
/// use entry::{MoveTurn, MoveScheduler, MoveWorth};
/// let mut scheduler = MoveScheduler::new("n1".parse().unwrap());
/// let source: TargetName = "e1".parse().unwrap();
/// let now = ClockTime::new(1_000);
/// scheduler.add_source(now, &source, &[], TokenRate(10_000), true);
/// let first = scheduler.add_waiting(&source, MoveWorth::new(200, 3_000));
/// let second = scheduler.add_waiting(&source, MoveWorth::new(100, 3_000));
/// assert_eq!(scheduler.try_start(now, &source, first), MoveTurn::Start);
/// assert!(matches!(scheduler.try_start(now, &source, second), MoveTurn::Wait(_)));
/// scheduler.end_turn(now, &source);
/// assert_eq!(scheduler.try_start(now, &source, second), MoveTurn::Start);
/// ```
#[derive(Clone, Debug)]
pub struct MoveScheduler {
    node: NodeName,
    sources: Vec<SourceState>,
    /// Peers and the engines that they reported to be finished with, with the time of the report.
    finished: Vec<(ClockTime, NodeName, TargetName)>,
    /// Peers and the engines off which they report that they copy, with the time of the first
    /// report.
    copying: Vec<(ClockTime, NodeName, TargetName)>,
    /// Increases whenever the result of `copying_sources` may change.
    copying_version: u64,
    next_ticket: u64,
}

impl MoveScheduler {
    /// Creates the scheduler of a node.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            sources: Vec::new(),
            finished: Vec::new(),
            copying: Vec::new(),
            copying_version: 0,
            next_ticket: 0,
        }
    }

    /// Adds an engine that leaves, or whose failure domain is evacuated, and on which `peers` have
    /// load too; `rate` is its transfer rate. The notice of an evacuated engine begins when it leaves.
    pub fn add_source(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        peers: &[(NodeName, TargetLoad)],
        rate: TokenRate,
        is_leaving: bool,
    ) {
        self.sources
            .retain(|source_state| now.since(source_state.added_at) < SOURCE_EXPIRY);
        self.finished
            .retain(|(at, _, _)| now.since(*at) < SOURCE_EXPIRY);
        if let Some(known) = self.find_mut(source) {
            if is_leaving && !known.is_leaving {
                known.is_leaving = true;
                known.added_at = now;
            }
            return;
        }
        self.sources.push(SourceState {
            source: source.clone(),
            is_leaving,
            added_at: now,
            ahead: self.windows(now, source, peers, rate),
            waiting: Vec::new(),
            free_since: now,
            ends_by: None,
            is_notice_taken: false,
            is_moving: false,
            is_copying: false,
        });
    }

    /// Records the latest time at which a leaving engine ends.
    pub fn set_end(&mut self, source: &TargetName, ends_by: ClockTime) {
        if let Some(source_state) = self.find_mut(source) {
            source_state.ends_by = Some(ends_by);
        }
    }

    /// Latest time at which a leaving engine ends; `None` if it is not known.
    pub fn ends_by(&self, source: &TargetName) -> Option<ClockTime> {
        self.find(source)?.ends_by
    }

    /// When this node learned that an engine leaves.
    pub fn noticed_at(&self, source: &TargetName) -> Option<ClockTime> {
        Some(self.find(source)?.added_at)
    }

    /// Time from the notice of a leaving engine to its end at `end`; `None` if it was taken before,
    /// so that each engine counts once.
    pub fn take_notice(&mut self, source: &TargetName, end: ClockTime) -> Option<TimeSpan> {
        let source_state = self.find_mut(source)?;
        let is_new = !std::mem::replace(&mut source_state.is_notice_taken, true);
        is_new.then(|| end.since(source_state.added_at))
    }

    /// Adds a generation that waits for its turn.
    pub fn add_waiting(&mut self, source: &TargetName, worth: MoveWorth) -> MoveTicket {
        let ticket = MoveTicket(self.next_ticket);
        self.next_ticket += 1;
        if let Some(source_state) = self.find_mut(source) {
            source_state.waiting.push((ticket, worth));
        }
        ticket
    }

    /// Removes a generation that ended while it waited.
    pub fn remove_waiting(&mut self, source: &TargetName, ticket: MoveTicket) {
        if let Some(source_state) = self.find_mut(source) {
            source_state.waiting.retain(|(known, _)| *known != ticket);
        }
    }

    /// Starts the turn of a waiting generation if no peer is ahead or copies, and no other
    /// generation of this node has its turn.
    pub fn try_start(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        ticket: MoveTicket,
    ) -> MoveTurn {
        let finished = &self.finished;
        let Some(source_state) = self.sources.iter_mut().find(|one| one.source == *source) else {
            return MoveTurn::Start;
        };
        source_state.ahead.retain(|(node, end)| {
            let is_finished = |(at, peer, engine): &(ClockTime, NodeName, TargetName)| {
                *at >= source_state.added_at && peer == node && engine == source
            };
            *end > now && !finished.iter().any(is_finished)
        });
        if let Some(end) = source_state.ahead.iter().map(|(_, end)| *end).max() {
            return MoveTurn::Wait(end);
        }
        if source_state.is_moving {
            return MoveTurn::Wait(now + SOURCE_EXPIRY);
        }
        let copying = self
            .copying
            .iter()
            .filter(|(_, _, engine)| engine == source);
        let ends = copying.map(|(since, _, _)| *since + COPYING_EXPIRY);
        if let Some(end) = ends.filter(|end| *end > now).max() {
            return MoveTurn::Wait(end);
        }
        source_state.start_waiting(now, ticket)
    }

    /// Starts the turn of a waiting generation if no other generation of this node has its turn.
    /// Used where the locks of a placement coordinator keep other nodes from copying off the
    /// engine.
    pub fn try_start_local(
        &mut self,
        now: ClockTime,
        source: &TargetName,
        ticket: MoveTicket,
    ) -> MoveTurn {
        match self.find_mut(source) {
            Some(source_state) => source_state.start_waiting(now, ticket),
            None => MoveTurn::Start,
        }
    }

    /// Records that the generation that has its turn has a destination, so that its copy starts.
    pub fn begin_copy(&mut self, source: &TargetName) {
        if let Some(source_state) = self.find_mut(source) {
            source_state.is_copying = true;
            self.copying_version += 1;
        }
    }

    /// Ends the turn of a generation.
    pub fn end_turn(&mut self, now: ClockTime, source: &TargetName) {
        if let Some(source_state) = self.find_mut(source) {
            source_state.is_moving = false;
            source_state.free_since = now;
            source_state.is_copying = false;
            self.copying_version += 1;
        }
    }

    /// Records the engines that a peer reports to be finished with.
    pub fn record_peer_finished(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        sources: Vec<TargetName>,
    ) {
        for source in sources {
            let is_known = |(_, peer, engine): &(ClockTime, NodeName, TargetName)| {
                peer == node && *engine == source
            };
            if !self.finished.iter().any(is_known) {
                self.finished.push((now, node.clone(), source));
            }
        }
    }

    /// Replaces the engines off which a peer reports that it copies now; returns whether they
    /// changed.
    pub fn replace_peer_copying(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        sources: &[TargetName],
    ) -> bool {
        let is_over = |(_, peer, engine): &(ClockTime, NodeName, TargetName)| {
            peer == node && !sources.contains(engine)
        };
        let before = self.copying.len();
        self.copying.retain(|entry| !is_over(entry));
        let mut changed = before != self.copying.len();
        for source in sources {
            let mut known = self.copying.iter();
            if !known.any(|(_, peer, engine)| peer == node && engine == source) {
                self.copying.push((now, node.clone(), source.clone()));
                changed = true;
            }
        }
        changed
    }

    /// Number that increases whenever the result of [`Self::copying_sources`] may change.
    pub fn copying_version(&self) -> u64 {
        self.copying_version
    }

    /// Engines off which this node copies now, to be reported to peers.
    pub fn copying_sources(&self) -> Vec<TargetName> {
        let copying = self
            .sources
            .iter()
            .filter(|source_state| source_state.is_copying);
        copying
            .map(|source_state| source_state.source.clone())
            .collect()
    }

    /// Leaving engines off which this node has no more generations to move, to be reported to
    /// peers.
    pub fn finished_sources(&self) -> Vec<TargetName> {
        let sources = self.sources.iter();
        let finished = sources
            .filter(|source_state| source_state.waiting.is_empty() && !source_state.is_moving);
        finished
            .map(|source_state| source_state.source.clone())
            .collect()
    }

    /// Peers whose turn comes before this node, with the end of the window of each.
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

    fn find(&self, source: &TargetName) -> Option<&SourceState> {
        self.sources
            .iter()
            .find(|source_state| source_state.source == *source)
    }

    fn find_mut(&mut self, source: &TargetName) -> Option<&mut SourceState> {
        let mut sources = self.sources.iter_mut();
        sources.find(|source_state| source_state.source == *source)
    }
}

/// Time that a peer gets to move its load off an engine.
fn window_time(load: &TargetLoad, rate: TokenRate) -> TimeSpan {
    let transfer = TimeSpan::new(load.tokens * 1_000 / rate.0.max(1));
    transfer * WINDOW_FACTOR.0 / WINDOW_FACTOR.1 + MOVE_OVERHEAD * u64::from(load.calls)
}
