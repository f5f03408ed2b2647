use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use base::{ClockTime, DomainName, NodeName, rank_owners};
use fleet::{
    FleetPeer, KeyText, PlatformHeadAnswer, ReadScope, RevisionAction, RevisionSettings,
    RevisionStamp, RevisionView,
};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use serde::Serialize;

use super::fake_platform::FakeWatch;
use super::{CachedAcceptance, FakeNode, FakePlatform};

const TICK_MS: u64 = 100;
const GOSSIP_MS: u64 = 500;
const MEMBER_MS: u64 = 500;
/// Time until membership no longer lists a node that does not answer.
const DETECT_MS: u64 = 2_000;
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 3;
const PLATFORM_MS: u64 = 5;
const FAR_LINKS: usize = 2;
/// Head of an HTTP request or response with its authentication.
const HTTP_BYTES: u64 = 200;

/// Size and switches of a fake fleet.
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
    /// Whether a peer that is ahead is met by chance, as through membership messages.
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

enum FakeEvent {
    Tick,
    Gossip,
    Digest {
        from: usize,
        digest: RevisionDigest,
        is_probe: bool,
    },
    Pull {
        from: usize,
        from_run: u32,
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
    /// At the platform.
    HeadRead {
        call: u64,
        index: u64,
    },
    KeysRead {
        call: u64,
        scope: ReadScope,
    },
    WatchEnd {
        call: u64,
    },
}

struct Timed {
    at: u64,
    number: u64,
    node: usize,
    /// Incarnation that the event belongs to; `None` for any.
    run: Option<u32>,
    event: FakeEvent,
}

/// Nodes, platform and links in virtual time.
pub struct FakeFleet {
    pub now: u64,
    pub config: FakeConfig,
    pub nodes: Vec<FakeNode>,
    pub platform: FakePlatform,
    /// Pairs of domains that can't reach each other.
    pub cut_pairs: Vec<(usize, usize)>,
    /// Domains that can't reach the platform.
    pub cut_platform: Vec<usize>,
    /// Every revision published and when.
    pub published: Vec<(u64, RevisionStamp)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Timed>,
    next: u64,
    member_at: u64,
    unreachable: BTreeMap<usize, u64>,
    acceptance: CachedAcceptance,
    rng: Pcg64Mcg,
}

impl FakeFleet {
    /// Creates a fleet whose nodes are all down.
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
            next: 0,
            member_at: 0,
            unreachable: BTreeMap::new(),
            acceptance: CachedAcceptance::default(),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
        }
    }

    /// Starts a node without any state, as a new VM or process.
    pub fn start(&mut self, node: usize) {
        let domain = domain_name(self.nodes[node].domain);
        let name = self.nodes[node].name.clone();
        let seed = self.rng.random();
        let view = RevisionView::new(name, domain, self.config.settings.clone(), seed)
            .with_acceptance(Box::new(self.acceptance.clone()));
        let entry = &mut self.nodes[node];
        entry.view = Some(view);
        entry.incarnation += 1;
        entry.paused_until = 0;
        entry.is_reader = false;
        self.unreachable.remove(&node);
        let run = Some(self.nodes[node].incarnation);
        let jitter = self.rng.random_range(0..TICK_MS);
        self.push(self.now + jitter, node, run, FakeEvent::Tick);
        let jitter = self.rng.random_range(0..GOSSIP_MS);
        self.push(self.now + jitter, node, run, FakeEvent::Gossip);
        self.inform(node);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].view = None;
        self.unreachable.insert(node, self.now);
        self.platform.watches.retain(|watch| watch.node != node);
    }

    /// Stops a node for a while; what is sent to it waits.
    pub fn pause(&mut self, node: usize, millis: u64) {
        self.nodes[node].paused_until = self.now + millis;
    }

    /// Publishes keys as an operator does.
    pub fn publish(&mut self, epoch: u64, keys: &[KeyText]) -> RevisionStamp {
        let stamp = self.platform.publish(epoch, keys);
        self.published.push((self.now, stamp));
        self.wake_watches();
        stamp
    }

    /// Answers the watches that a change of the platform concerns.
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

    /// Runs until `until` in milliseconds.
    pub fn run_until(&mut self, until: u64) {
        loop {
            let next = self.queue.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let next = next.min(self.member_at);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            if self.member_at <= self.now {
                self.member_at = self.now + MEMBER_MS;
                (0..self.nodes.len()).for_each(|node| self.inform(node));
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

    /// Whether all running nodes have `stamp` in effect.
    pub fn all_have(&self, stamp: RevisionStamp) -> bool {
        let mut up = self.nodes.iter().filter(|node| node.view.is_some());
        up.all(|node| node.stamp() == Some(stamp))
    }

    /// For each node the time from `since` until it had `stamp` or a newer revision.
    pub fn latencies(&self, stamp: RevisionStamp, since: u64) -> Vec<Option<u64>> {
        let reached = self.nodes.iter().map(|node| node.reached(stamp, since));
        reached.map(|at| at.map(|at| at - since)).collect()
    }

    fn push(&mut self, at: u64, node: usize, run: Option<u32>, event: FakeEvent) {
        self.next += 1;
        let number = self.next;
        let timed = Timed {
            at,
            number,
            node,
            run,
            event,
        };
        self.queue.push(Reverse((at, number)));
        self.events.insert(number, timed);
    }

    fn handle(&mut self, timed: Timed) {
        let node = timed.node;
        if let FakeEvent::HeadRead { call, index } = timed.event {
            return self.read_head(node, timed.run, call, index);
        }
        if let FakeEvent::KeysRead { call, scope } = &timed.event {
            return self.read_keys(node, timed.run, *call, scope);
        }
        if let FakeEvent::WatchEnd { call } = timed.event {
            return self.end_watch(node, timed.run, call);
        }
        let entry = &self.nodes[node];
        let is_gone = timed.run.is_some_and(|run| run != entry.incarnation);
        if entry.view.is_none() || is_gone {
            return self.refuse_pull(timed);
        }
        if entry.paused_until > self.now {
            return self.push(entry.paused_until, node, timed.run, timed.event);
        }
        let now = ClockTime::new(self.now);
        let actions = match timed.event {
            FakeEvent::Tick => {
                self.push(self.now + TICK_MS, node, timed.run, FakeEvent::Tick);
                self.view(node).on_tick(now)
            }
            FakeEvent::Gossip => return self.gossip(node, timed.run),
            FakeEvent::Digest {
                from,
                digest,
                is_probe,
            } => {
                if is_probe {
                    let digest = self.view(node).digest(now);
                    self.send_digest(node, from, digest, false, 0);
                }
                let name = self.nodes[from].name.clone();
                self.view(node).on_digest(now, &name, &digest)
            }
            FakeEvent::Pull {
                from,
                from_run,
                pull,
                request,
            } => {
                let answer = self.view(node).answer_pull(now, &request);
                let bytes = encoded_len(&answer) + HTTP_BYTES;
                self.nodes[node].sent_bytes += bytes;
                if let Some(delay) = self.link(node, from) {
                    let answer = Some(answer);
                    let event = FakeEvent::PullAnswer { pull, answer };
                    self.push(self.now + delay, from, Some(from_run), event);
                }
                return;
            }
            FakeEvent::PullAnswer { pull, answer } => {
                self.view(node).on_pull_answer(now, pull, answer.as_ref())
            }
            FakeEvent::HeadAnswer { call, answer } => match answer {
                Some(answer) => self.view(node).on_head(now, call, &answer),
                None => self.view(node).on_platform_failed(now, call),
            },
            FakeEvent::KeysAnswer { call, keys } => match keys {
                Some(keys) => self.view(node).on_keys(now, call, &keys),
                None => self.view(node).on_platform_failed(now, call),
            },
            FakeEvent::HeadRead { .. }
            | FakeEvent::KeysRead { .. }
            | FakeEvent::WatchEnd { .. } => {
                return;
            }
        };
        self.carry_out(node, actions);
    }

    fn view(&mut self, node: usize) -> &mut RevisionView {
        self.nodes[node].view.as_mut().unwrap()
    }

    /// A VM that is gone refuses connections.
    fn refuse_pull(&mut self, timed: Timed) {
        let FakeEvent::Pull {
            from,
            from_run,
            pull,
            ..
        } = timed.event
        else {
            return;
        };
        let event = FakeEvent::PullAnswer { pull, answer: None };
        self.push(self.now + NEAR_MS, from, Some(from_run), event);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<RevisionAction>) {
        let run = self.nodes[node].incarnation;
        for action in actions {
            match action {
                RevisionAction::Announce { to, digest } => {
                    let to = self.find(&to);
                    self.send_digest(node, to, digest, false, HTTP_BYTES);
                }
                RevisionAction::Pull { to, pull, request } => {
                    self.nodes[node].sent_bytes += encoded_len(&request) + HTTP_BYTES;
                    let to = self.find(&to);
                    if let Some(delay) = self.link(node, to) {
                        let event = FakeEvent::Pull {
                            from: node,
                            from_run: run,
                            pull,
                            request,
                        };
                        self.push(self.now + delay, to, None, event);
                    }
                }
                RevisionAction::ReadHead { call, index } => {
                    self.call_platform(node, FakeEvent::HeadRead { call, index });
                }
                RevisionAction::ReadKeys { call, scope } => {
                    self.call_platform(node, FakeEvent::KeysRead { call, scope });
                }
                RevisionAction::StopCall { call } => {
                    let is_stopped = |watch: &FakeWatch| watch.node == node && watch.call == call;
                    self.platform.watches.retain(|watch| !is_stopped(watch));
                }
                RevisionAction::Accepted { stamp, .. } => {
                    self.nodes[node].accepted.push((self.now, stamp));
                    self.nodes[node].accepted_in.push(run);
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

    fn find(&self, name: &NodeName) -> usize {
        name.as_str()[1..].parse().unwrap()
    }

    fn send_digest(
        &mut self,
        from: usize,
        to: usize,
        digest: RevisionDigest,
        is_probe: bool,
        overhead: u64,
    ) {
        self.nodes[from].sent_bytes += encoded_len(&digest) + overhead;
        if let Some(delay) = self.link(from, to) {
            let event = FakeEvent::Digest {
                from,
                digest,
                is_probe,
            };
            self.push(self.now + delay, to, None, event);
        }
    }

    /// Delay between two nodes; `None` if the message is lost.
    fn link(&mut self, from: usize, to: usize) -> Option<u64> {
        let (from, to) = (self.nodes[from].domain, self.nodes[to].domain);
        if self.is_cut(from, to) {
            return None;
        }
        let base = if from == to { NEAR_MS } else { FAR_MS };
        Some(base + self.rng.random_range(0..=1))
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let pairs = [(left, right), (right, left)];
        pairs.iter().any(|pair| self.cut_pairs.contains(pair))
    }

    fn gossip(&mut self, node: usize, run: Option<u32>) {
        let jitter = self.rng.random_range(0..=GOSSIP_MS / 5);
        let at = self.now + GOSSIP_MS - GOSSIP_MS / 10 + jitter;
        self.push(at, node, run, FakeEvent::Gossip);
        if !self.config.gossip {
            return;
        }
        let want_far = self.rng.random_range(0..4) == 0;
        let domain = self.nodes[node].domain;
        let peers = self.peers_of(node).into_iter();
        let peers = peers.filter(|peer| (self.nodes[*peer].domain != domain) == want_far);
        let peers: Vec<usize> = peers.collect();
        let Some(peer) = peers.into_iter().choose(&mut self.rng) else {
            return;
        };
        let now = ClockTime::new(self.now);
        let digest = self.view(node).digest(now);
        self.send_digest(node, peer, digest, true, 0);
    }

    /// Members that `node` lists: its own domain and a few links to each other one.
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
            let links = (0..FAR_LINKS.min(live.len())).map(|at| live[(start + at) % live.len()]);
            peers.extend(links);
        }
        peers
    }

    fn live_in(&self, domain: usize) -> Vec<usize> {
        let nodes = (domain..self.nodes.len()).step_by(self.config.domains);
        nodes.filter(|node| self.is_listed(*node)).collect()
    }

    fn is_listed(&self, node: usize) -> bool {
        let Some(since) = self.unreachable.get(&node) else {
            return self.nodes[node].incarnation > 0;
        };
        self.now - since < DETECT_MS
    }

    /// Tells one node what membership knows.
    fn inform(&mut self, node: usize) {
        if self.nodes[node].paused_until > self.now {
            self.unreachable.entry(node).or_insert(self.now);
            return;
        }
        if self.nodes[node].view.is_none() {
            return;
        }
        self.unreachable.remove(&node);
        let peer = |at: usize| {
            let entry = &self.nodes[at];
            FleetPeer::new(entry.name.clone(), domain_name(entry.domain))
        };
        let peers: Vec<_> = self.peers_of(node).into_iter().map(peer).collect();
        let is_reader = self.is_elected(node);
        let now = ClockTime::new(self.now);
        let mut actions = self.view(node).on_peers(now, &peers);
        if self.nodes[node].is_reader != is_reader {
            self.nodes[node].is_reader = is_reader;
            actions.extend(self.view(node).on_reader(now, is_reader));
        }
        self.carry_out(node, actions);
    }

    fn is_elected(&self, node: usize) -> bool {
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

    /// The readers of a domain as of now.
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
        let run = Some(self.nodes[node].incarnation);
        self.push(self.now + PLATFORM_MS, node, run, event);
    }

    fn platform_reaches(&self, node: usize) -> bool {
        !self.cut_platform.contains(&self.nodes[node].domain)
    }

    fn read_head(&mut self, node: usize, run: Option<u32>, call: u64, index: u64) {
        if !self.platform_reaches(node) {
            return;
        }
        let incarnation = run.unwrap_or_default();
        let watch = FakeWatch {
            node,
            incarnation,
            call,
            index,
        };
        let seen = self.platform.seen_by(self.nodes[node].domain).head().index;
        if self.platform.is_down || index == 0 || seen > index {
            return self.answer_head(watch);
        }
        self.platform.watches.push(watch);
        let wait = self.config.settings.watch_wait.as_millis();
        self.push(self.now + wait, node, run, FakeEvent::WatchEnd { call });
    }

    fn end_watch(&mut self, node: usize, run: Option<u32>, call: u64) {
        let is_same = |watch: &FakeWatch| {
            watch.node == node && watch.call == call && Some(watch.incarnation) == run
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
        self.push(self.now + PLATFORM_MS, node, Some(watch.incarnation), event);
    }

    fn read_keys(&mut self, node: usize, run: Option<u32>, call: u64, scope: &ReadScope) {
        if !self.platform_reaches(node) {
            return;
        }
        let keys = self.platform.seen_by(self.nodes[node].domain).read(scope);
        let bytes: usize = keys.iter().map(|key| key.text.len()).sum();
        self.nodes[node].platform_bytes += bytes as u64 + HTTP_BYTES;
        let keys = (!self.platform.is_down).then_some(keys);
        let event = FakeEvent::KeysAnswer { call, keys };
        self.push(self.now + PLATFORM_MS, node, run, event);
    }
}

fn domain_name(domain: usize) -> DomainName {
    format!("d{domain}").parse().unwrap()
}

fn encoded_len<T: Serialize>(message: &T) -> u64 {
    rmp_serde::to_vec(message).unwrap().len() as u64
}
