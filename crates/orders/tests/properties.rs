//! Properties under random events with fixed seeds, and a comparison with a naive reconciler.

mod support;

use base::{ClockTime, IncarnationNumber, RevisionNumber, TimeSpan};
use orders::{
    ActualState, DomainReconciler, FencingNumber, GuardSwitches, LoadState, LoadedVersion,
    NeededStep, OrderOutcome, ReconcilerAction, ReconcilerSettings, RolloutState,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{FakeFleet, FleetShape, NaiveEvent, NaiveReconciler, all_guards, guards_without};

const VERSIONS: [&str; 3] = ["1", "2", "3"];
/// Time within which every node notices that a target went down.
const NOTICE_TIME: TimeSpan = TimeSpan::from_secs(6);

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[derive(Clone, Debug)]
enum FaultEvent {
    Declare(usize),
    StopTarget(usize),
    RestartTarget(usize),
    Leave(usize),
    PauseNode(usize, u64),
    KillNode(usize),
    RestartNode(usize),
    Split(Vec<u8>),
    Heal,
}

fn any_fault() -> impl Strategy<Value = FaultEvent> {
    prop_oneof![
        3 => (0..3_usize).prop_map(FaultEvent::Declare),
        1 => (0..8_usize).prop_map(FaultEvent::StopTarget),
        1 => (0..8_usize).prop_map(FaultEvent::RestartTarget),
        1 => (0..8_usize).prop_map(FaultEvent::Leave),
        2 => (0..5_usize, 1_000..60_000_u64).prop_map(|(at, pause)| FaultEvent::PauseNode(at, pause)),
        1 => (0..5_usize).prop_map(FaultEvent::KillNode),
        2 => (0..5_usize).prop_map(FaultEvent::RestartNode),
        1 => proptest::collection::vec(0..2_u8, 5).prop_map(FaultEvent::Split),
        1 => Just(FaultEvent::Heal),
    ]
}

/// Guards against orders that reduce the ready targets of a domain below the declared minimum.
///
/// The rule cannot prevent an order that was decided before its node noticed that another target
/// went down. Orders within [`NOTICE_TIME`] after such a loss are therefore accepted.
#[test]
fn capacity_never_falls_below_the_minimum_by_an_order() {
    check_capacity(all_guards(), 96).unwrap();
    let off = guards_without(|guards| guards.capacity_rule = false);
    let failure = check_capacity(off, 96).unwrap_err();
    assert!(failure.contains("OrderRecord"), "{failure}");
}

fn check_capacity(guards: GuardSwitches, cases: u32) -> Result<(), String> {
    let strategy = (
        proptest::collection::vec((any_fault(), 200..20_000_u64), 1..24),
        1..3_usize,
        any::<bool>(),
    );
    let result = runner(cases).run(&strategy, |(events, version_limit, fencing)| {
        let shape = FleetShape {
            nodes: 5,
            targets: 8,
            fencing,
            ..FleetShape::default()
        };
        let mut fleet = FakeFleet::with_loaded_version(&shape, guards, "1");
        fleet
            .targets
            .iter_mut()
            .for_each(|target| target.version_limit = version_limit);
        let mut index = 1;
        let mut current = shape.clone();
        fleet.declare(index, &current);
        let mut losses = Vec::new();
        for (event, span) in events {
            match event {
                FaultEvent::Declare(at) => {
                    index += 1;
                    current = shape.version(VERSIONS[at]);
                    fleet.declare(index, &current);
                }
                FaultEvent::StopTarget(at) => {
                    fleet.targets[at].alive = false;
                    losses.push(fleet.now);
                }
                FaultEvent::RestartTarget(at) => {
                    fleet.targets[at].restart();
                    losses.push(fleet.now);
                }
                FaultEvent::Leave(at) => {
                    fleet.targets[at].leaving = true;
                    losses.push(fleet.now);
                }
                FaultEvent::PauseNode(at, pause) => fleet.pause(at, TimeSpan::new(pause)),
                FaultEvent::KillNode(at) => fleet.nodes[at].alive = false,
                FaultEvent::RestartNode(at) => fleet.restart_node(at, index, &current.declare()),
                FaultEvent::Split(groups) => fleet.split(&groups),
                FaultEvent::Heal => fleet.split(&[0; 5]),
            }
            fleet.run(TimeSpan::new(span));
        }
        let recent = |at: ClockTime| {
            losses
                .iter()
                .any(|loss| at >= *loss && at - *loss < NOTICE_TIME)
        };
        for record in fleet.shortfalls(4) {
            prop_assert!(recent(record.at), "{record:?}");
        }
        prop_assert!(fleet.peak_rate <= shape.rate);
        Ok(())
    });
    result.map_err(|failure| failure.to_string())
}

/// Guards against fencing numbers whose texts sort differently from their values.
#[test]
fn fencing_texts_sort_like_the_numbers() {
    let number = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>());
    let result = runner(512).run(&(number, number), |(left, right)| {
        let [left, right] = [left, right].map(|(epoch, index, time, run)| {
            let revision = RevisionNumber::new(epoch % 3, index >> (index % 64));
            FencingNumber::new(revision, time >> (time % 64), IncarnationNumber(run))
        });
        prop_assert_eq!(left.cmp(&right), left.to_string().cmp(&right.to_string()));
        prop_assert_eq!(left.to_string().parse(), Ok(left));
        Ok(())
    });
    result.unwrap();
}

fn random_shape(random: &mut Pcg64Mcg) -> FleetShape {
    let roles = [None, Some("decode"), Some("mixed")];
    let second = [
        "",
        "[model reed]\n[rollout reed]\nmodel = reed\nversion = 1\nadapters = tax\ntargets = pool=even\n",
        "[model reed]\n[rollout reed]\nmodel = reed\nversion = 2\nadapters =\ntargets = pool=odd\n",
    ];
    FleetShape {
        nodes: 1,
        targets: 4,
        version: VERSIONS[random.random_range(0..3)],
        adapters: ["", "law", "law, tax"][random.random_range(0..3)],
        role: roles[random.random_range(0..3)],
        extra: second[random.random_range(0..3)].to_owned(),
        ..FleetShape::default()
    }
}

fn random_actual(random: &mut Pcg64Mcg, at: usize, now: ClockTime, run: u64) -> ActualState {
    let name = format!("d0-e00{at}").parse().unwrap();
    let mut actual = ActualState::new(name, IncarnationNumber(run), now);
    actual.leaving = random.random_bool(0.05);
    actual.role = [None, Some("decode"), Some("mixed")][random.random_range(0..3)]
        .map(|role| role.parse().unwrap());
    for model in ["quill", "reed"] {
        for version in VERSIONS {
            let state = match random.random_range(0..16) {
                0..6 => LoadState::Ready,
                6 => LoadState::Loading,
                7 => LoadState::memory_full("pages are needed"),
                8 if random.random_bool(0.4) => LoadState::failed("weights are damaged"),
                _ => continue,
            };
            let (model, version) = (model.parse().unwrap(), version.parse().unwrap());
            let mut entry = LoadedVersion::new(model, version, state);
            if entry.is_ready() {
                let adapters = ["law", "tax"].into_iter().filter(|_| random.random());
                entry.adapters = adapters.map(|name| name.parse().unwrap()).collect();
            }
            actual.versions.push(entry);
        }
    }
    actual
}

/// Guards against plans and caches that lead to other decisions than a scan of the whole history.
#[test]
fn reconciler_decides_like_the_naive_reconciler() {
    let orders = (1..=60).map(|seed| compare_steps(seed, false).unwrap());
    let orders: u32 = orders.sum();
    assert!(orders > 1_000, "{orders} orders");
    let detected = (1..=60).filter_map(|seed| compare_steps(seed, true).err());
    assert!(
        detected.count() > 0,
        "a deliberate difference is not detected"
    );
}

/// Compares all steps of one run. With `ignore_halts` the naive reconciler ignores halted rollouts,
/// which is a deliberate difference that the comparison has to detect.
fn compare_steps(seed: u64, ignore_halts: bool) -> Result<u32, String> {
    let mut orders = 0;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (node, domain) = ("d0-n0".parse().unwrap(), "d0".parse().unwrap());
    let settings = ReconcilerSettings::new(node, IncarnationNumber(1), domain);
    let mut reconciler = DomainReconciler::new(settings, ClockTime::ZERO);
    let mut naive = NaiveReconciler::default();
    let mut runs = [1_u64; 4];
    let mut now = ClockTime::ZERO;
    let mut index = 0;
    for tick in 0..240 {
        now += TimeSpan::new(250);
        reconciler.on_live_nodes(now, vec!["d0-n0".parse().unwrap()]);
        if index == 0 || random.random_bool(0.02) {
            index += 1;
            let fleet = random_shape(&mut random).declare();
            reconciler.on_declaration(now, RevisionNumber::new(1, index), &fleet);
            naive.events.push(NaiveEvent::Declared(fleet));
        }
        for (at, run) in runs.iter_mut().enumerate() {
            // States are kept for several ticks, so that orders are sent after the second probe.
            let old = naive.events.iter().rev().find_map(|event| match event {
                NaiveEvent::Observed(actual)
                    if actual.target.as_str().ends_with(&at.to_string()) =>
                {
                    Some(actual.clone())
                }
                _ => None,
            });
            *run += u64::from(random.random_bool(0.01));
            let actual = match old {
                Some(old) if random.random_bool(0.9) => ActualState {
                    observed_at: now,
                    incarnation: IncarnationNumber(*run),
                    ..old
                },
                _ => random_actual(&mut random, at, now, *run),
            };
            reconciler.on_actual_state(actual.clone());
            naive.events.push(NaiveEvent::Observed(actual));
        }
        let halted = |reconciler: &DomainReconciler| {
            if ignore_halts {
                return Vec::new();
            }
            let names = ["quill", "reed"].into_iter().filter(|name| {
                let state = reconciler.rollout_state(now, name);
                matches!(state, Some(RolloutState::Halted { .. }))
            });
            names.collect::<Vec<_>>()
        };
        let names = (0..4).map(|at| format!("d0-e00{at}").parse().unwrap());
        let names: Vec<base::TargetName> = names.collect();
        let before = halted(&reconciler);
        let expected = |halted: &[&str], naive: &NaiveReconciler| {
            let steps = names
                .iter()
                .map(|name| naive.next_step(name, |rollout| halted.contains(&rollout)));
            steps.collect::<Vec<_>>()
        };
        let steps_before = expected(&before, &naive);
        let actions = reconciler.on_tick(now);
        let after = halted(&reconciler);
        let steps_after = expected(&after, &naive);
        for action in actions {
            let ReconcilerAction::Order(order) = action else {
                continue;
            };
            let at = names.iter().position(|name| *name == order.target).unwrap();
            let same = |step: &Option<NeededStep>| matches!(step, Some(NeededStep::Order(action, _, _)) if *action == order.action);
            if !same(&steps_before[at]) && !same(&steps_after[at]) {
                return Err(format!("seed {seed} tick {tick}: {order}"));
            }
            orders += 1;
            naive.events.push(NaiveEvent::Ordered(
                order.target.clone(),
                order.action.clone(),
            ));
            reconciler.on_outcome(now, &order, &OrderOutcome::Accepted);
        }
        let steps = expected(&after, &naive);
        for (name, step) in names.iter().zip(steps) {
            let found = reconciler.next_step(name);
            if found != step {
                let text = format!("seed {seed} tick {tick} {name}: {found:?}, naive {step:?}");
                return Err(text);
            }
        }
    }
    Ok(orders)
}
