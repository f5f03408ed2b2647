//! Partitions, paused and killed owners, stale platforms and the rate of the weight store.

mod support;

use base::TimeSpan;
use orders::{BlockReason, GuardSwitches, OrderOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{FakeFleet, FleetShape, on, without};

fn wide(fencing: bool) -> FleetShape {
    FleetShape {
        nodes: 5,
        targets: 8,
        fencing,
        ..FleetShape::default()
    }
}

/// Guards against a partition in which one side goes on with an older revision after it healed,
/// and, with fencing, already while the partition lasts.
#[test]
fn older_orderer_stops_after_a_partition() {
    for fencing in [true, false] {
        let shape = wide(fencing);
        let mut fleet = FakeFleet::holding(&shape, on(), "1");
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(8));
        fleet.split(&[0, 0, 1, 1, 1]);
        fleet.declare_at(&[2, 3, 4], 2, &shape.version("3").declare());
        let moved = |fleet: &FakeFleet| fleet.all_serve("3");
        if fencing {
            fleet.expect_soon(moved);
        } else {
            fleet.run(TimeSpan::from_secs(60));
        }
        fleet.split(&[0; 5]);
        fleet.run(TimeSpan::from_secs(2));
        let healed = fleet.now;
        fleet.run(TimeSpan::from_secs(30));
        let old = |record: &support::OrderRecord| record.order.fencing.revision.index == 1;
        assert_eq!(fleet.taken_since(healed, old), 0, "fencing {fencing}");
        let report = fleet.nodes[0].board.report(fleet.now);
        let stopped = |row: &&orders::TargetRow| row.blocked == Some(BlockReason::NewerRevision);
        let mut owned = report.targets.iter().filter(|row| row.owned);
        assert!(owned.all(|row| stopped(&row)), "{report}");
        fleet.declare_at(&[0, 1], 2, &shape.version("3").declare());
        fleet.expect_soon(moved);
        fleet.run(TimeSpan::from_secs(20));
        fleet.expect_converged();
        assert!(fleet.shortfalls(4).is_empty());
    }
}

/// Guards against two orderers with equal revisions that both go on after the views merged.
#[test]
fn merged_view_leaves_one_owner() {
    for fencing in [true, false] {
        let shape = wide(fencing);
        let mut fleet = FakeFleet::holding(&shape, on(), "1");
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(5));
        fleet.split(&[0, 0, 1, 1, 1]);
        fleet.run(TimeSpan::from_secs(12));
        fleet.split(&[0; 5]);
        fleet.run(TimeSpan::from_secs(3));
        let healed = fleet.now;
        fleet.expect_soon(FakeFleet::converged);
        for target in &fleet.targets {
            let owns = |node: &&support::FakeNode| node.board.owns(&target.name);
            assert_eq!(fleet.nodes.iter().filter(owns).count(), 1);
        }
        let foreign = |record: &support::OrderRecord| {
            let owner = fleet.owner(record.order.target.as_str());
            fleet.nodes[owner].name != record.node
        };
        assert_eq!(fleet.taken_since(healed, foreign), 0);
        assert_eq!(fleet.count_orders("load"), 8, "a load was ordered twice");
    }
}

/// Guards against a rollout that stops when an owner or the loader dies in its middle.
#[test]
fn killed_owner_and_loader_are_replaced() {
    for room in [2, 1] {
        let shape = wide(true);
        let mut fleet = FakeFleet::holding(&shape, on(), "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.room = room);
        fleet.declare(1, &shape);
        let pending = |fleet: &FakeFleet| fleet.pending_order("load").is_some();
        fleet.expect_soon(pending);
        let (owner, _) = fleet.pending_order("load").unwrap();
        fleet.nodes[owner].alive = false;
        fleet.run(TimeSpan::from_secs(12));
        let loader = fleet.loader();
        fleet.nodes[loader].alive = false;
        fleet.expect_soon(|fleet| fleet.all_serve("2"));
        assert!(fleet.shortfalls(4).is_empty());
        assert!(fleet.peak_rate <= shape.rate);
    }
}

/// Guards against a pause of an owner or the loader, of any length, that disturbs a rollout.
#[test]
fn paused_nodes_resume_without_harm() {
    for (seed, pause) in [1_000, 2_500, 4_000, 7_000, 20_000, 60_000]
        .into_iter()
        .enumerate()
    {
        let shape = wide(seed % 2 == 0);
        let mut fleet = FakeFleet::holding(&shape, on(), "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.room = 1 + seed % 2);
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(9));
        let (owner, loader) = (fleet.owner("d0-e004"), fleet.loader());
        fleet.nodes[owner].late_writes = true;
        fleet.pause(owner, TimeSpan::new(pause));
        fleet.run(TimeSpan::from_secs(3));
        fleet.pause(loader, TimeSpan::new(pause));
        fleet.expect_soon(|fleet| fleet.all_serve("2"));
        assert!(fleet.shortfalls(4).is_empty(), "pause of {pause} ms");
        assert!(fleet.peak_rate <= shape.rate);
    }
}

/// Guards against a node with an older platform that orders what the newer revision took back.
#[test]
fn stale_platform_gives_no_orders() {
    let shape = wide(false);
    let mut fleet = FakeFleet::holding(&shape, on(), "1");
    fleet.declare_at(&[0, 1], 1, &shape.declare());
    fleet.declare_at(&[2, 3, 4], 2, &shape.version("3").declare());
    fleet.run(TimeSpan::from_secs(60));
    assert_eq!(fleet.loaded_on("2"), 0);
    fleet.declare_at(&[0, 1], 2, &shape.version("3").declare());
    fleet.expect_soon(|fleet| fleet.all_serve("3"));
    fleet.declare_at(&[0], 1, &shape.declare());
    fleet.run(TimeSpan::from_secs(10));
    assert_eq!(fleet.loaded_on("2"), 0);
    assert!(fleet.converged());
}

/// Three cuts of one domain, each with targets of its own; returns the peak rate and the limit.
fn cut_in_three(guards: GuardSwitches) -> (u64, u64) {
    let shape = FleetShape {
        nodes: 5,
        targets: 6,
        bytes: 40_000,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::new(&shape, guards);
    fleet.split(&[0, 0, 1, 2, 2]);
    fleet.reach = (0..6).map(|at| Some(at / 2)).collect();
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(60));
    (fleet.peak_rate, shape.rate)
}

/// Guards against a loader on each side of a partition.
#[test]
fn minority_grants_no_loads() {
    let off = without(|guards| guards.majority_rule = false);
    let (peak, _) = cut_in_three(on());
    assert_eq!(peak, 0);
    let (peak, limit) = cut_in_three(off);
    assert!(peak > limit, "{peak} of {limit}");
}

/// Guards against a sum of loads above the declared rate while nodes die, pause and are cut off,
/// targets restart and two domains load at once.
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
        let mut fleet = FakeFleet::new(&shape, on());
        let declaration = shape.declare();
        fleet.declare(1, &shape);
        for _ in 0..30 {
            let node = random.random_range(0..10);
            match random.random_range(0..6) {
                0 => fleet.nodes[node].alive = false,
                1 => {
                    let pause = random.random_range(1_000..60_000);
                    fleet.nodes[node].late_writes = random.random();
                    fleet.pause(node, TimeSpan::new(pause));
                }
                2 => {
                    let groups: Vec<u8> = (0..10).map(|_| random.random_range(0..2)).collect();
                    fleet.split(&groups);
                    fleet.reach = (0..12)
                        .map(|_| random.random_bool(0.5).then(|| random.random_range(0..2)))
                        .collect();
                }
                3 => {
                    fleet.split(&[0; 10]);
                    fleet.reach = vec![None; 12];
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
    let most = peaks.iter().max();
    assert!(most.is_some_and(|peak| *peak >= 4_000), "{peaks:?}");
}

/// Guards against orders whose repetition changes something.
#[test]
fn every_order_may_be_repeated() {
    let shape = FleetShape {
        adapters: "law",
        role: Some("prefill"),
        ..FleetShape::default()
    };
    let run = |twice| {
        let mut fleet = FakeFleet::holding(&shape, on(), "1");
        fleet.twice = twice;
        fleet.targets[1].room = 1;
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(60));
        fleet.expect_converged();
        let taken = fleet.records.iter().map(|record| {
            assert_eq!(record.outcome, OrderOutcome::Taken);
            (record.at, record.order.clone())
        });
        taken.collect::<Vec<_>>()
    };
    assert_eq!(run(true), run(false));
}
