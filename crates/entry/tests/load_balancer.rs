//! Choice of targets by the load balancer, and the load and changes that it tracks.

mod support;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName, TimeSpan};
use entry::{
    LeaseGuard, LoadBalancer, LoadOrigin, MoveSource, PeerLoads, PlacementDecision,
    PlacementRequest, TargetChanges, TargetLoad, TargetOutcome, TargetPhase, TargetRecord,
};
use proptest::prelude::*;
use support::{SPEC, balancer, record, request};

const NOW: ClockTime = ClockTime::new(2_000);

fn name(text: &str) -> TargetName {
    text.parse().unwrap()
}

fn chosen(decision: PlacementDecision) -> TargetName {
    match decision {
        PlacementDecision::Target(target) => target,
        other => panic!("expected a target, found {other:?}"),
    }
}

// Guards against generations placed in another failure domain without need, whose streams are lost
// when the domains are cut off from each other.
#[test]
fn prefers_the_own_domain() {
    let mut balancer = balancer(&[record("e1", "balaju"), record("e2", "patan")]);
    assert_eq!(
        chosen(balancer.choose_target(NOW, &request(3_000, 2_000))),
        name("e2")
    );
}

// Guards against calls that wait in the own domain while another one is idle.
#[test]
fn goes_to_another_domain_when_its_own_is_loaded() {
    let mut balancer = balancer(&[record("e1", "balaju"), record("e2", "patan")]);
    let call = request(4_000, 3_000);
    balancer.add_load(&name("e2"), call.load);
    assert_eq!(chosen(balancer.choose_target(NOW, &call)), name("e1"));
}

// Guards against preemptions on engines that peers filled: load that peers report counts like own
// load.
#[test]
fn counts_the_loads_of_peers() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    let node: NodeName = "n2".parse().unwrap();
    let load = TargetLoad {
        calls: 2,
        tokens: 8_000,
        prefill: 0,
        incoming: 0,
    };
    let received_at = NOW;
    let loads = vec![(name("e1"), load)];
    balancer.apply_peer_loads(PeerLoads {
        origin: LoadOrigin::Node(node),
        received_at,
        sent_at: received_at,
        loads,
    });
    assert_eq!(
        balancer.choose_target(NOW, &request(3_000, 2_000)),
        PlacementDecision::Full
    );
    balancer.on_tick(NOW + TimeSpan::from_secs(3));
    let later = NOW + TimeSpan::from_secs(3);
    assert_eq!(
        chosen(balancer.choose_target(later, &request(3_000, 2_000))),
        name("e1")
    );
}

// Guards against outdated loads: a report delayed on its way arrives after a newer one.
#[test]
fn older_report_of_a_peer_is_ignored() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    let mut report = |sent_at: u64, loads: Vec<(TargetName, TargetLoad)>| {
        balancer.apply_peer_loads(PeerLoads {
            origin: LoadOrigin::Node("n2".parse().unwrap()),
            received_at: NOW,
            sent_at: ClockTime::new(sent_at),
            loads,
        });
        balancer.target(&name("e1")).unwrap().peer_load.calls
    };
    let busy = vec![(name("e1"), request(1_000, 0).load)];
    assert_eq!(report(20, busy.clone()), 1);
    assert_eq!(report(40, Vec::new()), 0);
    assert_eq!(report(30, busy), 0);
}

// Guards against loads that count twice, or that are reported back to the domain that reported
// them.
#[test]
fn reports_to_a_domain_the_load_of_other_domains() {
    let mut balancer = balancer(&[record("e1", "patan"), record("e2", "balaju")]);
    let load = request(1_000, 0).load;
    balancer.add_load(&name("e1"), load);
    balancer.add_load(&name("e2"), load);
    let (balaju, thimi): (DomainName, DomainName) =
        ("balaju".parse().unwrap(), "thimi".parse().unwrap());
    for origin in [
        LoadOrigin::Domain(balaju.clone()),
        LoadOrigin::RemoteNode(balaju.clone(), "n3".parse().unwrap()),
        LoadOrigin::RemoteNode(thimi.clone(), "n4".parse().unwrap()),
        LoadOrigin::Node("n2".parse().unwrap()),
    ] {
        balancer.apply_peer_loads(PeerLoads {
            origin,
            received_at: NOW,
            sent_at: NOW,
            loads: vec![(name("e1"), load)],
        });
    }
    assert_eq!(balancer.target(&name("e1")).unwrap().total().calls, 4);
    let reported = |receiver: &str| balancer.domain_loads_for(&receiver.parse().unwrap());
    let calls = |count: u32| {
        let mut sum = TargetLoad::default();
        (0..count).for_each(|_| sum += load);
        vec![(name("e1"), sum)]
    };
    assert_eq!(reported("balaju"), calls(3));
    assert_eq!(reported("thimi"), calls(3));
    assert_eq!(reported("bhaktapur"), calls(4));
    assert_eq!(balancer.peer_loads(&name("e1")).len(), 3);
}

// Guards against calls to a target that leaves.
#[test]
fn sends_nothing_to_leaving_targets() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    let mut leaving = record("e1", "patan");
    leaving.is_leaving = true;
    let guard = LeaseGuard::default();
    let changes = balancer.update_records(NOW, vec![leaving.clone()], &guard);
    assert_eq!(changes.leaving, [name("e1")]);
    assert!(changes.ended.is_empty());
    assert_eq!(
        balancer.choose_target(NOW, &request(100, 100)),
        PlacementDecision::NoTarget
    );
    let again = balancer.update_records(NOW, vec![leaving], &guard);
    assert_eq!(again, TargetChanges::default());
}

// Guards against the loss of all targets when their records expire during an outage of the store,
// and against keeping a dead target for good.
#[test]
fn lapsed_targets_take_calls_until_their_time_is_over() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    let mut guard = LeaseGuard::default();
    guard.on_store_answer(NOW.saturating_sub(TimeSpan::from_secs(3)));
    guard.on_store_answer(NOW);
    let changes = balancer.update_records(NOW, Vec::new(), &guard);
    assert_eq!(changes, TargetChanges::default());
    assert_eq!(
        chosen(balancer.choose_target(NOW, &request(100, 100))),
        name("e1")
    );
    let later = NOW + TimeSpan::from_secs(3);
    let changes = balancer.on_tick(later);
    assert_eq!(changes.leaving, [name("e1")]);
    assert_eq!(changes.ended.len(), 1);
    assert_eq!(
        balancer.choose_target(later, &request(100, 100)),
        PlacementDecision::NoTarget
    );
}

// Guards against a restarted target that is mistaken for the earlier run under its name, which
// left.
#[test]
fn a_new_run_under_an_old_name_takes_calls() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    balancer.record_outcome(NOW, &name("e1"), TargetOutcome::Unreachable);
    balancer.mark_leaving(&name("e1"), record("e1", "patan").incarnation);
    let mut restarted = record("e1", "patan");
    restarted.incarnation = IncarnationNumber(2);
    balancer.update_records(NOW, vec![restarted], &LeaseGuard::default());
    assert_eq!(
        balancer.target(&name("e1")).unwrap().phase,
        TargetPhase::Ready
    );
    assert_eq!(
        chosen(balancer.choose_target(NOW, &request(100, 100))),
        name("e1")
    );
}

// Guards against calls that are sent to the same unreachable target again and again.
#[test]
fn pauses_unreachable_targets_and_avoids_them_afterwards() {
    let mut balancer = balancer(&[record("e1", "patan"), record("e2", "balaju")]);
    balancer.record_outcome(NOW, &name("e1"), TargetOutcome::Unreachable);
    let later = NOW + TimeSpan::from_secs(2);
    assert_eq!(
        chosen(balancer.choose_target(later, &request(100, 100))),
        name("e2")
    );
}

// Guards against a target that fails some of its calls although its health check succeeds.
#[test]
fn avoids_targets_that_fail_calls() {
    let mut records = [record("a1", "patan"), record("a2", "patan")];
    records.iter_mut().for_each(|one| one.slots = 6);
    let mut balancer = balancer(&records);
    for _ in 0..4 {
        balancer.record_outcome(NOW, &name("a1"), TargetOutcome::Failed);
        balancer.record_outcome(NOW, &name("a2"), TargetOutcome::Answered);
    }
    let call = PlacementRequest {
        engine: None,
        ..request(0, 0)
    };
    (0..20).for_each(|_| assert_eq!(chosen(balancer.choose_target(NOW, &call)), name("a2")));
}

proptest! {
    // Guards against more calls or tokens on an engine than it can hold, for any order of starts
    // and ends.
    #[test]
    fn engines_are_never_overfilled(steps in prop::collection::vec((0_u64..9_000, any::<bool>()), 1..60)) {
        let mut balancer = balancer(&[record("e1", "patan"), record("e2", "balaju")]);
        let mut placed = Vec::new();
        for (tokens, is_ending) in steps {
            if is_ending && !placed.is_empty() {
                let (target, load) = placed.remove(0);
                balancer.remove_load(&target, load);
                continue;
            }
            let call = request(tokens, tokens / 2);
            if let PlacementDecision::Target(target) = balancer.choose_target(NOW, &call) {
                balancer.add_load(&target, call.load);
                placed.push((target, call.load));
            }
            for state in balancer.targets() {
                prop_assert!(state.own_load.calls <= SPEC.slots);
                prop_assert!(state.own_load.calls <= 1 || state.own_load.tokens <= u64::from(SPEC.memory.0));
            }
        }
        for (target, load) in placed {
            balancer.remove_load(&target, load);
        }
        prop_assert!(balancer.own_loads().is_empty());
    }
}

// Guards against moves that wait for each other at the link of one engine, while their generations
// are stopped.
#[test]
fn moves_avoid_an_engine_that_takes_a_copy() {
    let mut balancer = balancer(&[record("e1", "patan"), record("e2", "patan")]);
    let mut moving = request(1_000, 0);
    moving.move_source = Some(move_source());
    moving.load.incoming = 1_000;
    let first = chosen(balancer.choose_target(NOW, &moving));
    balancer.add_load(&first, moving.load);
    for _ in 0..8 {
        assert_ne!(chosen(balancer.choose_target(NOW, &moving)), first);
    }
}

// Guards against engines of the own domain that seem empty because what nodes of other domains put
// there is known only from the reports of those domains.
#[test]
fn counts_the_load_of_remote_nodes_on_local_engines() {
    let mut balancer = balancer(&[record("e1", "patan"), record("e2", "balaju")]);
    let load = request(1_000, 0).load;
    for origin in [
        LoadOrigin::Domain("balaju".parse().unwrap()),
        LoadOrigin::RemoteNode("balaju".parse().unwrap(), "n3".parse().unwrap()),
        LoadOrigin::RemoteNode("balaju".parse().unwrap(), "n4".parse().unwrap()),
    ] {
        balancer.apply_peer_loads(PeerLoads {
            origin,
            received_at: NOW,
            sent_at: NOW,
            loads: vec![(name("e1"), load), (name("e2"), load)],
        });
    }
    let calls = |engine: &str| balancer.target(&name(engine)).unwrap().peer_load.calls;
    assert_eq!((calls("e1"), calls("e2")), (2, 1));
}

// Guards against calls that wait for prefill at one engine although another may be free sooner:
// they wait in the queue of the node instead. A generation may still be moved to that engine.
#[test]
fn places_no_call_on_an_engine_with_many_prompts_to_prefill() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    balancer.add_load(&name("e1"), request(2_000, 2_000).load);
    assert_eq!(
        chosen(balancer.choose_target(NOW, &request(2_000, 2_000))),
        name("e1")
    );
    balancer.add_load(&name("e1"), request(2_000, 2_000).load);
    assert_eq!(
        balancer.choose_target(NOW, &request(2_000, 2_000)),
        PlacementDecision::Full
    );
    let mut moving = request(2_000, 0);
    moving.move_source = Some(move_source());
    assert_eq!(chosen(balancer.choose_target(NOW, &moving)), name("e1"));
}

// Guards against calls placed on engines of other domains, whose load is known late, in a turn that
// is restricted to the own domain.
#[test]
fn calls_restricted_to_the_own_domain_stay_there() {
    let mut balancer = balancer(&[record("e1", "balaju")]);
    let mut call = request(1_000, 1_000);
    assert_eq!(chosen(balancer.choose_target(NOW, &call)), name("e1"));
    call.scope = entry::PlacementScope::OwnDomain;
    assert_eq!(balancer.choose_target(NOW, &call), PlacementDecision::Full);
}

/// A load report: number of its origin, when it was sent, and the calls on each of three engines.
type PeerReport = (usize, u64, [u32; 3]);

fn peer_loads((origin, sent_at, calls): PeerReport) -> PeerLoads {
    let origin = match origin {
        0 => LoadOrigin::Node("n1".parse().unwrap()),
        1 => LoadOrigin::Node("n2".parse().unwrap()),
        2 => LoadOrigin::RemoteNode("balaju".parse().unwrap(), "n3".parse().unwrap()),
        _ => LoadOrigin::Domain("balaju".parse().unwrap()),
    };
    let loads = calls
        .iter()
        .zip(["e1", "e2", "e3"])
        .filter(|(calls, _)| **calls > 0);
    let loads = loads.map(|(calls, engine)| {
        let mut load = request(1_000, 100).load;
        load.calls = *calls;
        (name(engine), load)
    });
    PeerLoads {
        origin,
        received_at: NOW,
        sent_at: ClockTime::new(sent_at),
        loads: loads.collect(),
    }
}

proptest! {
    // Guards against peer loads that drift from the latest reports: counts them report by report,
    // and compares with a complete recount.
    #[test]
    fn peer_loads_are_the_sums_of_the_latest_reports(
        reports in prop::collection::vec((0..4_usize, 0..20_u64, [0..3_u32, 0..3_u32, 0..3_u32]), 0..40),
    ) {
        // The third engine is registered after half of the reports have arrived.
        let records = [record("e1", "patan"), record("e2", "balaju"), record("e3", "patan")];
        let mut balancer = balancer(&records[..2]);
        for (at, report) in reports.iter().enumerate() {
            if at == reports.len() / 2 {
                balancer.update_records(NOW, records.to_vec(), &LeaseGuard::default());
            }
            balancer.apply_peer_loads(peer_loads(*report));
        }
        let counted: Vec<_> = balancer.targets().iter().map(|one| one.peer_load).collect();
        let listed: Vec<_> = balancer.targets().iter().map(|one| one.record.clone()).collect();
        balancer.update_records(NOW, listed, &LeaseGuard::default());
        let recounted: Vec<_> = balancer.targets().iter().map(|one| one.peer_load).collect();
        prop_assert_eq!(counted, recounted);
    }
}

fn move_source() -> MoveSource {
    MoveSource {
        target: name("e9"),
        domain: "patan".parse().unwrap(),
        produced: 0,
        full: Vec::new(),
    }
}

// Guards against many calls that each try a dead target anew once its pause is over, and against a
// target that stays avoided until its first long generation ends.
#[test]
fn an_unreachable_target_is_tried_by_one_call_until_it_responds() {
    let mut balancer = balancer(&[record("e1", "patan")]);
    let call = request(100, 100);
    balancer.record_outcome(NOW, &name("e1"), TargetOutcome::Unreachable);
    let later = NOW + TimeSpan::from_secs(2);
    assert_eq!(chosen(balancer.choose_target(later, &call)), name("e1"));
    assert_eq!(
        balancer.choose_target(later, &call),
        PlacementDecision::Full
    );
    balancer.record_outcome(later, &name("e1"), TargetOutcome::Responded);
    assert_eq!(chosen(balancer.choose_target(later, &call)), name("e1"));
    assert_eq!(chosen(balancer.choose_target(later, &call)), name("e1"));
}

// Guards against engines that leave together and copy to the same destination, whose link then
// queues, while others take no copy; and against moves to other domains before that.
#[test]
fn moves_spread_over_engines_that_take_no_copy() {
    let locals = ["e1", "e2", "e3", "e4"];
    let mut records: Vec<_> = locals.map(|name| record(name, "patan")).into();
    records.push(record("f1", "balaju"));
    let mut balancer = balancer(&records);
    for (name_text, tokens) in locals.into_iter().zip([1_000, 2_000, 3_000, 4_000]) {
        let load = TargetLoad {
            calls: 1,
            tokens,
            ..TargetLoad::default()
        };
        balancer.add_load(&name(name_text), load);
    }
    let load = TargetLoad {
        calls: 1,
        tokens: 3_000,
        prefill: 0,
        incoming: 3_000,
    };
    let mut used = Vec::new();
    for source in ["s1", "s2", "s3", "s1", "s2"] {
        let call = PlacementRequest {
            load,
            is_quick: false,
            move_source: Some(MoveSource {
                target: name(source),
                ..move_source()
            }),
            ..request(0, 0)
        };
        let target = chosen(balancer.choose_target(NOW, &call));
        balancer.add_granted(&target, load);
        used.push(target);
    }
    let far = used.pop();
    used.sort();
    assert_eq!(used, locals.map(name));
    assert_eq!(far, Some(name("f1")));
}

// Guards against calls to a target that asked for a backoff, after its entry lapsed and came back, or
// an older entry of its name was read; another run of the target asked for nothing.
#[test]
fn a_backoff_outlives_the_entry_of_its_run() {
    let listed = record("e1", "patan");
    let mut balancer = balancer(std::slice::from_ref(&listed));
    let guard = LeaseGuard::default();
    let later = NOW + TimeSpan::from_secs(2);
    balancer.start_backoff(NOW, &name("e1"), listed.incarnation, TimeSpan::from_secs(9));
    let left = |balancer: &LoadBalancer| {
        let found = balancer.target(&name("e1")).unwrap();
        found.backoff.left(later).map(|left| left.as_millis())
    };
    balancer.update_records(NOW, Vec::new(), &guard);
    assert!(balancer.target(&name("e1")).is_none());
    balancer.update_records(later, vec![listed.clone()], &guard);
    assert_eq!(left(&balancer), Some(7_000));
    let restarted = TargetRecord {
        incarnation: IncarnationNumber(listed.incarnation.0 + 1),
        ..listed.clone()
    };
    balancer.update_records(later, vec![restarted], &guard);
    assert_eq!(left(&balancer), None);
    balancer.update_records(later, vec![listed.clone()], &guard);
    assert_eq!(left(&balancer), Some(7_000));
}

// Guards against a backoff that is lost because the entry lapsed before the response arrived.
#[test]
fn a_backoff_of_a_run_that_is_not_listed_is_kept() {
    let listed = record("e1", "patan");
    let mut balancer = balancer(&[]);
    balancer.start_backoff(NOW, &name("e1"), listed.incarnation, TimeSpan::from_secs(9));
    balancer.update_records(NOW, vec![listed], &LeaseGuard::default());
    let found = balancer.target(&name("e1")).unwrap();
    assert_eq!(found.backoff.left(NOW), Some(TimeSpan::from_secs(9)));
}
