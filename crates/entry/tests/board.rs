//! Choice of targets.

mod support;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName, TimeSpan};
use entry::{
    BoardChanges, LeaseGuard, LoadOrigin, LoadSum, MoveSource, PeerLoads, PlaceChoice, PlaceNeed,
    TargetOutcome, TargetPhase,
};
use proptest::prelude::*;
use support::{SPEC, board, need, record};

const NOW: ClockTime = ClockTime::new(2_000);

fn name(text: &str) -> TargetName {
    text.parse().unwrap()
}

fn chosen(choice: PlaceChoice) -> TargetName {
    match choice {
        PlaceChoice::Target(target) => target,
        other => panic!("expected a target, found {other:?}"),
    }
}

// Guards against streams that are lost with a cut between failure domains without need.
#[test]
fn prefers_the_own_domain() {
    let mut board = board(&[record("e1", "balaju"), record("e2", "patan")]);
    assert_eq!(chosen(board.place(NOW, &need(3_000, 2_000))), name("e2"));
}

// Guards against a queue in the own domain while another one is idle.
#[test]
fn goes_to_another_domain_when_its_own_is_loaded() {
    let mut board = board(&[record("e1", "balaju"), record("e2", "patan")]);
    let call = need(4_000, 3_000);
    board.add(&name("e2"), call.load);
    assert_eq!(chosen(board.place(NOW, &call)), name("e1"));
}

// Guards against preemptions: what peers have in flight counts like own calls.
#[test]
fn counts_the_loads_of_peers() {
    let mut board = board(&[record("e1", "patan")]);
    let node: NodeName = "n2".parse().unwrap();
    let load = LoadSum {
        calls: 2,
        tokens: 8_000,
        prefill: 0,
        incoming: 0,
    };
    let heard_at = NOW;
    let loads = vec![(name("e1"), load)];
    board.take_peer(PeerLoads {
        origin: LoadOrigin::Node(node),
        heard_at,
        told_at: heard_at,
        loads,
    });
    assert_eq!(board.place(NOW, &need(3_000, 2_000)), PlaceChoice::Full);
    board.on_tick(NOW + TimeSpan::from_secs(3));
    let later = NOW + TimeSpan::from_secs(3);
    assert_eq!(chosen(board.place(later, &need(3_000, 2_000))), name("e1"));
}

// Guards against loads that an exchange under way brings back after newer ones arrived.
#[test]
fn older_word_of_a_peer_is_ignored() {
    let mut board = board(&[record("e1", "patan")]);
    let mut tell = |told_at: u64, loads: Vec<(TargetName, LoadSum)>| {
        board.take_peer(PeerLoads {
            origin: LoadOrigin::Node("n2".parse().unwrap()),
            heard_at: NOW,
            told_at: ClockTime::new(told_at),
            loads,
        });
        board.target(&name("e1")).unwrap().peers.calls
    };
    let busy = vec![(name("e1"), need(1_000, 0).load)];
    assert_eq!(tell(20, busy.clone()), 1);
    assert_eq!(tell(40, Vec::new()), 0);
    assert_eq!(tell(30, busy), 0);
}

// Guards against loads that count twice, or that are told back to the domain that told them.
#[test]
fn tells_a_domain_what_others_put_on_its_engines() {
    let mut board = board(&[record("e1", "patan"), record("e2", "balaju")]);
    let load = need(1_000, 0).load;
    board.add(&name("e1"), load);
    board.add(&name("e2"), load);
    let (balaju, thimi): (DomainName, DomainName) =
        ("balaju".parse().unwrap(), "thimi".parse().unwrap());
    for origin in [
        LoadOrigin::Domain(balaju.clone()),
        LoadOrigin::FarNode(balaju.clone(), "n3".parse().unwrap()),
        LoadOrigin::FarNode(thimi.clone(), "n4".parse().unwrap()),
        LoadOrigin::Node("n2".parse().unwrap()),
    ] {
        board.take_peer(PeerLoads {
            origin,
            heard_at: NOW,
            told_at: NOW,
            loads: vec![(name("e1"), load)],
        });
    }
    assert_eq!(board.target(&name("e1")).unwrap().total().calls, 4);
    let told = |receiver: &str| board.sums_for(&receiver.parse().unwrap());
    let calls = |count: u32| {
        let mut sum = LoadSum::default();
        (0..count).for_each(|_| sum += load);
        vec![(name("e1"), sum)]
    };
    assert_eq!(told("balaju"), calls(3));
    assert_eq!(told("thimi"), calls(3));
    assert_eq!(told("bhaktapur"), calls(4));
    assert_eq!(board.peer_loads(&name("e1")).len(), 3);
}

// Guards against calls to a target that leaves.
#[test]
fn sends_nothing_to_leaving_targets() {
    let mut board = board(&[record("e1", "patan")]);
    let mut leaving = record("e1", "patan");
    leaving.is_leaving = true;
    let guard = LeaseGuard::default();
    let told = board.take_records(NOW, vec![leaving.clone()], &guard);
    assert_eq!(told.leaving, [name("e1")]);
    assert!(told.ended.is_empty());
    assert_eq!(board.place(NOW, &need(100, 100)), PlaceChoice::Absent);
    let again = board.take_records(NOW, vec![leaving], &guard);
    assert_eq!(again, BoardChanges::default());
}

// Guards against the loss of all targets after an outage, and against keeping a dead one for good.
#[test]
fn lapsed_targets_take_calls_until_their_time_is_over() {
    let mut board = board(&[record("e1", "patan")]);
    let mut guard = LeaseGuard::default();
    guard.on_store_lost();
    guard.on_store_regained(NOW);
    let changes = board.take_records(NOW, Vec::new(), &guard);
    assert_eq!(changes, BoardChanges::default());
    assert_eq!(chosen(board.place(NOW, &need(100, 100))), name("e1"));
    let later = NOW + TimeSpan::from_secs(3);
    let changes = board.on_tick(later);
    assert_eq!(changes.leaving, [name("e1")]);
    assert_eq!(changes.ended.len(), 1);
    assert_eq!(board.place(later, &need(100, 100)), PlaceChoice::Absent);
}

// Guards against taking a restarted target for the one that left under its name.
#[test]
fn a_new_run_under_an_old_name_takes_calls() {
    let mut board = board(&[record("e1", "patan")]);
    board.note(NOW, &name("e1"), TargetOutcome::Unreachable);
    board.mark_leaving(&name("e1"), record("e1", "patan").incarnation);
    let mut reborn = record("e1", "patan");
    reborn.incarnation = IncarnationNumber(2);
    board.take_records(NOW, vec![reborn], &LeaseGuard::default());
    assert_eq!(board.target(&name("e1")).unwrap().phase, TargetPhase::Ready);
    assert_eq!(chosen(board.place(NOW, &need(100, 100))), name("e1"));
}

// Guards against a call that meets the same unreachable target again and again.
#[test]
fn pauses_unreachable_targets_and_avoids_them_afterwards() {
    let mut board = board(&[record("e1", "patan"), record("e2", "balaju")]);
    board.note(NOW, &name("e1"), TargetOutcome::Unreachable);
    let later = NOW + TimeSpan::from_secs(2);
    assert_eq!(chosen(board.place(later, &need(100, 100))), name("e2"));
}

// Guards against a target that fails part of its calls while its health answer is good.
#[test]
fn avoids_targets_that_fail_calls() {
    let mut records = [record("a1", "patan"), record("a2", "patan")];
    records.iter_mut().for_each(|one| one.slots = 6);
    let mut board = board(&records);
    for _ in 0..4 {
        board.note(NOW, &name("a1"), TargetOutcome::Failed);
        board.note(NOW, &name("a2"), TargetOutcome::Answered);
    }
    let call = PlaceNeed {
        engine: None,
        ..need(0, 0)
    };
    (0..20).for_each(|_| assert_eq!(chosen(board.place(NOW, &call)), name("a2")));
}

proptest! {
    // Guards against more calls or tokens on an engine than it holds, whatever comes and goes.
    #[test]
    fn engines_are_never_overfilled(steps in prop::collection::vec((0_u64..9_000, any::<bool>()), 1..60)) {
        let mut board = board(&[record("e1", "patan"), record("e2", "balaju")]);
        let mut placed = Vec::new();
        for (tokens, is_ending) in steps {
            if is_ending && !placed.is_empty() {
                let (target, load) = placed.remove(0);
                board.remove(&target, load);
                continue;
            }
            let call = need(tokens, tokens / 2);
            if let PlaceChoice::Target(target) = board.place(NOW, &call) {
                board.add(&target, call.load);
                placed.push((target, call.load));
            }
            for state in board.targets() {
                prop_assert!(state.own.calls <= SPEC.slots);
                prop_assert!(state.own.calls <= 1 || state.own.tokens <= u64::from(SPEC.memory.0));
            }
        }
        for (target, load) in placed {
            board.remove(&target, load);
        }
        prop_assert!(board.own_loads().is_empty());
    }
}

// Guards against moves that queue on the link of one engine, which stand still for the queue.
#[test]
fn moves_avoid_an_engine_that_takes_a_copy() {
    let mut board = board(&[record("e1", "patan"), record("e2", "patan")]);
    let mut moving = need(1_000, 0);
    moving.moves_from = Some(move_source());
    moving.load.incoming = 1_000;
    let first = chosen(board.place(NOW, &moving));
    board.add(&first, moving.load);
    for _ in 0..8 {
        assert_ne!(chosen(board.place(NOW, &moving)), first);
    }
}

// Guards against engines of the own domain that look empty since only the sums of other domains
// tell what their nodes put there.
#[test]
fn counts_what_far_nodes_put_on_near_engines() {
    let mut board = board(&[record("e1", "patan"), record("e2", "balaju")]);
    let load = need(1_000, 0).load;
    for origin in [
        LoadOrigin::Domain("balaju".parse().unwrap()),
        LoadOrigin::FarNode("balaju".parse().unwrap(), "n3".parse().unwrap()),
        LoadOrigin::FarNode("balaju".parse().unwrap(), "n4".parse().unwrap()),
    ] {
        board.take_peer(PeerLoads {
            origin,
            heard_at: NOW,
            told_at: NOW,
            loads: vec![(name("e1"), load), (name("e2"), load)],
        });
    }
    let calls = |engine: &str| board.target(&name(engine)).unwrap().peers.calls;
    assert_eq!((calls("e1"), calls("e2")), (2, 1));
}

// Guards against calls that are bound to one engine while prompts before it take longer than those
// before others: they wait at the node instead, and their generation may still move there.
#[test]
fn waits_where_many_prompts_are_to_be_read() {
    let mut board = board(&[record("e1", "patan")]);
    board.add(&name("e1"), need(2_000, 2_000).load);
    assert_eq!(chosen(board.place(NOW, &need(2_000, 2_000))), name("e1"));
    board.add(&name("e1"), need(2_000, 2_000).load);
    assert_eq!(board.place(NOW, &need(2_000, 2_000)), PlaceChoice::Full);
    let mut moving = need(2_000, 0);
    moving.moves_from = Some(move_source());
    assert_eq!(chosen(board.place(NOW, &moving)), name("e1"));
}

// Guards against turns of the line that send calls to engines whose load is known late.
#[test]
fn near_calls_stay_in_the_domain() {
    let mut board = board(&[record("e1", "balaju")]);
    let mut call = need(1_000, 1_000);
    assert_eq!(chosen(board.place(NOW, &call)), name("e1"));
    call.reach = entry::PlaceReach::Near;
    assert_eq!(board.place(NOW, &call), PlaceChoice::Full);
}

/// One word of a peer: whose, when it was said, and the load of a call on each of three engines.
type PeerWord = (usize, u64, [u32; 3]);

fn peer_word((origin, told_at, calls): PeerWord) -> PeerLoads {
    let origin = match origin {
        0 => LoadOrigin::Node("n1".parse().unwrap()),
        1 => LoadOrigin::Node("n2".parse().unwrap()),
        2 => LoadOrigin::FarNode("balaju".parse().unwrap(), "n3".parse().unwrap()),
        _ => LoadOrigin::Domain("balaju".parse().unwrap()),
    };
    let loads = calls
        .iter()
        .zip(["e1", "e2", "e3"])
        .filter(|(calls, _)| **calls > 0);
    let loads = loads.map(|(calls, engine)| {
        let mut load = need(1_000, 100).load;
        load.calls = *calls;
        (name(engine), load)
    });
    PeerLoads {
        origin,
        heard_at: NOW,
        told_at: ClockTime::new(told_at),
        loads: loads.collect(),
    }
}

proptest! {
    // Guards against sums that drift from what peers said last: counted word by word, and all anew.
    #[test]
    fn sums_are_what_peers_said_last(
        words in prop::collection::vec((0..4_usize, 0..20_u64, [0..3_u32, 0..3_u32, 0..3_u32]), 0..40),
    ) {
        // The third engine appears when half of the words were heard.
        let records = [record("e1", "patan"), record("e2", "balaju"), record("e3", "patan")];
        let mut board = board(&records[..2]);
        for (at, word) in words.iter().enumerate() {
            if at == words.len() / 2 {
                board.take_records(NOW, records.to_vec(), &LeaseGuard::default());
            }
            board.take_peer(peer_word(*word));
        }
        let counted: Vec<_> = board.targets().iter().map(|one| one.peers).collect();
        let listed: Vec<_> = board.targets().iter().map(|one| one.record.clone()).collect();
        board.take_records(NOW, listed, &LeaseGuard::default());
        let anew: Vec<_> = board.targets().iter().map(|one| one.peers).collect();
        prop_assert_eq!(counted, anew);
    }
}

fn move_source() -> MoveSource {
    MoveSource {
        target: name("e9"),
        domain: "patan".parse().unwrap(),
    }
}
