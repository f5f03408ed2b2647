//! State of targets: learned from any source, spread in time, never reverted by outdated records.

mod support;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use member::{MemberAction, ObservationSource, TargetObservation, TargetState};
use support::FakeNetwork;
use yare::parameterized;

/// Time within which every node of the domain learns that a target is leaving.
const MAX_LEAVE_TIME: TimeSpan = TimeSpan::new(3_000);

fn observation(run: Option<u64>, state: TargetState, health: bool) -> TargetObservation {
    let source = if health {
        ObservationSource::HealthCheck
    } else {
        ObservationSource::Platform
    };
    TargetObservation {
        target: "quill-1".parse().unwrap(),
        domain: "balaju0".parse().unwrap(),
        incarnation: run.map(IncarnationNumber),
        state,
        source,
    }
}

fn state(network: &FakeNetwork, at: usize) -> Option<(u64, TargetState)> {
    let target: TargetName = "quill-1".parse().unwrap();
    let domain = "balaju0".parse().unwrap();
    let view = network.nodes[at].table().target(&domain, &target)?;
    Some((view.incarnation.0, view.state))
}

/// First time that a node's table reported the target in a state.
fn reported_at(network: &FakeNetwork, at: usize, wanted: TargetState) -> Option<ClockTime> {
    let reported = network.reported.iter().find(|(_, by, action)| {
        matches!(action, MemberAction::TargetChanged { state, .. }
            if *by == at && *state == wanted)
    });
    reported.map(|(time, ..)| *time)
}

/// Guards against new work for a leaving target after the bound, whichever source reports it first.
#[parameterized(
    small_health = { 8, true }, small_platform = { 8, false },
    large_health = { 26, true }, large_platform = { 26, false },
)]
fn leaving_target_is_known_to_the_domain_in_time(count: usize, health: bool) {
    for seed in 100..105 {
        let mut network = FakeNetwork::converged(1, count, seed);
        network.observe(0, &observation(Some(7), TargetState::Alive, true));
        network.run(40_000);
        let start = network.now;
        let run = health.then_some(7);
        network.observe(1, &observation(run, TargetState::Leaving, health));
        network.run(MAX_LEAVE_TIME.as_millis());
        for at in 0..count {
            let time = reported_at(&network, at, TargetState::Leaving);
            let time = time.unwrap_or_else(|| panic!("seed {seed}: {at} does not know"));
            assert!(time - start <= MAX_LEAVE_TIME);
        }
    }
}

/// Guards against a drain that is lost when the only node that observed it dies or its messages are
/// lost.
#[test]
fn leaving_target_survives_the_death_of_its_observer() {
    for seed in 110..115 {
        let mut network = FakeNetwork::converged(1, 8, seed);
        network.observe(1, &observation(Some(7), TargetState::Reclaimed, true));
        network.run(100);
        network.kill(1);
        network.block_between(&[0], &[2, 3, 4]);
        network.run(MAX_LEAVE_TIME.as_millis());
        for at in (0..8).filter(|at| *at != 1) {
            assert_eq!(
                state(&network, at),
                Some((7, TargetState::Reclaimed)),
                "seed {seed}"
            );
        }
    }
}

/// Guards against failover that sends work to a leaving target of another domain.
#[test]
fn leaving_target_is_known_in_other_domains() {
    let mut network = FakeNetwork::converged(4, 4, 120);
    network.observe(1, &observation(Some(7), TargetState::Leaving, true));
    network.run(8_000);
    for at in 0..16 {
        assert_eq!(state(&network, at), Some((7, TargetState::Leaving)));
    }
}

/// Guards against outdated observations that make a drained or replaced run available again.
#[test]
fn outdated_observations_never_win() {
    let mut network = FakeNetwork::converged(1, 4, 121);
    let observe_and_read = |network: &mut FakeNetwork, at, run, observed, health| {
        network.observe(at, &observation(run, observed, health));
        network.run(5_000);
        state(network, 3).unwrap()
    };
    use TargetState::{Alive, Dead, Leaving, Reclaimed};
    assert_eq!(
        observe_and_read(&mut network, 0, Some(7), Alive, true),
        (7, Alive)
    );
    assert_eq!(
        observe_and_read(&mut network, 1, Some(7), Leaving, true),
        (7, Leaving)
    );
    assert_eq!(
        observe_and_read(&mut network, 2, Some(7), Alive, true),
        (7, Leaving),
        "outdated answer"
    );
    assert_eq!(
        observe_and_read(&mut network, 2, Some(7), Dead, true),
        (7, Dead)
    );
    assert_eq!(
        observe_and_read(&mut network, 0, None, Alive, false),
        (7, Dead),
        "outdated list"
    );
    assert_eq!(
        observe_and_read(&mut network, 0, Some(7), Alive, true),
        (7, Leaving),
        "was only unreachable"
    );
    assert_eq!(
        observe_and_read(&mut network, 1, Some(8), Alive, true),
        (8, Alive)
    );
    assert_eq!(
        observe_and_read(&mut network, 2, None, Leaving, false),
        (8, Alive),
        "outdated list"
    );
    assert_eq!(
        observe_and_read(&mut network, 2, Some(7), Reclaimed, true),
        (8, Alive),
        "outdated rumour"
    );
    assert_eq!(
        observe_and_read(&mut network, 2, None, Dead, false),
        (8, Alive),
        "outdated list"
    );
}

/// Guards against a drain, learned before the run is known, that the target's first answer would
/// revert.
#[test]
fn drain_of_an_unknown_run_holds_for_the_run_seen_first() {
    let mut network = FakeNetwork::converged(1, 4, 122);
    network.observe(0, &observation(None, TargetState::Leaving, false));
    network.run(3_000);
    network.observe(2, &observation(Some(7), TargetState::Alive, true));
    network.run(3_000);
    for at in 0..4 {
        assert_eq!(state(&network, at), Some((7, TargetState::Leaving)));
    }
}

/// Guards against tables that grow with undeclared targets.
#[test]
fn undeclared_target_is_not_held() {
    let mut network = FakeNetwork::converged(1, 4, 123);
    network.observe(0, &observation(Some(7), TargetState::Leaving, true));
    network.run(3_000);
    for at in 0..4 {
        let now = network.now;
        let table = network.nodes[at].table.as_mut().unwrap();
        table.on_declared_targets(now, &["quill-2".parse().unwrap()]);
    }
    network.observe(1, &observation(Some(8), TargetState::Leaving, true));
    network.run(3_000);
    assert!((0..4).all(|at| state(&network, at).is_none()));
}

/// Guards against a recovered target that stays unusable in domains that were cut off meanwhile.
#[parameterized(short = { 10_000 }, longer_than_recovery_notice = { 200_000 })]
fn recovered_target_is_known_after_a_partition(partition: u64) {
    let mut network = FakeNetwork::converged(3, 4, 124);
    network.observe(0, &observation(Some(7), TargetState::Leaving, true));
    network.run(10_000);
    let far: Vec<usize> = (4..12).collect();
    network.block_between(&[0, 1, 2, 3], &far);
    network.observe(0, &observation(Some(8), TargetState::Alive, true));
    network.run(partition);
    assert_eq!(state(&network, 6), Some((7, TargetState::Leaving)));
    network.blocked_links.clear();
    network.run(40_000);
    for at in 4..12 {
        let known = state(&network, at);
        assert!(
            known.is_none_or(|known| known == (8, TargetState::Alive)),
            "{at}: {known:?}"
        );
    }
}

/// Guards against tables that fill up with healthy targets of other domains.
#[test]
fn healthy_targets_of_other_domains_are_not_held() {
    let mut network = FakeNetwork::converged(2, 4, 125);
    network.observe(0, &observation(Some(7), TargetState::Alive, true));
    network.run(10_000);
    assert_eq!(state(&network, 3), Some((7, TargetState::Alive)));
    assert_eq!(state(&network, 5), None);
    network.observe(0, &observation(Some(7), TargetState::Dead, true));
    network.run(10_000);
    assert_eq!(state(&network, 5), Some((7, TargetState::Dead)));
    network.observe(0, &observation(Some(8), TargetState::Alive, true));
    network.run(200_000);
    assert_eq!(state(&network, 5), None);
    assert!(network.views_equal_among(0..4) && network.views_equal_among(4..8));
}

/// Guards against records beyond the limit of one message that are never sent.
#[test]
fn node_that_joins_gets_more_targets_than_fit_in_one_message() {
    let mut network = FakeNetwork::converged(1, 3, 126);
    for number in 0..2_500 {
        let mut seen = observation(Some(7), TargetState::Alive, true);
        seen.target = format!("quill-{number}").parse().unwrap();
        network.observe(number % 3, &seen);
    }
    network.run(60_000);
    network.start(2);
    network.run(30_000);
    assert!(network.views_converged());
    assert_eq!(
        network.nodes[2]
            .table()
            .targets(&"balaju0".parse().unwrap())
            .len(),
        2_500
    );
}
