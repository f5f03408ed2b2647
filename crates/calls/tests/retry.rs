//! Guards the limits of retries, the circuit breaker and the watch of silent connections.

mod seeded;

use base::{ClockTime, IncarnationNumber, TimeSpan};
use calls::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, ConnectionMonitor, MonitorPolicy,
    MonitorVerdict, ProbeOutcome, RetryBudget,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const RUN: IncarnationNumber = IncarnationNumber(1);

fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

proptest! {
    #![proptest_config(seeded::config(500))]

    /// Guards the 10% in an outage: whatever the times, retries never exceed what was earned.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0_u64..500), 1..400),
    ) {
        let mut budget = RetryBudget::new(at(0));
        let (mut now, mut offered, mut taken) = (0, 0_u64, 0_u64);
        for (request, wait) in steps {
            now += wait;
            match request {
                true => {
                    offered += 1;
                    budget.on_request(at(now));
                }
                false => taken += u64::from(budget.try_take(at(now))),
            }
            prop_assert!(taken <= offered / 10 + 1 + now / 10_000 + 1);
        }
    }

    /// Guards against synchronised retries: delays stay within the ceiling and differ.
    #[test]
    fn backoff_is_bounded_and_spread(seed: u64, attempt in 1_u32..100) {
        let policy = BackoffPolicy::default();
        let mut random = Pcg32::seed_from_u64(seed);
        let delays: Vec<_> = (0..20).map(|_| policy.delay(attempt, &mut random)).collect();
        prop_assert!(delays.iter().all(|delay| *delay <= policy.cap));
        prop_assert!(delays.iter().any(|delay| *delay != delays[0]));
    }
}

/// Guards against an hour of savings that is spent in one burst.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(at(0));
    (0..10_000).for_each(|_| budget.on_request(at(0)));
    let later = at(3_600_000);
    let burst = (0..1_000).filter(|_| budget.try_take(later)).count();
    assert_eq!(burst, 20);
}

/// Guards both budgets: a refusal by one takes nothing from the other.
#[test]
fn retry_takes_from_both_budgets_or_neither() {
    let mut workspace = RetryBudget::new(at(0));
    let mut target = RetryBudget::new(at(0));
    assert!(target.try_take(at(0)));
    assert!(!workspace.try_take_both(&mut target, at(0)));
    assert!(workspace.allows(at(0)));
}

/// Guards a failing target: one trial at a time, longer pauses after failed trials.
#[test]
fn breaker_lets_one_trial_pass() {
    let mut breaker = CircuitBreaker::new(BreakerPolicy::default());
    let opened: Vec<_> = (0..5).map(|_| breaker.on_failure(at(0))).collect();
    assert_eq!(opened, [false, false, false, false, true]);
    assert!(!breaker.on_success(), "a late answer does not close it");
    assert_eq!(breaker.state(), BreakerState::Open);
    assert!(breaker.try_admit(at(1_000)));
    assert!(!breaker.try_admit(at(1_500)));
    assert!(breaker.on_failure(at(1_600)));
    assert!(!breaker.try_admit(at(3_500)));
    assert!(breaker.try_admit(at(3_600)));
    assert!(
        breaker.would_admit(at(33_600)),
        "a lost trial does not block for ever"
    );
    assert!(breaker.on_success());
    assert!(breaker.try_admit(at(3_700)));
}

/// Guards against probes on healthy streams.
#[test]
fn healthy_stream_is_never_probed() {
    let mut watch = ConnectionMonitor::new(at(0), RUN, MonitorPolicy::default());
    for step in 1..10_000_u64 {
        watch.on_bytes(at(step * 77), step);
        assert_eq!(watch.on_tick(at(step * 77 + 76)), MonitorVerdict::Wait);
    }
}

fn drive(outcome: impl Fn(u64) -> ProbeOutcome) -> (u64, u32, MonitorVerdict) {
    let mut watch = ConnectionMonitor::new(at(0), RUN, MonitorPolicy::default());
    let mut probes = 0;
    for now in 0..200_000 {
        let mut verdict = watch.on_tick(at(now));
        if verdict == MonitorVerdict::Probe {
            probes += 1;
            verdict = watch.on_probe(at(now), outcome(now));
        }
        if verdict != MonitorVerdict::Wait {
            return (now, probes, verdict);
        }
    }
    panic!("no verdict in bounded time");
}

/// Guards the bounded time in which a quiet connection is judged, and what it is judged to be.
#[test]
fn quiet_link_is_judged_in_bounded_time() {
    let answered = |incarnation, produced| ProbeOutcome::Answered {
        incarnation,
        produced,
    };
    let silent = drive(|_| answered(RUN, Some(9)));
    assert_eq!(silent, (2_500, 1, MonitorVerdict::ConnectionSilent));
    let dead = drive(|_| ProbeOutcome::Refused);
    assert_eq!(dead, (2_000, 1, MonitorVerdict::TargetDead));
    let restarted = drive(|_| answered(IncarnationNumber(2), None));
    assert_eq!(restarted, (2_000, 1, MonitorVerdict::TargetDead));
    let cut = drive(|_| ProbeOutcome::TimedOut);
    assert_eq!(cut.2, MonitorVerdict::TargetUnreachable);
    assert_eq!(cut.1, 2);
    let (after, probes, verdict) = drive(|_| answered(RUN, Some(0)));
    assert_eq!((after, verdict), (60_000, MonitorVerdict::ConnectionSilent));
    assert!(probes <= 10, "{probes} probes of a slow target");
}

/// Guards a recovered connection against the late outcome of a probe.
#[test]
fn late_probe_of_a_recovered_link_has_no_effect() {
    let mut watch = ConnectionMonitor::new(at(0), RUN, MonitorPolicy::default());
    assert_eq!(watch.on_tick(at(2_000)), MonitorVerdict::Probe);
    watch.on_bytes(at(2_100), 4);
    let late = watch.on_probe(at(2_400), ProbeOutcome::Refused);
    assert_eq!(late, MonitorVerdict::Wait);
    assert_eq!(watch.next_check_at(), at(2_100) + TimeSpan::from_secs(2));
}
