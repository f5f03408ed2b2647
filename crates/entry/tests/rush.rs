//! Load: many nodes with waiting calls when one engine gets room.

mod support;

use base::{ClockTime, TimeSpan};
use entry::{GrantTracker, LinePace, LoadOrigin, PeerLoads, PlaceChoice, PlaceReach, TargetBoard};
use support::{need, record};

const NODES: usize = 18;
const TICK_MS: u64 = 50;
/// Time for which all calls waited before there was room.
const WAIT_MS: u64 = 1_000;
/// Time until the others hear of a placement: the gap between pushes.
const NEWS_MS: u64 = 20;
/// Prompt of each call; an engine reads two of them within the time in which an answer has to begin.
const PROMPT: u64 = 3_000;

/// Prompts that wait at most before an engine that gets another.
const ROOM: usize = 2;

/// A node of the domain with one call that waits.
struct WaitingNode {
    board: TargetBoard,
    pace: LinePace,
    placed_at: Option<u64>,
}

/// Runs all nodes, which waited for some time, for a second after the engine got room; returns when
/// they placed their calls.
fn play(seed: u64, has_pace: bool) -> Vec<u64> {
    let mut nodes: Vec<_> = (0..NODES as u64)
        .map(|at| WaitingNode {
            board: support::board(&[record("e1", "patan")]),
            pace: LinePace::new(seed * 100 + at),
            placed_at: None,
        })
        .collect();
    let call = need(PROMPT, PROMPT);
    for ms in 0..WAIT_MS + 1_000 {
        let now = ClockTime::new(5_000 + ms);
        let heard: Vec<_> = nodes
            .iter()
            .map(|node| node.placed_at.is_some_and(|at| at + NEWS_MS <= ms))
            .collect();
        let rivals = nodes.iter().filter(|node| node.placed_at.is_none()).count();
        for (at, node) in nodes.iter_mut().enumerate() {
            // Nodes tick at different moments.
            if node.placed_at.is_some() || ms % TICK_MS != (at as u64 * 7 + seed) % TICK_MS {
                continue;
            }
            let others = (0..NODES).filter(|other| *other != at && heard[*other]);
            for other in others.collect::<Vec<_>>() {
                node.board.take_peer(PeerLoads {
                    origin: LoadOrigin::Node(format!("n{other}").parse().unwrap()),
                    heard_at: now,
                    told_at: now,
                    loads: vec![("e1".parse().unwrap(), call.load)],
                });
            }
            let turn = match has_pace {
                true => node.pace.take_turn(now, rivals - 1),
                false => Some(PlaceReach::Any),
            };
            let has_room = ms >= WAIT_MS;
            if has_room
                && turn.is_some()
                && matches!(node.board.place(now, &call), PlaceChoice::Target(_))
            {
                node.placed_at = Some(ms);
            }
        }
    }
    let placed = nodes.iter().filter_map(|node| node.placed_at);
    placed.map(|at| at - WAIT_MS).collect()
}

// Guards against all nodes that send their waiting calls to the first engine with room, where they
// wait behind all other prompts: turns keep two thirds of these calls in the line.
#[test]
fn waiting_nodes_do_not_rush_to_one_engine() {
    let beyond = |has_pace| {
        let placed = (0..10).map(|seed| play(seed, has_pace).len());
        placed.map(|count| count - ROOM).sum::<usize>()
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
        let mut placed = play(seed, true);
        placed.sort();
        assert!(placed.len() >= ROOM, "{placed:?}");
        let second = TimeSpan::new(placed[1]);
        assert!(second < TimeSpan::new(400), "{placed:?}");
    }
}

// Guards against the same rush when one node places for all: each placement counts from the grant
// on, before the node that asked has told its load, and counts once afterwards.
#[test]
fn a_desk_counts_what_it_granted() {
    let mut desk = support::board(&[record("e1", "patan")]);
    let mut ledger = GrantTracker::new(1);
    let call = need(PROMPT, PROMPT);
    let now = ClockTime::new(5_000);
    let mut granted = Vec::new();
    for at in 0..NODES {
        let PlaceChoice::Target(target) = desk.place(now, &call) else {
            continue;
        };
        let node = format!("n{at}").parse().unwrap();
        desk.add_granted(&target, call.load);
        granted.push(ledger.grant(now, node, target, call.load));
    }
    assert_eq!(granted.len(), ROOM);
    desk.take_peer(PeerLoads {
        origin: LoadOrigin::Node("n0".parse().unwrap()),
        heard_at: now,
        told_at: now,
        loads: vec![("e1".parse().unwrap(), call.load)],
    });
    desk.remove_granted(&ledger.confirm(&granted[..1]));
    assert_eq!(desk.targets()[0].total().calls, ROOM as u32);
    // The other answer was lost on the way.
    desk.remove_granted(&ledger.expire(now + TimeSpan::from_secs(1)));
    assert_eq!(desk.targets()[0].total().calls, 1);
}
