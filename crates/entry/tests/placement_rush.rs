//! Many nodes with waiting calls when one engine gets room: placements must be spread over time.

mod support;

use base::{ClockTime, TimeSpan};
use entry::{
    GrantTracker, LoadBalancer, LoadOrigin, PeerLoads, PlacementDecision, PlacementPacer,
    PlacementScope,
};
use support::{record, request};

const NODES: usize = 18;
const TICK_MS: u64 = 50;
/// Time for which all calls wait before the engine has room.
const WAIT_MS: u64 = 1_000;
/// Time until the other nodes know of a placement: the interval between load reports.
const PROPAGATION_MS: u64 = 20;
/// Prompt tokens of each call; an engine prefills two such prompts within the time in which an
/// answer has to begin.
const PROMPT_TOKENS: u64 = 3_000;

/// Calls that can be placed on the engine before the prompts waiting there reach the prefill limit.
const CAPACITY: usize = 2;

/// A node of the domain with one waiting call.
struct WaitingNode {
    balancer: LoadBalancer,
    pacer: PlacementPacer,
    placed_at: Option<u64>,
}

/// Simulates all nodes until a second after the engine got room; returns how many milliseconds
/// after that each of them placed its call. Nodes only take turns if `is_paced`.
fn simulate(seed: u64, is_paced: bool) -> Vec<u64> {
    let mut nodes: Vec<_> = (0..NODES as u64)
        .map(|at| WaitingNode {
            balancer: support::balancer(&[record("e1", "patan")]),
            pacer: PlacementPacer::new(seed * 100 + at),
            placed_at: None,
        })
        .collect();
    let call = request(PROMPT_TOKENS, PROMPT_TOKENS);
    for ms in 0..WAIT_MS + 1_000 {
        let now = ClockTime::new(5_000 + ms);
        let is_known: Vec<_> = nodes
            .iter()
            .map(|node| node.placed_at.is_some_and(|at| at + PROPAGATION_MS <= ms))
            .collect();
        let rivals = nodes.iter().filter(|node| node.placed_at.is_none()).count();
        for (at, node) in nodes.iter_mut().enumerate() {
            // Nodes tick at different moments.
            if node.placed_at.is_some() || ms % TICK_MS != (at as u64 * 7 + seed) % TICK_MS {
                continue;
            }
            let others = (0..NODES).filter(|other| *other != at && is_known[*other]);
            for other in others.collect::<Vec<_>>() {
                node.balancer.apply_peer_loads(PeerLoads {
                    origin: LoadOrigin::Node(format!("n{other}").parse().unwrap()),
                    received_at: now,
                    sent_at: now,
                    loads: vec![("e1".parse().unwrap(), call.load)],
                });
            }
            let turn = match is_paced {
                true => node.pacer.take_turn(now, rivals - 1),
                false => Some(PlacementScope::AllDomains),
            };
            let has_room = ms >= WAIT_MS;
            if has_room
                && turn.is_some()
                && matches!(
                    node.balancer.choose_target(now, &call),
                    PlacementDecision::Target(_)
                )
            {
                node.placed_at = Some(ms);
            }
        }
    }
    let placed = nodes.iter().filter_map(|node| node.placed_at);
    placed.map(|at| at - WAIT_MS).collect()
}

// Guards against a rush of all nodes to the first engine with room, where their calls wait for
// prefill behind each other: turns must keep two thirds of the surplus calls in the queue.
#[test]
fn waiting_nodes_do_not_rush_to_one_engine() {
    let beyond = |is_paced| {
        let placed = (0..10).map(|seed| simulate(seed, is_paced).len());
        placed.map(|count| count - CAPACITY).sum::<usize>()
    };
    let (rush, paced) = (beyond(false), beyond(true));
    assert!(
        paced * 3 <= rush,
        "{paced} beyond room, {rush} without turns"
    );
}

// Guards against room that stays unused while calls wait.
#[test]
fn turns_fill_the_engine_in_time() {
    for seed in 0..10 {
        let mut placed = simulate(seed, true);
        placed.sort();
        assert!(placed.len() >= CAPACITY, "{placed:?}");
        let second = TimeSpan::new(placed[1]);
        assert!(second < TimeSpan::new(400), "{placed:?}");
    }
}

// Guards against the same rush when one node places the calls of all: each call must count from its
// grant on, before the node that asked has reported its load, and only once afterwards.
#[test]
fn a_coordinator_counts_what_it_granted() {
    let mut coordinator = support::balancer(&[record("e1", "patan")]);
    let mut ledger = GrantTracker::new(1);
    let call = request(PROMPT_TOKENS, PROMPT_TOKENS);
    let now = ClockTime::new(5_000);
    let mut granted = Vec::new();
    for at in 0..NODES {
        let PlacementDecision::Target(target) = coordinator.choose_target(now, &call) else {
            continue;
        };
        let node = format!("n{at}").parse().unwrap();
        coordinator.add_granted(&target, call.load);
        granted.push(ledger.grant(now, node, target, call.load));
    }
    assert_eq!(granted.len(), CAPACITY);
    coordinator.apply_peer_loads(PeerLoads {
        origin: LoadOrigin::Node("n0".parse().unwrap()),
        received_at: now,
        sent_at: now,
        loads: vec![("e1".parse().unwrap(), call.load)],
    });
    coordinator.remove_granted(&ledger.confirm(&granted[..1]));
    assert_eq!(coordinator.targets()[0].total().calls, CAPACITY as u32);
    // The other grant was lost on its way to the node that asked.
    coordinator.remove_granted(&ledger.expire(now + TimeSpan::from_secs(1)));
    assert_eq!(coordinator.targets()[0].total().calls, 1);
}
