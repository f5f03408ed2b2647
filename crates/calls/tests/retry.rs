//! Tests of retry budgets, backoff, the circuit breaker and the connection monitor.

mod seeded;

use base::{ClockTime, IncarnationNumber, TimeSpan};
use calls::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, ConnectionMonitor, MonitorPolicy,
    MonitorVerdict, ProbeOutcome, RetryBudget,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg32;

const INCARNATION: IncarnationNumber = IncarnationNumber(1);

fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

proptest! {
    #![proptest_config(seeded::config(500))]

    /// Guards against retry storms in an outage: for any sequence of requests and retries, the
    /// retries stay within 10% of the requests plus the minimum rate.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0_u64..500), 1..400),
    ) {
        let mut budget = RetryBudget::new(at(0));
        let (mut now, mut requests, mut retries) = (0, 0_u64, 0_u64);
        for (request, wait) in steps {
            now += wait;
            match request {
                true => {
                    requests += 1;
                    budget.on_request(at(now));
                }
                false => retries += u64::from(budget.try_take(at(now))),
            }
            prop_assert!(retries <= requests / 10 + 1 + now / 10_000 + 1);
        }
    }

    /// Guards against callers that retry at the same moment: delays stay within the ceiling and
    /// differ.
    #[test]
    fn backoff_is_bounded_and_spread(seed: u64, attempt in 1_u32..100) {
        let policy = BackoffPolicy::default();
        let mut random = Pcg32::seed_from_u64(seed);
        let delays: Vec<_> = (0..20).map(|_| policy.delay(attempt, &mut random)).collect();
        prop_assert!(delays.iter().all(|delay| *delay <= policy.cap));
        prop_assert!(delays.iter().any(|delay| *delay != delays[0]));
    }
}

/// Guards against a burst of retries from credit that was saved up over an hour.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(at(0));
    (0..10_000).for_each(|_| budget.on_request(at(0)));
    let later = at(3_600_000);
    let burst = (0..1_000).filter(|_| budget.try_take(later)).count();
    assert_eq!(burst, 20);
}

/// Guards against a retry that is refused by one budget but still paid from the other.
#[test]
fn retry_takes_from_both_budgets_or_neither() {
    let mut workspace = RetryBudget::new(at(0));
    let mut target = RetryBudget::new(at(0));
    assert!(target.try_take(at(0)));
    assert!(!workspace.try_take_both(&mut target, at(0)));
    assert!(workspace.allows(at(0)));
}

/// Guards a failing target against load: trial requests are admitted one at a time, with a longer
/// pause after a failed one.
#[test]
fn breaker_lets_one_trial_pass() {
    let mut breaker = CircuitBreaker::new(BreakerPolicy::default());
    let opened: Vec<_> = (0..5).map(|_| breaker.on_failure(at(0))).collect();
    assert_eq!(opened, [false, false, false, false, true]);
    assert!(
        !breaker.on_success(),
        "a late answer does not close the breaker"
    );
    assert_eq!(breaker.state(), BreakerState::Open);
    assert!(breaker.try_admit(at(1_000)));
    assert!(!breaker.try_admit(at(1_500)));
    assert!(breaker.on_failure(at(1_600)));
    assert!(!breaker.try_admit(at(3_500)));
    assert!(breaker.try_admit(at(3_600)));
    assert!(
        breaker.would_admit(at(33_600)),
        "a trial without an outcome does not block the target forever"
    );
    assert!(breaker.on_success());
    assert!(breaker.try_admit(at(3_700)));
}

/// Guards against probes while a stream delivers data.
#[test]
fn healthy_stream_is_never_probed() {
    let mut monitor = ConnectionMonitor::new(at(0), INCARNATION, MonitorPolicy::default());
    for step in 1..10_000_u64 {
        monitor.on_bytes(at(step * 77), step);
        assert_eq!(monitor.on_tick(at(step * 77 + 76)), MonitorVerdict::Wait);
    }
}

/// Ticks a monitor without data each millisecond and answers its probes with `outcome`, until it
/// reaches a verdict; returns the time, the number of probes and the verdict.
fn run_until_verdict(outcome: impl Fn(u64) -> ProbeOutcome) -> (u64, u32, MonitorVerdict) {
    let mut monitor = ConnectionMonitor::new(at(0), INCARNATION, MonitorPolicy::default());
    let mut probes = 0;
    for now in 0..200_000 {
        let mut verdict = monitor.on_tick(at(now));
        if verdict == MonitorVerdict::Probe {
            probes += 1;
            verdict = monitor.on_probe(at(now), outcome(now));
        }
        if verdict != MonitorVerdict::Wait {
            return (now, probes, verdict);
        }
    }
    panic!("no verdict in bounded time");
}

/// Guards against streams that hang on a silent connection: each cause leads to the right verdict
/// in bounded time.
#[test]
fn silent_connection_is_detected_in_bounded_time() {
    let answered = |incarnation, produced| ProbeOutcome::Answered {
        incarnation,
        produced,
    };
    let silent = run_until_verdict(|_| answered(INCARNATION, Some(9)));
    assert_eq!(silent, (2_500, 1, MonitorVerdict::ConnectionSilent));
    let dead = run_until_verdict(|_| ProbeOutcome::Refused);
    assert_eq!(dead, (2_000, 1, MonitorVerdict::TargetDead));
    let restarted = run_until_verdict(|_| answered(IncarnationNumber(2), None));
    assert_eq!(restarted, (2_000, 1, MonitorVerdict::TargetDead));
    let cut = run_until_verdict(|_| ProbeOutcome::TimedOut);
    assert_eq!(cut.2, MonitorVerdict::TargetUnreachable);
    assert_eq!(cut.1, 2);
    let (after, probes, verdict) = run_until_verdict(|_| answered(INCARNATION, Some(0)));
    assert_eq!((after, verdict), (60_000, MonitorVerdict::ConnectionSilent));
    assert!(probes <= 10, "{probes} probes of a slow target");
}

/// Guards against the late outcome of a probe that ends a connection which has recovered.
#[test]
fn late_probe_of_a_recovered_connection_has_no_effect() {
    let mut monitor = ConnectionMonitor::new(at(0), INCARNATION, MonitorPolicy::default());
    assert_eq!(monitor.on_tick(at(2_000)), MonitorVerdict::Probe);
    monitor.on_bytes(at(2_100), 4);
    let late = monitor.on_probe(at(2_400), ProbeOutcome::Refused);
    assert_eq!(late, MonitorVerdict::Wait);
    assert_eq!(monitor.next_check_at(), at(2_100) + TimeSpan::from_secs(2));
}
