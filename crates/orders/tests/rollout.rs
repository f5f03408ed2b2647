//! Rollouts on a fake fleet in virtual time.

mod support;

use base::TimeSpan;
use orders::RolloutState;
use support::{FakeFleet, FleetShape, all_guards, guards_without};

/// Guards against a rollout that reduces the capacity or leaves an old version loaded.
#[test]
fn all_targets_move_to_the_new_version() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    fleet.declare(1, &shape);
    fleet.expect_eventually(|fleet| fleet.all_serve("2"));
    fleet.run(TimeSpan::from_secs(5));
    fleet.expect_converged();
    assert_eq!(fleet.count_orders("load"), 6);
    assert_eq!(fleet.count_orders("unload"), 6);
    assert!(fleet.records.iter().all(|record| record.ready.1 == 6));
    let state = fleet.nodes[0].reconciler.rollout_state(fleet.now, "quill");
    assert_eq!(state, Some(RolloutState::Done));
}

/// Guards against an engine that can hold only one version and is never migrated, and against two
/// such engines that are out of service at the same time.
#[test]
fn engines_with_memory_for_one_version_are_swapped_one_at_a_time() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    fleet
        .targets
        .iter_mut()
        .for_each(|target| target.version_limit = 1);
    fleet.declare(1, &shape);
    fleet.expect_eventually(|fleet| fleet.all_serve("2"));
    assert!(fleet.shortfalls(5).is_empty());
    fleet.run(TimeSpan::from_secs(5));
    fleet.expect_converged();
}

/// Guards against a migration that an earlier owner left unfinished and that is never completed.
#[test]
fn unfinished_migration_is_completed() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::new(&shape, all_guards());
    for (at, target) in fleet.targets.iter_mut().enumerate() {
        if at < 4 {
            target.add_version("1");
        }
        if at > 2 {
            target.add_version("2");
        }
    }
    fleet.targets[4].add_version("0");
    fleet.targets[5].broken_versions.push("2".parse().unwrap());
    fleet.declare(1, &shape);
    fleet.expect_eventually(|fleet| fleet.all_serve("2"));
    assert_eq!(fleet.count_orders("load"), 3);
    assert!(fleet.shortfalls(6).is_empty());
}

/// Guards against roles and adapters that are not applied, or are ordered repeatedly.
#[test]
fn roles_and_adapters_follow_the_declaration() {
    let shape = FleetShape {
        adapters: "law, tax",
        role: Some("decode"),
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "2");
    fleet.declare(1, &shape);
    fleet.expect_eventually(FakeFleet::converged);
    assert_eq!(fleet.count_orders("load_adapter"), 12);
    assert_eq!(fleet.count_orders("set_role"), 6);
    let less = FleetShape {
        adapters: "tax",
        ..shape
    };
    fleet.declare(2, &less);
    fleet.run(TimeSpan::from_secs(20));
    fleet.expect_converged();
    assert_eq!(fleet.count_orders("unload_adapter"), 6);
    assert_eq!(fleet.records.len(), 24);
}

/// Guards against a broken version that is loaded on further targets, and against a rollout that
/// stays halted after another version was declared.
#[test]
fn broken_version_halts_its_rollout_until_another_revision() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    for target in &mut fleet.targets {
        target.broken_versions.push("2".parse().unwrap());
    }
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(60));
    assert_eq!(fleet.loaded_on("2"), 2);
    for node in &fleet.nodes {
        let state = node.reconciler.rollout_state(fleet.now, "quill");
        assert!(
            matches!(state, Some(RolloutState::Halted { .. })),
            "{state:?}"
        );
    }
    assert!(!fleet.converged());
    let text = fleet.report().to_string();
    assert!(
        text.contains("halted") && text.contains("weights are damaged"),
        "{text}"
    );
    assert!(fleet.targets.iter().all(|target| target.has("1")));
    let with_model = FleetShape {
        extra: "[model reed]\n".to_owned(),
        ..shape.clone()
    };
    fleet.declare(2, &with_model);
    fleet.run(TimeSpan::from_secs(30));
    assert_eq!(
        fleet.loaded_on("2"),
        2,
        "an unrelated change restarted the rollout"
    );
    fleet.declare(3, &shape.version("1"));
    fleet.run(TimeSpan::from_secs(20));
    fleet.expect_converged();
    assert!(fleet.all_serve("1"));
}

/// Guards against a halted rollout that is not tried again after the version was repaired and the
/// rollout changed.
#[test]
fn changed_rollout_is_tried_again() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    for target in &mut fleet.targets {
        target.broken_versions.push("2".parse().unwrap());
    }
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(60));
    fleet
        .targets
        .iter_mut()
        .for_each(|target| target.broken_versions.clear());
    fleet.declare(
        2,
        &FleetShape {
            failure_limit: 3,
            ..shape
        },
    );
    fleet.expect_eventually(|fleet| fleet.all_serve("2"));
}

/// Guards against a broken version that is loaded on all targets before the first failure is known.
#[test]
fn halt_rule_bounds_the_targets_of_a_broken_version() {
    let shape = FleetShape::default();
    let tried = |guards| {
        let mut fleet = FakeFleet::with_loaded_version(&shape, guards, "1");
        for target in &mut fleet.targets {
            target.broken_versions.push("2".parse().unwrap());
        }
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(90));
        fleet.loaded_on("2")
    };
    let off = guards_without(|guards| guards.halt_rule = false);
    assert_eq!(tried(all_guards()), 2);
    assert_eq!(tried(off), 6);
}

/// Guards against a swap that reduces the capacity below the minimum while other targets are down.
#[test]
fn capacity_rule_holds_while_targets_are_down() {
    let shape = FleetShape {
        targets: 4,
        least_capacity: 75,
        ..FleetShape::default()
    };
    let short = |guards| {
        let mut fleet = FakeFleet::with_loaded_version(&shape, guards, "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.version_limit = 1);
        fleet.targets[3].alive = false;
        fleet.declare(1, &shape);
        fleet.run(TimeSpan::from_secs(60));
        fleet.shortfalls(3).len()
    };
    let off = guards_without(|guards| guards.capacity_rule = false);
    assert_eq!(short(all_guards()), 0);
    assert!(short(off) > 0);
}

/// Guards against a target that restarts without any version and is not loaded again, or that is
/// taken for its earlier incarnation.
#[test]
fn restarted_target_gets_its_versions_again() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(6));
    fleet.targets[0].restart();
    fleet.targets[5].restart();
    fleet.expect_eventually(|fleet| fleet.all_serve("2"));
    fleet.targets[2].restart();
    fleet.run(TimeSpan::from_secs(20));
    fleet.expect_converged();
}

/// Guards against orders to a leaving target, and against a rollout that waits for it.
#[test]
fn leaving_target_gets_no_orders_and_holds_nothing_up() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
    fleet.targets[0].leaving = true;
    fleet.declare(1, &shape);
    let others = |fleet: &FakeFleet| fleet.targets[1..].iter().all(|target| target.has("2"));
    fleet.expect_eventually(others);
    let first = &fleet.targets[0].name;
    assert!(
        fleet
            .records
            .iter()
            .all(|record| record.order.target != *first)
    );
    assert!(fleet.report().to_string().contains("leaving"));
}

/// Guards against a model that is unloaded from one pool before the other pool serves it.
#[test]
fn moved_model_is_unloaded_from_its_old_pool_last() {
    let rollout = |pool: &str| FleetShape {
        version: "",
        least_capacity: 100,
        extra: format!(
            "[rollout quill]\nmodel = quill\nversion = 1\nleast_capacity = 100\ntargets = pool={pool}\n"
        ),
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::new(&rollout("even"), all_guards());
    for target in fleet.targets.iter_mut().step_by(2) {
        target.add_version("1");
    }
    fleet.declare(1, &rollout("even"));
    fleet.run(TimeSpan::from_secs(10));
    fleet.expect_converged();
    fleet.declare(2, &rollout("odd"));
    fleet.expect_eventually(FakeFleet::converged);
    assert!(fleet.shortfalls(3).is_empty());
    let odd = fleet.targets.iter().skip(1).step_by(2);
    assert!(odd.clone().all(|target| target.has("1")));
    assert_eq!(fleet.count_ready(0), 3);
}

/// Guards against a wave that begins before the previous wave serves the version, also if each node
/// probes only the targets that it owns.
#[test]
fn waves_follow_one_another() {
    for probe_all in [true, false] {
        let shape = FleetShape {
            targets: 10,
            least_capacity: 90,
            ..FleetShape::default()
        };
        let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "1");
        fleet.probe_all = probe_all;
        fleet.declare(1, &shape.version("1"));
        fleet.run(TimeSpan::from_secs(20));
        let paused = fleet.owner("d0-e000");
        assert_ne!(paused, fleet.coordinator());
        fleet.pause(paused, TimeSpan::from_secs(5));
        fleet.declare(2, &shape);
        let loads = |fleet: &FakeFleet| fleet.count_orders("load");
        for wave in 0..10 {
            fleet.expect_eventually(|fleet| loads(fleet) > wave);
            let earlier = &fleet.targets[..wave];
            assert!(
                earlier.iter().all(|target| target.has("2")),
                "{}",
                fleet.report()
            );
        }
        assert_eq!(loads(&fleet), 10);
    }
}

/// Guards against a report that counts as converged although a domain has not reported.
#[test]
fn silent_domain_has_not_converged() {
    let shape = FleetShape {
        domains: 2,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::with_loaded_version(&shape, all_guards(), "2");
    fleet.declare(1, &shape);
    fleet.run(TimeSpan::from_secs(10));
    let domains = ["d0", "d1"].map(|name| name.parse().unwrap());
    let half = fleet.nodes[0].reconciler.report(fleet.now);
    assert!(half.converged());
    let half = half.expect(domains.clone());
    assert!(!half.converged() && half.to_string().contains("no report from domain d1"));
    assert!(fleet.report().expect(domains).converged());
}

/// Guards against revisions that do not change a target but reset the count of its ineffective
/// loads, so that the rollout is never halted.
#[test]
fn unrelated_revisions_do_not_hide_a_version_that_never_fits() {
    let shape = FleetShape::default();
    let mut fleet = FakeFleet::new(&shape, all_guards());
    fleet
        .targets
        .iter_mut()
        .for_each(|target| target.version_limit = 0);
    for index in 1..60 {
        let extra = format!("[model m{index}]\n");
        let shape = shape.clone();
        fleet.declare(index, &FleetShape { extra, ..shape });
        fleet.run(TimeSpan::from_secs(5));
    }
    let text = fleet.report().to_string();
    assert!(text.contains("halted"), "{text}");
}
