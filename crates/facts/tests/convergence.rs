//! Convergence of the fact sets of many nodes that lose messages, are partitioned and restart.

use std::collections::BTreeSet;

use base::{ByteCount, ClockTime, TimeSpan};
use facts::{
    FactDigest, FactLimiter, FactRequest, FactResponse, FactSet, FactSync, FactValue, SharedFact,
    answer_fact_request,
};
use proptest::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Time between two rounds of synchronization.
const ROUND: TimeSpan = TimeSpan::new(250);
/// Number of failure domains.
const DOMAINS: usize = 6;
/// Number of placement coordinators in each domain; the other nodes of the domain synchronize with
/// them in turn.
const COORDINATORS: usize = 2;
/// Number of rounds after which a node that is no coordinator synchronizes with another domain.
const REMOTE_ROUNDS: u64 = 8;
/// Time within which all reachable nodes have the same facts.
const CONVERGENCE_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Bound on all control traffic of a node in bytes per second, as the users set it.
const CONTROL_BYTES: u64 = 11_000;
/// Largest burst in bytes above that bound, for requests sent and requests answered together.
const BURST_BYTES: u64 = 200_000;
/// Lifetime of a fact.
const LIFETIME: TimeSpan = TimeSpan::from_secs(60);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Closed(String);

impl SharedFact for Closed {
    fn lifetime(&self) -> TimeSpan {
        LIFETIME
    }
}

fn closed(number: u64) -> Closed {
    // As long as the encoded facts of gateways.
    Closed(format!("{number:070}"))
}

#[derive(Default)]
struct Node {
    set: FactSet<Closed>,
    sent_requests: FactLimiter,
    answered_requests: FactLimiter,
    bytes: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    now: ClockTime,
    round: u64,
    random: Pcg64,
    /// Probability that a message is lost.
    loss: f64,
    /// Domain that is cut off from the others.
    isolated: Option<usize>,
    /// Copies of exchange requests that are delivered again, much later.
    delayed: Vec<(usize, FactRequest<Closed>)>,
}

impl Fleet {
    fn new(count: usize, seed: u64, loss: f64) -> Self {
        Self {
            nodes: (0..count).map(|_| Node::default()).collect(),
            now: ClockTime::new(1_000),
            round: 0,
            random: Pcg64::seed_from_u64(seed),
            loss,
            isolated: None,
            delayed: Vec::new(),
        }
    }

    fn insert(&mut self, at: usize, number: u64) {
        let now = self.now;
        self.nodes[at].set.insert(now, closed(number));
    }

    /// Lets each node synchronize with the peers that it chooses in this round.
    fn run_round(&mut self) {
        self.round += 1;
        self.now += ROUND;
        for at in 0..self.nodes.len() {
            self.nodes[at].set.expire(self.now);
            for peer in self.peers_of(at) {
                self.synchronize(at, peer);
            }
        }
    }

    fn run(&mut self, span: TimeSpan) {
        for _ in 0..span.as_millis() / ROUND.as_millis() {
            self.run_round();
        }
    }

    /// Peers with which a node synchronizes in this round.
    ///
    /// Node `at` belongs to domain `at % DOMAINS`; the first nodes of a domain are its coordinators.
    fn peers_of(&mut self, at: usize) -> Vec<usize> {
        let domain = at % DOMAINS;
        let local: Vec<_> = (domain..self.nodes.len()).step_by(DOMAINS).collect();
        let turn = self.round as usize % COORDINATORS;
        let mut peers = vec![*local.choose(&mut self.random).unwrap(), local[turn]];
        let is_coordinator = at / DOMAINS < COORDINATORS;
        if is_coordinator {
            peers.extend(0..DOMAINS);
        } else if self.round.is_multiple_of(REMOTE_ROUNDS) {
            peers.push(self.random.random_range(0..DOMAINS));
        }
        peers.retain(|peer| *peer != at);
        peers
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (from % DOMAINS, to % DOMAINS);
        let is_partitioned = from != to
            && self
                .isolated
                .is_some_and(|domain| domain == from || domain == to);
        is_partitioned || self.random.random_bool(self.loss)
    }

    fn synchronize(&mut self, requester: usize, peer: usize) {
        let now = self.now;
        if self.is_lost(requester, peer) || self.is_lost(peer, requester) {
            return;
        }
        let digest = FactDigest::of(&self.nodes[peer].set, now);
        let node = &mut self.nodes[requester];
        if FactDigest::of(&node.set, now) == digest || !node.sent_requests.has_credit(now) {
            return;
        }
        let request = FactSync::compare(&node.set, now);
        let Some(FactResponse::Differs(buckets)) = self.send(requester, peer, request) else {
            return;
        };
        let Some(request) = FactSync::exchange(&self.nodes[requester].set, now, &buckets) else {
            return;
        };
        if self.random.random_bool(0.05) {
            self.delayed.push((peer, request.clone()));
        }
        let Some(FactResponse::Facts(facts)) = self.send(requester, peer, request) else {
            return;
        };
        for fact in facts {
            self.nodes[requester].set.merge(now, fact);
        }
    }

    fn send(
        &mut self,
        requester: usize,
        peer: usize,
        request: FactRequest<Closed>,
    ) -> Option<FactResponse<Closed>> {
        let now = self.now;
        let request_size = size_of(&request);
        self.charge(requester, request_size, true);
        if self.is_lost(requester, peer) || !self.nodes[peer].answered_requests.has_credit(now) {
            return None;
        }
        let (response, _) = answer_fact_request(&mut self.nodes[peer].set, now, request);
        let size = size_of(&response);
        self.charge(peer, size + request_size, false);
        if self.is_lost(peer, requester) {
            return None;
        }
        self.charge(requester, size, true);
        Some(response)
    }

    fn charge(&mut self, at: usize, bytes: u64, is_sender: bool) {
        let node = &mut self.nodes[at];
        node.bytes += bytes;
        let limiter = match is_sender {
            true => &mut node.sent_requests,
            false => &mut node.answered_requests,
        };
        limiter.charge(self.now, ByteCount(bytes));
    }

    fn redeliver_delayed(&mut self) {
        for (peer, request) in std::mem::take(&mut self.delayed) {
            answer_fact_request(&mut self.nodes[peer].set, self.now, request);
        }
    }

    fn known(&self, at: usize) -> BTreeSet<Closed> {
        self.nodes[at].set.facts().cloned().collect()
    }

    fn assert_converged(&self, facts: u64) {
        let all: BTreeSet<_> = (0..facts).map(closed).collect();
        for at in 0..self.nodes.len() {
            assert_eq!(self.known(at), all, "node {at}");
        }
    }
}

fn size_of(message: &impl Serialize) -> u64 {
    rmp_serde::to_vec(message).unwrap().len() as u64
}

// Guards against nodes that never receive a fact, and against more traffic than the users allow.
#[test]
fn three_hundred_nodes_converge_within_three_seconds() {
    let mut fleet = Fleet::new(300, 1, 0.02);
    for number in 0..40 {
        fleet.insert(number as usize * 7, number);
    }
    fleet.run(CONVERGENCE_TIME);
    fleet.assert_converged(40);
    for node in &fleet.nodes {
        let bound = CONTROL_BYTES * CONVERGENCE_TIME.as_secs_ceil() + BURST_BYTES;
        assert!(node.bytes < bound, "{} bytes", node.bytes);
    }
    let before: Vec<_> = fleet.nodes.iter().map(|node| node.bytes).collect();
    fleet.run(TimeSpan::from_secs(5));
    let after: Vec<_> = fleet.nodes.iter().map(|node| node.bytes).collect();
    assert_eq!(before, after, "nodes with equal sets exchange nothing");
}

// Guards against a steady stream of facts that takes more traffic than its limit.
#[test]
fn a_stream_of_facts_stays_within_the_traffic_limit() {
    const SECONDS: u64 = 30;
    let mut fleet = Fleet::new(60, 2, 0.0);
    for number in 0..SECONDS * 40 {
        fleet.insert(number as usize % 60, number);
        if number.is_multiple_of(10) {
            fleet.run_round();
        }
    }
    for node in &fleet.nodes {
        let bound = CONTROL_BYTES * SECONDS + BURST_BYTES;
        assert!(node.bytes < bound, "{} bytes", node.bytes);
        assert!(node.set.len() <= 512);
    }
}

// Guards against facts that never expire because nodes send them back and forth.
#[test]
fn facts_expire_on_all_nodes() {
    let mut fleet = Fleet::new(60, 3, 0.1);
    for number in 0..20 {
        fleet.insert(number as usize, number);
    }
    fleet.run(LIFETIME);
    fleet.run(TimeSpan::from_secs(3));
    fleet.assert_converged(0);
}

// Guards against a node that joins and serves without the facts of the others.
#[test]
fn a_node_that_joins_receives_a_full_set_at_once() {
    let mut fleet = Fleet::new(12, 4, 0.0);
    for number in 0..400 {
        fleet.insert(0, number);
    }
    let now = fleet.now;
    for fact in fleet.nodes[0].set.most_valuable(now, 400) {
        (1..12).for_each(|at| {
            fleet.nodes[at].set.merge(now, fact.clone());
        });
    }
    fleet.nodes[7] = Node::default();
    for _ in 0..12 {
        fleet.synchronize(7, 1);
    }
    fleet.assert_converged(400);
}

#[derive(Clone, Debug)]
enum Step {
    Insert(usize),
    Restart(usize),
    Isolate(usize),
    Heal,
    Redeliver,
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..36).prop_map(Step::Insert),
        1 => (0_usize..36).prop_map(Step::Restart),
        1 => (0..DOMAINS).prop_map(Step::Isolate),
        1 => Just(Step::Heal),
        1 => Just(Step::Redeliver),
        4 => (1_u64..8).prop_map(Step::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    // Guards against sequences of losses, partitions, restarts and delayed messages after which
    // nodes that reach one another keep different sets, or have a fact that no node observed.
    #[test]
    fn reachable_nodes_converge_after_any_faults(
        steps in prop::collection::vec(step(), 1..40),
        seed in any::<u64>(),
        loss in 0.0..0.3,
    ) {
        let mut fleet = Fleet::new(36, seed, loss);
        let mut inserted = BTreeSet::new();
        for step in steps {
            match step {
                Step::Insert(at) => {
                    let number = inserted.len() as u64;
                    inserted.insert(closed(number));
                    fleet.insert(at, number);
                }
                Step::Restart(at) => fleet.nodes[at] = Node::default(),
                Step::Isolate(domain) => fleet.isolated = Some(domain),
                Step::Heal => fleet.isolated = None,
                Step::Redeliver => fleet.redeliver_delayed(),
                Step::Run(rounds) => (0..rounds).for_each(|_| fleet.run_round()),
            }
        }
        fleet.isolated = None;
        fleet.loss = 0.02;
        // All facts that some node still has; a restart loses the facts that only that node had.
        let all = (0..36).flat_map(|at| fleet.known(at)).collect::<BTreeSet<_>>();
        prop_assert!(all.is_subset(&inserted));
        fleet.run(CONVERGENCE_TIME);
        for at in 0..36 {
            prop_assert_eq!(fleet.known(at), all.clone(), "node {}", at);
        }
    }
}

/// Fact that tells little unless another one about the same subject stands beside it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Sighting {
    subject: u32,
    observer: u32,
}

impl SharedFact for Sighting {
    fn lifetime(&self) -> TimeSpan {
        LIFETIME
    }

    fn value(&self, neighbors: [Option<&Self>; 2]) -> FactValue {
        let mut others = neighbors.into_iter().flatten();
        match others.any(|other| other.subject == self.subject) {
            true => FactValue::High,
            false => FactValue::Low,
        }
    }
}

// Guards against a full set that drops what tells most because it is oldest, and that sends it last.
#[test]
fn a_full_set_keeps_and_sends_first_what_tells_most() {
    let mut set = FactSet::default();
    let mut now = ClockTime::new(1_000);
    let pairs = (0..20_u32).flat_map(|subject| [0, 1].map(|observer| (subject, observer)));
    let single = (20..2_000).map(|subject| (subject, 0));
    for (subject, observer) in pairs.chain(single) {
        now += TimeSpan::new(10);
        set.insert(now, Sighting { subject, observer });
    }
    assert_eq!(set.len(), 512);
    let first = set.most_valuable(now, 40);
    assert!(first.iter().all(|sent| sent.fact.subject < 20));
    // The newest of the others are kept.
    let newest = Sighting {
        subject: 1_999,
        observer: 0,
    };
    assert!(set.contains(&newest));
}
