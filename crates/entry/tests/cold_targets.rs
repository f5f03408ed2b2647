//! Rates of targets while they are cold.

use base::{CallRate, ClockTime, IncarnationNumber, NodeName, TimeSpan};
use entry::{
    LeaseGuard, LoadBalancer, PermitOutcome, RateBucket, RateGrant, RateRecord, TargetRate,
    TargetRecord,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const COLD_RATE: CallRate = CallRate(31_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

// Guards against a target that is cold again in the same run and counts as warm, and against a
// record that is handed over again without a change and makes it cold once more.
#[test]
fn a_target_is_cold_as_long_as_its_record_says() {
    let mut balancer = LoadBalancer::new("patan".parse().unwrap(), 1);
    balancer.set_cold_rates(vec![("pool".parse().unwrap(), COLD_RATE)]);
    let mut update = |now, cold_left| {
        let record = TargetRecord {
            name: "e1".parse().unwrap(),
            service: "pool".parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "patan".parse().unwrap(),
            is_leaving: false,
            slots: 2,
            cold_left: TimeSpan::new(cold_left),
            incarnation: IncarnationNumber(1),
        };
        balancer.update_records(at(now), vec![record], &LeaseGuard::default());
        let state = &balancer.targets()[0];
        (state.warm_at, state.rate.limit_at(at(now)))
    };
    assert_eq!(update(1_000, 2_000), (at(3_000), Some(COLD_RATE)));
    assert_eq!(update(2_500, 500), (at(3_000), Some(COLD_RATE)));
    assert_eq!(update(4_000, 0).1, None);
    assert_eq!(update(9_000, 6_000), (at(15_000), Some(COLD_RATE)));
    assert_eq!(update(10_000, 0).1, None);
}

// Guards against a rate that the target names and that is ignored while the target is cold, or the
// other way round.
#[test]
fn the_lower_of_both_rates_holds() {
    let mut rate = TargetRate::default();
    rate.set_cold(Some((COLD_RATE, at(5_000))));
    assert!(matches!(
        rate.take_permit(at(1_000)),
        PermitOutcome::Request(_)
    ));
    let named = |sequence, rate| RateRecord {
        sequence,
        rate: Some(CallRate(rate)),
    };
    rate.adopt(at(1_000), named(1, 2_000));
    assert_eq!(rate.limit_at(at(1_000)), Some(CallRate(2_000)));
    rate.adopt(at(1_000), named(2, 90_000));
    assert_eq!(rate.limit_at(at(1_000)), Some(COLD_RATE));
    assert_eq!(rate.limit_at(at(5_000)), Some(CallRate(90_000)));
    rate.adopt(
        at(5_000),
        RateRecord {
            sequence: 3,
            rate: None,
        },
    );
    assert!(matches!(
        rate.take_permit(at(5_000)),
        PermitOutcome::Taken(_)
    ));
}

// Guards against bursts: the bound holds in each second, also if nodes use their permits up to half
// a second late. Guards against a rate that is held by granting little.
#[test]
fn a_bucket_for_cold_targets_holds_its_rate_in_each_second() {
    const SPAN_MS: u64 = 20_000;
    let bound = COLD_RATE.0 as f64 / 1_000.0 * 1.5 + 5.0;
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut bucket = RateBucket::new(at(0));
        bucket.set_even(true);
        let mut sent = Vec::new();
        let mut now = 3_000;
        while now < SPAN_MS {
            // Pauses, after which a bucket is full.
            now += match random.random_range(0..200) {
                0 => 1_500,
                _ => random.random_range(0..4),
            };
            let node: NodeName = format!("n{}", random.random_range(0..80)).parse().unwrap();
            let grant = bucket.grant(at(now), COLD_RATE, 1.0, &node, 4);
            if let RateGrant::Permits(count) = grant {
                for _ in 0..count {
                    sent.push(now + random.random_range(0..500));
                }
            }
        }
        sent.sort_unstable();
        let counts = sent.iter().enumerate().map(|(index, first)| {
            let rest = sent[index..].iter();
            rest.take_while(|one| **one < first + 1_000).count()
        });
        let busiest = counts.max().unwrap() as f64;
        assert!(busiest <= bound, "seed {seed}: {busiest} in a second");
    }
    let node: NodeName = "n1".parse().unwrap();
    let mut bucket = RateBucket::new(at(0));
    bucket.set_even(true);
    let mut granted = 0;
    for now in 3_000..13_000 {
        if let RateGrant::Permits(count) = bucket.grant(at(now), COLD_RATE, 1.0, &node, 4) {
            granted += count;
        }
    }
    assert!(granted >= 300, "{granted} of 310 in ten seconds");
}
