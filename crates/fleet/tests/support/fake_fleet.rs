use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use base::{ClockTime, DomainName, NodeName, TimeSpan, rank_owners};
use fleet::{
    FleetPeer, KeyText, PlatformHeadAnswer, ReadScope, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionSync,
};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use serde::Serialize;

use super::fake_platform::FakeWatch;
use super::{CachedValidator, FakeNode, FakePlatform};

const TICK_MS: u64 = 100;
const GOSSIP_MS: u64 = 500;
const MEMBERSHIP_MS: u64 = 500;
/// Time after which membership no longer lists a node that does not answer.
const FAILURE_DETECTION_MS: u64 = 2_000;
const LOCAL_LINK_MS: u64 = 1;
const REMOTE_LINK_MS: u64 = 3;
const PLATFORM_LINK_MS: u64 = 5;
/// Peers that a node knows in each other domain.
const REMOTE_PEERS: usize = 2;
/// Bytes of the headers of one HTTP request or response, with authentication.
const HTTP_BYTES: u64 = 200;

/// Size, settings and switches of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FakeConfig {
    pub domains: usize,
    pub nodes: usize,
    pub seed: u64,
    pub settings: RevisionSettings,
    /// Whether membership elects new readers when some fail.
    pub reader_replacement: bool,
    /// Readers in each domain.
    pub readers: usize,
    /// Whether nodes exchange digests with random peers, as membership messages do.
    pub gossip: bool,
}

impl FakeConfig {
    pub fn new(domains: usize, nodes: usize, seed: u64) -> Self {
        Self {
            domains,
            nodes,
            seed,
            settings: RevisionSettings::default(),
            reader_replacement: true,
            readers: 2,
            gossip: true,
        }
    }
}

/// Event at a node, or at the platform on behalf of a node.
enum FakeEvent {
    Tick,
    Gossip,
    Digest {
        from: usize,
        digest: RevisionDigest,
        wants_reply: bool,
    },
    Pull {
        from: usize,
        from_incarnation: u32,
        pull: u64,
        request: PullRequest,
    },
    PullAnswer {
        pull: u64,
        answer: Option<PullAnswer>,
    },
    HeadAnswer {
        call: u64,
        answer: Option<PlatformHeadAnswer>,
    },
    KeysAnswer {
        call: u64,
        keys: Option<Vec<KeyText>>,
    },
    // The events below take place at the platform.
    HeadRead {
        call: u64,
        index: u64,
        wait: TimeSpan,
    },
    KeysRead {
        call: u64,
        scope: ReadScope,
    },
    WatchEnd {
        call: u64,
    },
}

/// A scheduled event.
struct TimedEvent {
    at: u64,
    number: u64,
    node: usize,
    /// Incarnation of the node that the event is for; `None` if it is for any.
    incarnation: Option<u32>,
    event: FakeEvent,
}

/// Simulated nodes, platform and links in virtual time.
pub struct FakeFleet {
    pub now: u64,
    pub config: FakeConfig,
    pub nodes: Vec<FakeNode>,
    pub platform: FakePlatform,
    /// Pairs of domains whose link is cut.
    pub cut_pairs: Vec<(usize, usize)>,
    /// Domains whose link to the platform is cut.
    pub cut_platform: Vec<usize>,
    /// Time and stamp of every published revision.
    pub published: Vec<(u64, RevisionStamp)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, TimedEvent>,
    last_number: u64,
    next_membership_at: u64,
    unreachable_since: BTreeMap<usize, u64>,
    validator: CachedValidator,
    rng: Pcg64Mcg,
}

impl FakeFleet {
    /// Creates a fleet of which no node has started.
    pub fn new(config: FakeConfig) -> Self {
        let name = |at: usize| format!("n{at}").parse::<NodeName>().unwrap();
        let nodes = (0..config.nodes).map(|at| FakeNode::new(name(at), at % config.domains));
        Self {
            now: 0,
            nodes: nodes.collect(),
            platform: FakePlatform::default(),
            cut_pairs: Vec::new(),
            cut_platform: Vec::new(),
            published: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_number: 0,
            next_membership_at: 0,
            unreachable_since: BTreeMap::new(),
            validator: CachedValidator::default(),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
        }
    }

    /// Starts a node without stored state, like a new VM or process.
    pub fn start(&mut self, node: usize) {
        let domain = domain_name(self.nodes[node].domain);
        let name = self.nodes[node].name.clone();
        let seed = self.rng.random();
        let sync = RevisionSync::new(name, domain, self.config.settings.clone(), seed)
            .with_validator(Box::new(self.validator.clone()));
        let entry = &mut self.nodes[node];
        entry.sync = Some(sync);
        entry.incarnation += 1;
        entry.paused_until = 0;
        entry.is_reader = false;
        self.unreachable_since.remove(&node);
        let incarnation = Some(self.nodes[node].incarnation);
        let jitter = self.rng.random_range(0..TICK_MS);
        self.schedule(self.now + jitter, node, incarnation, FakeEvent::Tick);
        let jitter = self.rng.random_range(0..GOSSIP_MS);
        self.schedule(self.now + jitter, node, incarnation, FakeEvent::Gossip);
        self.update_membership(node);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    /// Kills a node without a shutdown.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].sync = None;
        self.unreachable_since.insert(node, self.now);
        self.platform.watches.retain(|watch| watch.node != node);
    }

    /// Pauses a node for a while; events for it are delayed until the pause ends.
    pub fn pause(&mut self, node: usize, millis: u64) {
        self.nodes[node].paused_until = self.now + millis;
    }

    /// Publishes keys and their head, as an operator does.
    pub fn publish(&mut self, epoch: u64, keys: &[KeyText]) -> RevisionStamp {
        let stamp = self.platform.publish(epoch, keys);
        self.published.push((self.now, stamp));
        self.wake_watches();
        stamp
    }

    /// Answers the watches whose index the platform's state now exceeds.
    pub fn wake_watches(&mut self) {
        if self.platform.is_down {
            return;
        }
        let watches = std::mem::take(&mut self.platform.watches);
        for watch in watches {
            let domain = self.nodes[watch.node].domain;
            if self.platform.seen_by(domain).head().index > watch.index {
                self.answer_head(watch);
            } else {
                self.platform.watches.push(watch);
            }
        }
    }

    /// Runs the simulation until the time `until`, in milliseconds.
    pub fn run_until(&mut self, until: u64) {
        loop {
            let next = self.queue.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let next = next.min(self.next_membership_at);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            if self.next_membership_at <= self.now {
                self.next_membership_at = self.now + MEMBERSHIP_MS;
                (0..self.nodes.len()).for_each(|node| self.update_membership(node));
                continue;
            }
            let Some(Reverse((_, number))) = self.queue.pop() else {
                break;
            };
            let timed = self.events.remove(&number).unwrap();
            self.handle(timed);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + millis);
    }

    /// Returns whether `stamp` is in effect at all running nodes.
    pub fn all_have(&self, stamp: RevisionStamp) -> bool {
        let mut up = self.nodes.iter().filter(|node| node.sync.is_some());
        up.all(|node| node.stamp() == Some(stamp))
    }

    /// Returns for each node the time from `since` until it had `stamp` or a newer revision.
    pub fn latencies(&self, stamp: RevisionStamp, since: u64) -> Vec<Option<u64>> {
        let reached = self.nodes.iter().map(|node| node.reached_at(stamp, since));
        reached.map(|at| at.map(|at| at - since)).collect()
    }

    fn schedule(&mut self, at: u64, node: usize, incarnation: Option<u32>, event: FakeEvent) {
        self.last_number += 1;
        let number = self.last_number;
        let timed = TimedEvent {
            at,
            number,
            node,
            incarnation,
            event,
        };
        self.queue.push(Reverse((at, number)));
        self.events.insert(number, timed);
    }

    fn handle(&mut self, timed: TimedEvent) {
        let node = timed.node;
        if let FakeEvent::HeadRead { call, index, wait } = timed.event {
            return self.read_head(node, timed.incarnation, call, index, wait);
        }
        if let FakeEvent::KeysRead { call, scope } = &timed.event {
            return self.read_keys(node, timed.incarnation, *call, scope);
        }
        if let FakeEvent::WatchEnd { call } = timed.event {
            return self.end_watch(node, timed.incarnation, call);
        }
        let entry = &self.nodes[node];
        let is_gone = timed
            .incarnation
            .is_some_and(|incarnation| incarnation != entry.incarnation);
        if entry.sync.is_none() || is_gone {
            return self.refuse_pull(timed);
        }
        if entry.paused_until > self.now {
            return self.schedule(entry.paused_until, node, timed.incarnation, timed.event);
        }
        let now = ClockTime::new(self.now);
        let actions = match timed.event {
            FakeEvent::Tick => {
                self.schedule(self.now + TICK_MS, node, timed.incarnation, FakeEvent::Tick);
                self.sync(node).on_tick(now)
            }
            FakeEvent::Gossip => return self.gossip(node, timed.incarnation),
            FakeEvent::Digest {
                from,
                digest,
                wants_reply,
            } => {
                if wants_reply {
                    let digest = self.sync(node).digest(now);
                    self.send_digest(node, from, digest, false, 0);
                }
                let name = self.nodes[from].name.clone();
                self.sync(node).on_digest(now, &name, &digest)
            }
            FakeEvent::Pull {
                from,
                from_incarnation,
                pull,
                request,
            } => {
                let answer = self.sync(node).answer_pull(now, &request);
                let bytes = encoded_len(&answer) + HTTP_BYTES;
                self.nodes[node].sent_bytes += bytes;
                if let Some(delay) = self.link(node, from) {
                    let answer = Some(answer);
                    let event = FakeEvent::PullAnswer { pull, answer };
                    self.schedule(self.now + delay, from, Some(from_incarnation), event);
                }
                return;
            }
            FakeEvent::PullAnswer { pull, answer } => {
                self.sync(node).on_pull_answer(now, pull, answer.as_ref())
            }
            FakeEvent::HeadAnswer { call, answer } => match answer {
                Some(answer) => self.sync(node).on_head_answer(now, call, &answer),
                None => self.sync(node).on_platform_failure(now, call),
            },
            FakeEvent::KeysAnswer { call, keys } => match keys {
                Some(keys) => self.sync(node).on_keys_answer(now, call, &keys),
                None => self.sync(node).on_platform_failure(now, call),
            },
            FakeEvent::HeadRead { .. }
            | FakeEvent::KeysRead { .. }
            | FakeEvent::WatchEnd { .. } => {
                return;
            }
        };
        self.carry_out(node, actions);
    }

    fn sync(&mut self, node: usize) -> &mut RevisionSync {
        self.nodes[node].sync.as_mut().unwrap()
    }

    /// Fails a pull at a node that is down or was replaced, like a refused connection.
    fn refuse_pull(&mut self, timed: TimedEvent) {
        let FakeEvent::Pull {
            from,
            from_incarnation,
            pull,
            ..
        } = timed.event
        else {
            return;
        };
        let event = FakeEvent::PullAnswer { pull, answer: None };
        self.schedule(
            self.now + LOCAL_LINK_MS,
            from,
            Some(from_incarnation),
            event,
        );
    }

    fn carry_out(&mut self, node: usize, actions: Vec<RevisionAction>) {
        let incarnation = self.nodes[node].incarnation;
        for action in actions {
            match action {
                RevisionAction::SendDigest { to, digest } => {
                    let to = self.index_of(&to);
                    self.send_digest(node, to, digest, false, HTTP_BYTES);
                }
                RevisionAction::Pull { to, pull, request } => {
                    self.nodes[node].sent_bytes += encoded_len(&request) + HTTP_BYTES;
                    let to = self.index_of(&to);
                    if let Some(delay) = self.link(node, to) {
                        let event = FakeEvent::Pull {
                            from: node,
                            from_incarnation: incarnation,
                            pull,
                            request,
                        };
                        self.schedule(self.now + delay, to, None, event);
                    }
                }
                RevisionAction::ReadHead { call, index, wait } => {
                    self.call_platform(node, FakeEvent::HeadRead { call, index, wait });
                }
                RevisionAction::ReadKeys { call, scope } => {
                    self.call_platform(node, FakeEvent::KeysRead { call, scope });
                }
                RevisionAction::CancelCall { call } => {
                    let is_stopped = |watch: &FakeWatch| watch.node == node && watch.call == call;
                    self.platform.watches.retain(|watch| !is_stopped(watch));
                }
                RevisionAction::Accepted { stamp, .. } => {
                    self.nodes[node].accepted.push((self.now, stamp));
                    self.nodes[node].accepted_incarnations.push(incarnation);
                }
                RevisionAction::Ready { .. } => {
                    let stamp = self.nodes[node].stamp().unwrap();
                    self.nodes[node].ready.push((self.now, stamp));
                }
                RevisionAction::Rejected { .. } => self.nodes[node].rejections += 1,
                RevisionAction::Ignored { .. } => self.nodes[node].ignored += 1,
                RevisionAction::PlatformLost | RevisionAction::PlatformFound => {}
            }
        }
    }

    fn index_of(&self, name: &NodeName) -> usize {
        name.as_str()[1..].parse().unwrap()
    }

    fn send_digest(
        &mut self,
        from: usize,
        to: usize,
        digest: RevisionDigest,
        wants_reply: bool,
        overhead: u64,
    ) {
        self.nodes[from].sent_bytes += encoded_len(&digest) + overhead;
        if let Some(delay) = self.link(from, to) {
            let event = FakeEvent::Digest {
                from,
                digest,
                wants_reply,
            };
            self.schedule(self.now + delay, to, None, event);
        }
    }

    /// Returns the delay of a message between two nodes; `None` if the message is lost.
    fn link(&mut self, from: usize, to: usize) -> Option<u64> {
        let (from, to) = (self.nodes[from].domain, self.nodes[to].domain);
        if self.is_cut(from, to) {
            return None;
        }
        let base = if from == to {
            LOCAL_LINK_MS
        } else {
            REMOTE_LINK_MS
        };
        Some(base + self.rng.random_range(0..=1))
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let pairs = [(left, right), (right, left)];
        pairs.iter().any(|pair| self.cut_pairs.contains(pair))
    }

    fn gossip(&mut self, node: usize, incarnation: Option<u32>) {
        let jitter = self.rng.random_range(0..=GOSSIP_MS / 5);
        let at = self.now + GOSSIP_MS - GOSSIP_MS / 10 + jitter;
        self.schedule(at, node, incarnation, FakeEvent::Gossip);
        if !self.config.gossip {
            return;
        }
        let wants_remote = self.rng.random_range(0..4) == 0;
        let domain = self.nodes[node].domain;
        let peers = self.peers_of(node).into_iter();
        let peers = peers.filter(|peer| (self.nodes[*peer].domain != domain) == wants_remote);
        let peers: Vec<usize> = peers.collect();
        let Some(peer) = peers.into_iter().choose(&mut self.rng) else {
            return;
        };
        let now = ClockTime::new(self.now);
        let digest = self.sync(node).digest(now);
        self.send_digest(node, peer, digest, true, 0);
    }

    /// Returns the peers that membership lists at `node`: its own domain and a few nodes of each
    /// other domain.
    fn peers_of(&self, node: usize) -> Vec<usize> {
        let domain = self.nodes[node].domain;
        let mut peers = self.live_in(domain);
        peers.retain(|peer| *peer != node);
        for other in (0..self.config.domains).filter(|other| *other != domain) {
            if self.is_cut(domain, other) {
                continue;
            }
            let live = self.live_in(other);
            let start = node / self.config.domains;
            let links = (0..REMOTE_PEERS.min(live.len())).map(|at| live[(start + at) % live.len()]);
            peers.extend(links);
        }
        peers
    }

    fn live_in(&self, domain: usize) -> Vec<usize> {
        let nodes = (domain..self.nodes.len()).step_by(self.config.domains);
        nodes
            .filter(|node| self.is_listed_by_membership(*node))
            .collect()
    }

    fn is_listed_by_membership(&self, node: usize) -> bool {
        let Some(since) = self.unreachable_since.get(&node) else {
            return self.nodes[node].incarnation > 0;
        };
        self.now - since < FAILURE_DETECTION_MS
    }

    /// Passes the current peers and reader role from membership to a node.
    fn update_membership(&mut self, node: usize) {
        if self.nodes[node].paused_until > self.now {
            self.unreachable_since.entry(node).or_insert(self.now);
            return;
        }
        if self.nodes[node].sync.is_none() {
            return;
        }
        self.unreachable_since.remove(&node);
        let peer = |at: usize| {
            let entry = &self.nodes[at];
            FleetPeer::new(entry.name.clone(), domain_name(entry.domain))
        };
        let peers: Vec<_> = self.peers_of(node).into_iter().map(peer).collect();
        let is_reader = self.is_elected_reader(node);
        let now = ClockTime::new(self.now);
        let mut actions = self.sync(node).on_peers(now, &peers);
        if self.nodes[node].is_reader != is_reader {
            self.nodes[node].is_reader = is_reader;
            actions.extend(self.sync(node).on_reader_role(now, is_reader));
        }
        self.carry_out(node, actions);
    }

    fn is_elected_reader(&self, node: usize) -> bool {
        let domain = self.nodes[node].domain;
        let members = match self.config.reader_replacement {
            true => self.live_in(domain),
            false => (domain..self.nodes.len())
                .step_by(self.config.domains)
                .collect(),
        };
        let names = members.iter().map(|at| self.nodes[*at].name.as_str());
        let ranked = rank_owners(domain_name(domain).as_str(), names);
        let mut readers = ranked.into_iter().take(self.config.readers);
        readers.any(|name| name == self.nodes[node].name.as_str())
    }

    /// Returns the current readers of a domain.
    pub fn readers_of(&self, domain: usize) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|at| self.nodes[*at].domain == domain && self.nodes[*at].is_reader)
            .collect()
    }

    fn call_platform(&mut self, node: usize, event: FakeEvent) {
        self.platform.calls += match &event {
            FakeEvent::KeysRead {
                scope: ReadScope::Keys(names),
                ..
            } => names.len() as u64,
            _ => 1,
        };
        let incarnation = Some(self.nodes[node].incarnation);
        self.schedule(self.now + PLATFORM_LINK_MS, node, incarnation, event);
    }

    fn platform_reaches(&self, node: usize) -> bool {
        !self.cut_platform.contains(&self.nodes[node].domain)
    }

    fn read_head(
        &mut self,
        node: usize,
        incarnation: Option<u32>,
        call: u64,
        index: u64,
        wait: TimeSpan,
    ) {
        if !self.platform_reaches(node) {
            return;
        }
        let watch = FakeWatch {
            node,
            incarnation: incarnation.unwrap_or_default(),
            call,
            index,
        };
        let seen = self.platform.seen_by(self.nodes[node].domain).head().index;
        if self.platform.is_down || index == 0 || seen > index {
            return self.answer_head(watch);
        }
        self.platform.watches.push(watch);
        self.schedule(
            self.now + wait.as_millis(),
            node,
            incarnation,
            FakeEvent::WatchEnd { call },
        );
    }

    fn end_watch(&mut self, node: usize, incarnation: Option<u32>, call: u64) {
        let is_same = |watch: &FakeWatch| {
            watch.node == node && watch.call == call && Some(watch.incarnation) == incarnation
        };
        let Some(at) = self.platform.watches.iter().position(is_same) else {
            return;
        };
        let watch = self.platform.watches.swap_remove(at);
        self.answer_head(watch);
    }

    fn answer_head(&mut self, watch: FakeWatch) {
        let node = watch.node;
        if !self.platform_reaches(node) {
            return;
        }
        let seen = self.platform.seen_by(self.nodes[node].domain).head();
        let bytes = seen.head.as_ref().map_or(0, |head| head.text.len() as u64);
        self.nodes[node].platform_bytes += bytes + HTTP_BYTES;
        let answer = (!self.platform.is_down).then_some(seen);
        let event = FakeEvent::HeadAnswer {
            call: watch.call,
            answer,
        };
        self.schedule(
            self.now + PLATFORM_LINK_MS,
            node,
            Some(watch.incarnation),
            event,
        );
    }

    fn read_keys(&mut self, node: usize, incarnation: Option<u32>, call: u64, scope: &ReadScope) {
        if !self.platform_reaches(node) {
            return;
        }
        let keys = self.platform.seen_by(self.nodes[node].domain).read(scope);
        let bytes: usize = keys.iter().map(|key| key.text.len()).sum();
        self.nodes[node].platform_bytes += bytes as u64 + HTTP_BYTES;
        let keys = (!self.platform.is_down).then_some(keys);
        let event = FakeEvent::KeysAnswer { call, keys };
        self.schedule(self.now + PLATFORM_LINK_MS, node, incarnation, event);
    }
}

fn domain_name(domain: usize) -> DomainName {
    format!("d{domain}").parse().unwrap()
}

fn encoded_len<T: Serialize>(message: &T) -> u64 {
    rmp_serde::to_vec(message).unwrap().len() as u64
}
