//! Safety mechanisms against outdated orders, each tested with the mechanism on and off.

mod support;

use base::{ClockTime, IncarnationNumber, TimeSpan};
use orders::{DomainReconciler, GuardSwitches, OrderOutcome, ReconcilerAction, ReconcilerSettings};
use support::{FakeFleet, FakeTarget, FleetShape, all_guards, guards_without};

/// An owner decides to unload version 1, is paused before it sends the order, and sends it after a
/// rollback to version 1 has unloaded version 2. Returns whether the target stopped serving at any
/// time, and the fleet.
fn send_late(guards: GuardSwitches, fencing: bool, pause: u64) -> (bool, FakeFleet) {
    let shape = FleetShape {
        fencing,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::with_loaded_version(&shape, guards, "1");
    fleet.declare(1, &shape);
    let pending = |fleet: &FakeFleet| fleet.pending_order("unload").is_some();
    fleet.expect_eventually(pending);
    let (owner, order) = fleet.pending_order("unload").unwrap();
    fleet.nodes[owner].skips_send_check = true;
    fleet.pause(owner, TimeSpan::from_secs(pause));
    let others: Vec<usize> = (0..3).filter(|at| *at != owner).collect();
    let declaration = shape.version("1").declare();
    fleet.declare_at(&others, 2, &declaration);
    let position = fleet
        .targets
        .iter()
        .position(|target| target.name == order.target);
    let position = position.unwrap();
    let mut stopped_serving = false;
    let end = fleet.now + TimeSpan::from_secs(pause + 40);
    while fleet.now < end {
        fleet.run(TimeSpan::new(50));
        stopped_serving |= !fleet.targets[position].serves();
    }
    fleet.declare_at(&[owner], 2, &declaration);
    fleet.run(TimeSpan::from_secs(20));
    (stopped_serving, fleet)
}

/// Guards against an order that was decided before a pause of its sender and, sent after the pause,
/// unloads the only version of the target.
#[test]
fn fencing_stops_an_order_sent_after_a_pause() {
    for pause in [10, 20, 60] {
        let (stopped_serving, fleet) = send_late(all_guards(), true, pause);
        assert!(!stopped_serving, "pause of {pause} s");
        fleet.expect_converged();
        let refused =
            |record: &support::OrderRecord| matches!(record.outcome, OrderOutcome::Refused(_));
        assert!(fleet.records.iter().any(refused));
        let off = guards_without(|guards| guards.fencing = false);
        let (stopped_serving, _) = send_late(off, true, pause);
        assert!(stopped_serving, "pause of {pause} s");
    }
}

/// Guards against a target without fencing that stays in the state that an outdated order left it
/// in.
#[test]
fn reconciliation_corrects_a_stale_order_at_a_target_without_fencing() {
    for pause in [1, 5, 20, 60] {
        let (_, fleet) = send_late(all_guards(), false, pause);
        assert!(fleet.all_serve("1"), "{}", fleet.report());
        assert!(fleet.converged(), "pause of {pause} s: {}", fleet.report());
        assert!(fleet.records.len() < 30, "{} orders", fleet.records.len());
    }
}

/// Guards against a node that, after a pause, sends orders by the revision and the view from before
/// the pause.
#[test]
fn no_order_follows_a_pause_before_a_fresh_view() {
    let shape = |role| FleetShape {
        fencing: false,
        role: Some(role),
        ..FleetShape::default()
    };
    let stale_orders = |guards, pause| {
        let mut fleet = FakeFleet::with_loaded_version(&shape("decode"), guards, "2");
        fleet.declare(1, &shape("decode"));
        fleet.run(TimeSpan::from_secs(8));
        // After the pause it takes some seconds until the node receives a list of live nodes.
        fleet.membership_steps = 60;
        let paused = fleet.owner("d0-e000");
        fleet.pause(paused, TimeSpan::from_secs(pause));
        let others: Vec<usize> = (0..3).filter(|at| *at != paused).collect();
        fleet.declare_at(&others, 2, &shape("prefill").declare());
        fleet.run(TimeSpan::from_secs(pause));
        let resumed = fleet.now;
        fleet.run(TimeSpan::from_secs(30));
        let name = fleet.nodes[paused].name.clone();
        fleet.accepted_since(resumed, |record| record.node == name)
    };
    let off = guards_without(|guards| guards.resume_rule = false);
    for pause in [1, 2, 10, 20, 40, 60] {
        assert_eq!(stale_orders(all_guards(), pause), 0, "pause of {pause} s");
    }
    let accepted: Vec<usize> = [20, 40, 60].map(|pause| stale_orders(off, pause)).to_vec();
    // Without the rule, whether a list arrives before the first tick depends on the moment at which
    // the pause ends, so only one of the pauses has to show stale orders.
    assert!(
        accepted.iter().any(|accepted| *accepted > 0),
        "{accepted:?}"
    );
}

/// Runs one reconciler with one target that loses version 2 after it was observed, and returns
/// whether the target serves the model until the end.
fn lose_after_observation(guards: GuardSwitches) -> bool {
    let shape = FleetShape {
        nodes: 1,
        targets: 1,
        fencing: false,
        ..FleetShape::default()
    };
    let (node, domain) = ("d0-n0".parse().unwrap(), "d0".parse().unwrap());
    let settings = ReconcilerSettings::new(node, IncarnationNumber(1), domain).with_guards(guards);
    let mut reconciler = DomainReconciler::new(settings, ClockTime::ZERO);
    let revision = base::RevisionNumber::new(1, 1);
    reconciler.on_declaration(ClockTime::ZERO, revision, &shape.declare());
    let (name, domain) = ("d0-e000".parse().unwrap(), "d0".parse().unwrap());
    let mut target = FakeTarget::new(name, domain, 4_000, false);
    target.add_version("1");
    target.add_version("2");
    let mut now = ClockTime::ZERO;
    let mut observed = target.actual(now);
    for step in 1..80_u64 {
        now += TimeSpan::new(250);
        reconciler.on_live_nodes(now, vec!["d0-n0".parse().unwrap()]);
        // Probes come every two seconds; another node unloads version 2 right after the third.
        if step % 8 == 0 {
            observed = target.actual(now);
        }
        if step == 16 {
            target
                .versions
                .retain(|entry| entry.version.as_str() == "1");
        }
        reconciler.on_actual_state(observed.clone());
        for action in reconciler.on_tick(now) {
            match action {
                ReconcilerAction::Probe(_) if step >= 16 => observed = target.actual(now),
                ReconcilerAction::Order(order) => {
                    let outcome = target.apply_order(now, &order);
                    reconciler.on_outcome(now, &order, &outcome);
                }
                _ => {}
            }
        }
        if !target.serves() {
            return false;
        }
    }
    true
}

/// Guards against an order based on an observation that was made before another node's order.
#[test]
fn target_is_probed_again_before_an_order() {
    let off = guards_without(|guards| guards.reprobe = false);
    assert!(lose_after_observation(all_guards()));
    assert!(!lose_after_observation(off));
}

/// For a minute, the two sides of a partition follow different revisions at targets without
/// fencing. Returns the number of orders accepted in that time, and the fleet.
fn run_conflicting_owners(guards: GuardSwitches) -> (usize, FakeFleet) {
    let shape = |role| FleetShape {
        nodes: 5,
        fencing: false,
        role: Some(role),
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::with_loaded_version(&shape("decode"), guards, "2");
    fleet.declare(1, &shape("decode"));
    fleet.run(TimeSpan::from_secs(10));
    fleet.expect_converged();
    fleet.split(&[0, 0, 0, 1, 1]);
    fleet.declare_at(&[3, 4], 2, &shape("prefill").declare());
    let start = fleet.now;
    fleet.run(TimeSpan::from_secs(60));
    let accepted = fleet.accepted_since(start, |_| true);
    fleet.split(&[0; 5]);
    (accepted, fleet)
}

/// Guards against two owners of a target that undo each other's orders without any delay.
#[test]
fn conflicting_owners_slow_down_and_the_older_revision_stops() {
    let (delayed, mut fleet) = run_conflicting_owners(all_guards());
    let off = guards_without(|guards| guards.backoff = false);
    let (undelayed, _) = run_conflicting_owners(off);
    assert!(delayed <= 6 * 2 * 10, "{delayed} orders");
    assert!(
        undelayed > 3 * delayed,
        "{undelayed} orders without back-off, {delayed} with it"
    );
    fleet.run(TimeSpan::from_secs(1));
    let healed = fleet.now;
    fleet.run(TimeSpan::from_secs(40));
    let is_outdated = |record: &support::OrderRecord| record.order.fencing.revision.index == 1;
    assert_eq!(fleet.accepted_since(healed, is_outdated), 0);
    fleet.declare_at(
        &[0, 1, 2],
        2,
        &FleetShape {
            nodes: 5,
            fencing: false,
            role: Some("prefill"),
            ..FleetShape::default()
        }
        .declare(),
    );
    fleet.run(TimeSpan::from_secs(40));
    fleet.expect_converged();
}
