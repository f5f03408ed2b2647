//! Measures the cost of checking a send and of recording its crash sign, with an empty and with a
//! full set of facts.
//!
//! Run with `cargo run --release -p gateway --example send_cost`.

use std::hint::black_box;
use std::time::Instant;

use base::{ByteCount, ClockTime, CoreShare, IncarnationNumber, TargetName, TimeSpan};
use calls::RequestFingerprint;
use entry::{CallFeatures, ConfigVersion, LeaseGuard, OpenAttempt, TargetRecord};
use gateway::{AdmissionCheck, CallTimes, GatewaySettings, GatewayState, RetrySettings, SendCheck};

/// Number of targets that the node knows.
const TARGETS: u16 = 300;
/// Size of the full set of facts.
const FACTS: u32 = 512;
/// Number of measured sends.
const SENDS: u32 = 200_000;
/// Calls a second for which the share of a processor core is printed; each call is checked twice.
const CALLS_PER_SECOND: f64 = 1_000.0;

fn main() {
    for facts in [0, FACTS] {
        let mut state = make_state(facts);
        let target: TargetName = "e7".parse().expect("a name");
        let service = "pool".parse().expect("a name");
        let now = ClockTime::new(5_000);
        let start = Instant::now();
        for number in 0..SENDS {
            let parts = ["5c1e07a2", "91bd3f06"].map(|part| part.parse().expect("a part"));
            let fingerprint = RequestFingerprint::new("/plans", &number.to_le_bytes());
            let features = CallFeatures::new(fingerprint).with_parts(&parts);
            let check = SendCheck {
                features: &features,
                is_trial: false,
                target: &target,
                admission: Some(AdmissionCheck {
                    route: ("depot.example", "/plans"),
                    key: None,
                    version: ConfigVersion::default(),
                    service: &service,
                    workspace: None,
                }),
                times: CallTimes::new(now),
                is_resume: false,
                is_source: false,
                permit: None,
            };
            for _ in 0..2 {
                black_box(state.check_send(now, &check)).expect("it may be sent");
            }
            let incarnation = IncarnationNumber(1);
            let id = state.attempts.begin(OpenAttempt {
                earlier: state.facts.death_count(&target, incarnation),
                features,
                trial_features: Vec::new(),
                earlier_deaths: Vec::new(),
                target: target.clone(),
                incarnation,
                address: ([127, 0, 0, 1], 9_101).into(),
                began_at: None,
                has_broken_off: false,
            });
            state.attempts.finish(id);
        }
        let seconds_per_call = start.elapsed().as_secs_f64() / f64::from(SENDS);
        println!(
            "{facts} facts, {TARGETS} targets: {:.2} us a call, {:.3}% of a core at {CALLS_PER_SECOND} calls a second",
            seconds_per_call * 1e6,
            seconds_per_call * CALLS_PER_SECOND * 100.0
        );
    }
}

/// A gateway state with `TARGETS` targets and `facts` recorded crashes.
fn make_state(facts: u32) -> GatewayState {
    let settings = GatewaySettings {
        node: "n1".parse().expect("a name"),
        domain: "patan".parse().expect("a name"),
        capacity: CoreShare(250),
        memory: ByteCount(110 << 20),
        response_limit: GatewaySettings::DEFAULT_RESPONSE_LIMIT,
        caller_address: ([127, 0, 0, 1], 1).into(),
        ready_address: ([127, 0, 0, 1], 2).into(),
        peer_address: ([127, 0, 0, 1], 3).into(),
        metrics_address: None,
        seeds: Vec::new(),
        stop_grace: TimeSpan::from_secs(8),
        renewal_interval: TimeSpan::new(1_200),
        retry: RetrySettings {
            ratio: 0.2,
            extra: 100.0,
            window: TimeSpan::from_secs(10),
        },
    };
    let mut state = GatewayState::new(&settings, 7);
    let now = ClockTime::new(1_000);
    let records = (0..TARGETS).map(|number| TargetRecord {
        name: format!("e{number}").parse().expect("a name"),
        service: "pool".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: "patan".parse().expect("a name"),
        is_leaving: false,
        slots: 24,
        cold_left: TimeSpan::ZERO,
        incarnation: IncarnationNumber(1),
    });
    state
        .balancer
        .update_records(now, records.collect(), &LeaseGuard::default());
    for number in 0..facts {
        let fingerprint = RequestFingerprint::new("/crash", &number.to_le_bytes());
        let target = format!("e{}", number % 64 + 100).parse().expect("a name");
        let sign = state
            .facts
            .crash_sign(fingerprint, &target, IncarnationNumber(1));
        state.facts.confirm_death(now, sign);
    }
    state
}
