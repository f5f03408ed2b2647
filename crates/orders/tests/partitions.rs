//! Partitions, paused and killed nodes, nodes with an outdated declaration, and the weight rate.

mod support;

use base::TimeSpan;
use orders::{BlockReason, GuardSwitches, OrderOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{FakeFleet, FleetShape, all_guards, guards_without};

/// Shape of a fleet with five nodes and eight targets.
fn five_nodes(fencing: bool) -> FleetShape {
    FleetShape {
        nodes: 5,
        targets: 8,
        fencing,
        ..FleetShape::default()
    }
}

/// Guards against nodes that still send orders of an older revision after a partition has healed.
/// With fencing, their orders must have no effect even during the partition.
#[test]
fn outdated_owner_stops_after_a_partition() {
    for fencing in [true, false] {
        let shape = five_nodes(fencing);
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(8));
        fleet.split(&[0, 0, 1, 1, 1]);
        fleet.declare_at(&[2, 3, 4], 2, &shape.version("3").declare());
        let all_moved = |fleet: &FakeFleet| fleet.all_serve("3");
        if fencing {
            fleet.expect_eventually(all_moved);
        } else {
            fleet.run(TimeSpan::from_secs(60));
        }
        fleet.split(&[0; 5]);
        fleet.run(TimeSpan::from_secs(2));
        let healed = fleet.now;
        fleet.run(TimeSpan::from_secs(30));
        let is_outdated = |record: &support::OrderRecord| record.order.fencing.revision.index == 1;
        assert_eq!(
            fleet.accepted_since(healed, is_outdated),
            0,
            "fencing {fencing}"
        );
        let report = fleet.nodes[0].reconciler.report(fleet.now);
        let stopped = |row: &&orders::TargetRow| row.blocked == Some(BlockReason::NewerRevision);
        let mut owned = report.targets.iter().filter(|row| row.owned);
        assert!(owned.all(|row| stopped(&row)), "{report}");
        fleet.declare_at(&[0, 1], 2, &shape.version("3").declare());
        fleet.expect_eventually(all_moved);
        fleet.run(TimeSpan::from_secs(20));
        fleet.expect_converged();
        assert!(fleet.shortfalls(4).is_empty());
    }
}

/// Guards against two nodes that both act as the owner of a target after a partition between nodes
/// with the same revision has healed.
#[test]
fn merged_view_leaves_one_owner() {
    for fencing in [true, false] {
        let shape = five_nodes(fencing);
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(5));
        fleet.split(&[0, 0, 1, 1, 1]);
        fleet.run(TimeSpan::from_secs(12));
        fleet.split(&[0; 5]);
        fleet.run(TimeSpan::from_secs(3));
        let healed = fleet.now;
        fleet.expect_eventually(FakeFleet::converged);
        for target in &fleet.targets {
            let owns = |node: &&support::FakeNode| node.reconciler.owns(&target.name);
            assert_eq!(fleet.nodes.iter().filter(owns).count(), 1);
        }
        let is_not_from_owner = |record: &support::OrderRecord| {
            let owner = fleet.owner(record.order.target.as_str());
            fleet.nodes[owner].name != record.node
        };
        assert_eq!(fleet.accepted_since(healed, is_not_from_owner), 0);
        assert_eq!(fleet.count_orders("load"), 8, "a load was ordered twice");
    }
}

/// Guards against a rollout that stops when an owner or the permit coordinator dies during it.
#[test]
fn killed_owner_and_coordinator_are_replaced() {
    for version_limit in [2, 1] {
        let shape = five_nodes(true);
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.version_limit = version_limit);
        fleet.declare(1, &shape);
        let pending = |fleet: &FakeFleet| fleet.pending_order("load").is_some();
        fleet.expect_eventually(pending);
        let (owner, _) = fleet.pending_order("load").unwrap();
        fleet.nodes[owner].alive = false;
        fleet.run(TimeSpan::from_secs(12));
        let coordinator = fleet.coordinator();
        fleet.nodes[coordinator].alive = false;
        fleet.expect_eventually(|fleet| fleet.all_serve("2"));
        assert!(fleet.shortfalls(4).is_empty());
        assert!(fleet.peak_rate <= shape.rate);
    }
}

/// Guards against a pause of an owner or the permit coordinator, of any length, that disturbs a
/// rollout.
#[test]
fn paused_nodes_resume_without_harm() {
    for (seed, pause) in [1_000, 2_500, 4_000, 7_000, 20_000, 60_000]
        .into_iter()
        .enumerate()
    {
        let shape = five_nodes(seed % 2 == 0);
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.version_limit = 1 + seed % 2);
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(9));
        let (owner, coordinator) = (fleet.owner("d0-e004"), fleet.coordinator());
        fleet.nodes[owner].skips_send_check = true;
        fleet.pause(owner, TimeSpan::new(pause));
        fleet.run(TimeSpan::from_secs(3));
        fleet.pause(coordinator, TimeSpan::new(pause));
        fleet.expect_eventually(|fleet| fleet.all_serve("2"));
        assert!(fleet.shortfalls(4).is_empty(), "pause of {pause} ms");
        assert!(fleet.peak_rate <= shape.rate);
    }
}

/// Guards against nodes that still follow an older revision and load a version that the newer
/// revision no longer wants.
#[test]
fn nodes_with_an_older_revision_send_no_orders() {
    let shape = five_nodes(false);
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    fleet.declare_at(&[0, 1], 1, &shape.declare());
    fleet.declare_at(&[2, 3, 4], 2, &shape.version("3").declare());
    fleet.run(TimeSpan::from_secs(60));
    assert_eq!(fleet.loaded_on("2"), 0);
    fleet.declare_at(&[0, 1], 2, &shape.version("3").declare());
    fleet.expect_eventually(|fleet| fleet.all_serve("3"));
    fleet.declare_at(&[0], 1, &shape.declare());
    fleet.run(TimeSpan::from_secs(10));
    assert_eq!(fleet.loaded_on("2"), 0);
    assert!(fleet.converged());
}

/// Splits the nodes of one domain into three groups, each of which reaches targets of its own.
/// Returns the peak rate and the limit.
fn run_three_way_split(guards: GuardSwitches) -> (u64, u64) {
    let shape = FleetShape {
        nodes: 5,
        targets: 6,
        bytes: 40_000,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::new(&shape, guards);
    fleet.split(&[0, 0, 1, 2, 2]);
    fleet.reaching_group = (0..6).map(|at| Some(at / 2)).collect();
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(60));
    (fleet.peak_rate, shape.rate)
}

/// Guards against a permit coordinator on each side of a partition.
#[test]
fn minority_grants_no_loads() {
    let off = guards_without(|guards| guards.majority_rule = false);
    let (peak, _) = run_three_way_split(all_guards());
    assert_eq!(peak, 0);
    let (peak, limit) = run_three_way_split(off);
    assert!(peak > limit, "{peak} of {limit}");
}

/// Guards against loads whose rates add up to more than the declared rate while nodes die, pause or
/// are partitioned, targets restart and two domains load at the same time.
#[test]
fn weight_rate_is_kept_through_random_faults() {
    let mut peaks = Vec::new();
    for seed in 1..=40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let shape = FleetShape {
            domains: 2,
            nodes: 5,
            targets: 6,
            bytes: 12_000,
            fencing: seed % 2 == 0,
            ..FleetShape::default()
        };
        let mut fleet = FakeFleet::new(&shape, all_guards());
        let declaration = shape.declare();
        fleet.declare(1, &shape);
        for _ in 0..30 {
            let node = random.random_range(0..10);
            match random.random_range(0..6) {
                0 => fleet.nodes[node].alive = false,
                1 => {
                    let pause = random.random_range(1_000..60_000);
                    fleet.nodes[node].skips_send_check = random.random();
                    fleet.pause(node, TimeSpan::new(pause));
                }
                2 => {
                    let groups: Vec<u8> = (0..10).map(|_| random.random_range(0..2)).collect();
                    fleet.split(&groups);
                    fleet.reaching_group = (0..12)
                        .map(|_| random.random_bool(0.5).then(|| random.random_range(0..2)))
                        .collect();
                }
                3 => {
                    fleet.split(&[0; 10]);
                    fleet.reaching_group = vec![None; 12];
                }
                4 => fleet.targets[random.random_range(0..12)].restart(),
                _ => fleet.restart_node(node, 1, &declaration),
            }
            let span = random.random_range(500..15_000);
            fleet.run(TimeSpan::new(span));
        }
        peaks.push(fleet.peak_rate);
        assert!(
            fleet.peak_rate <= shape.rate,
            "seed {seed}: {}",
            fleet.peak_rate
        );
    }
    let highest = peaks.iter().max();
    assert!(highest.is_some_and(|peak| *peak >= 4_000), "{peaks:?}");
}

/// Guards against orders that are not idempotent: delivering each order twice must not change the
/// orders or their outcomes.
#[test]
fn repeating_an_order_has_no_effect() {
    let shape = FleetShape {
        adapters: "law",
        role: Some("prefill"),
        ..FleetShape::default()
    };
    let run = |duplicate_orders| {
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet.duplicate_orders = duplicate_orders;
        fleet.targets[1].version_limit = 1;
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(60));
        fleet.expect_converged();
        let accepted = fleet.records.iter().map(|record| {
            assert_eq!(record.outcome, OrderOutcome::Accepted);
            (record.at, record.order.clone())
        });
        accepted.collect::<Vec<_>>()
    };
    assert_eq!(run(true), run(false));
}
