//! Times, durations and hybrid logical time.

use base::{ClockTime, HybridClock, HybridTime, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yare::parameterized;

/// Guards against a duration that is written in one unit and read in another.
#[parameterized(
    zero = { 0 },
    millis = { 250 },
    seconds = { 3_000 },
    minutes = { 120_000 },
    odd = { 61_001 },
)]
fn a_written_span_is_read_back(millis: u64) {
    let span = TimeSpan::new(millis);
    assert_eq!(span.to_string().parse(), Ok(span));
}

/// Guards against accepting a duration without a known unit or one that overflows.
#[parameterized(
    no_unit = { "250" },
    unknown_unit = { "3h" },
    negative = { "-1s" },
    empty = { "" },
    overflow = { "18446744073709551615m" },
)]
fn a_malformed_span_is_refused(text: &str) {
    assert!(text.parse::<TimeSpan>().is_err());
}

/// Guards against an underflow or overflow at the limits of the clock.
#[test]
fn arithmetic_saturates() {
    let (early, late) = (ClockTime::new(5), ClockTime::new(9));
    assert_eq!(early - late, TimeSpan::ZERO);
    assert_eq!(
        ClockTime::new(u64::MAX) + TimeSpan::new(1),
        ClockTime::new(u64::MAX)
    );
}

/// Guards against an event whose time is earlier than that of its cause.
#[test]
fn hybrid_time_follows_every_time_seen() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec((0_u64..50, 0_u64..50, 0_u32..4, any::<bool>()), 1..60);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut clock = HybridClock::new();
        let mut last = HybridTime::default();
        for (wall, remote_wall, counter, received) in steps {
            let remote = HybridTime {
                wall: remote_wall,
                counter,
            };
            let time = match received {
                true => clock.observe(wall, remote),
                false => clock.tick(wall),
            };
            prop_assert!(time > last);
            prop_assert!(!received || time > remote);
            last = time;
        }
        Ok(())
    });
    result.expect("hybrid time never goes back");
}
