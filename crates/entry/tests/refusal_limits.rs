//! Placement on targets that fail if they refuse too many calls.

mod support;

use base::{ClockTime, IncarnationNumber, TargetName};
use entry::{
    EngineSpec, LoadBalancer, PlacementDecision, PlacementRequest, RefusalLimit, RefusalReport,
    TargetLoad,
};
use support::{balancer, record, request};
use yare::parameterized;

const NOW: ClockTime = ClockTime::new(20_000);
const LIMIT: RefusalLimit = RefusalLimit(3);

fn name(text: &str) -> TargetName {
    text.parse().unwrap()
}

/// A call to a plain service that is placed by slots.
fn slot_request() -> PlacementRequest {
    PlacementRequest {
        engine: Some(EngineSpec::of_plain_service()),
        load: TargetLoad {
            calls: 1,
            tokens: 1,
            ..TargetLoad::default()
        },
        ..request(1, 0)
    }
}

/// Places calls until none finds room; returns how many each target got.
fn fill(balancer: &mut LoadBalancer, now: ClockTime, targets: &[&str]) -> Vec<u32> {
    let call = slot_request();
    while let PlacementDecision::Target(target) = balancer.choose_target(now, &call) {
        balancer.add_load(&target, call.load);
    }
    let load = |target: &&str| balancer.target(&name(target)).unwrap().own_load.calls;
    targets.iter().map(load).collect()
}

/// A balancer of a node in `patan` that knows the limit of these targets.
fn limited(targets: &[(&str, &str)], limit: RefusalLimit) -> LoadBalancer {
    let records: Vec<_> = targets
        .iter()
        .map(|(target, domain)| record(target, domain))
        .collect();
    let mut balancer = balancer(&records);
    for record in &records {
        let run = (&record.name, record.incarnation);
        assert!(balancer.observe_refusal_limit(run, NOW, Some(limit)));
    }
    balancer
}

fn slots(balancer: &LoadBalancer, target: &str) -> u32 {
    balancer.target(&name(target)).unwrap().record.slots
}

// Guards against calls that wait in a target which must not refuse any.
#[test]
fn a_limited_target_gets_no_more_calls_than_slots() {
    let mut balancer = limited(&[("e1", "patan")], LIMIT);
    let slots = slots(&balancer, "e1");
    assert_eq!(fill(&mut balancer, NOW, &["e1"]), [slots]);
}

// Guards against all calls that find no slot on a target without a limit, as it has not answered lately.
#[test]
fn a_target_that_states_no_limit_beside_others_is_not_overfilled() {
    let mut balancer = limited(&[("e1", "patan"), ("e2", "patan")], LIMIT);
    let run = record("e2", "patan").incarnation;
    assert!(balancer.observe_refusal_limit((&name("e2"), run), NOW, None));
    let slots = slots(&balancer, "e1");
    assert_eq!(fill(&mut balancer, NOW, &["e1", "e2"]), [slots, slots]);
}

// Guards against two failure domains that place calls on the last slot of a target at the same time.
#[parameterized(
    strict = { RefusalLimit(4), 0 },
    loose = { RefusalLimit(5), 1 },
)]
fn a_limited_target_of_another_domain_is_not_filled(limit: RefusalLimit, shared: u32) {
    let mut balancer = limited(&[("e1", "patan"), ("e2", "balaju")], limit);
    let slots = slots(&balancer, "e1");
    let remote = shared * (slots - slots.div_ceil(4));
    assert_eq!(fill(&mut balancer, NOW, &["e1", "e2"]), [slots, remote]);
}

// Guards against refusals that go on at the same rate, and against slots that stay unused for ever.
#[test]
fn a_refusal_withholds_slots_for_a_while() {
    let mut balancer = limited(&[("e1", "patan")], LIMIT);
    let slots = slots(&balancer, "e1");
    balancer.record_room_refusal(NOW, &name("e1"));
    let withheld = slots.div_ceil(8);
    assert_eq!(fill(&mut balancer, NOW, &["e1"]), [slots - withheld]);
    let later = NOW + base::TimeSpan::new(500) * u64::from(withheld);
    assert_eq!(fill(&mut balancer, later, &["e1"]), [slots]);
}

// Guards against a limit that stays when the run no longer states it, or a peer knows that, and against one that
// an older answer or another run brings back.
#[test]
fn the_newest_statement_of_a_run_holds() {
    let mut balancer = limited(&[("e1", "patan")], LIMIT);
    let service = record("e1", "patan").service;
    let (target, run) = (name("e1"), record("e1", "patan").incarnation);
    let later = NOW + base::TimeSpan::new(10);
    let report = RefusalReport {
        target: target.clone(),
        incarnation: run,
        limit: None,
        age: base::TimeSpan::ZERO,
        withheld: 0,
    };
    let changed = balancer.adopt_refusals(later, &[report]);
    assert_eq!(changed, std::slice::from_ref(&target));
    assert_eq!(balancer.refusal_limit(later, &service), None);
    assert!(!balancer.observe_refusal_limit((&target, run), NOW, Some(LIMIT)));
    let other = IncarnationNumber(run.0 + 1);
    assert!(!balancer.observe_refusal_limit((&target, other), later, Some(LIMIT)));
    assert_eq!(balancer.refusal_limit(later, &service), None);
}

// Guards against a burst that meets a target which comes back after it fell over.
#[test]
fn a_new_run_beside_limited_ones_begins_with_a_part_of_its_slots() {
    let mut balancer = limited(&[("e1", "patan"), ("e2", "patan")], LIMIT);
    let mut returned = record("e2", "patan");
    returned.incarnation = IncarnationNumber(returned.incarnation.0 + 1);
    let records = vec![record("e1", "patan"), returned];
    balancer.update_records(NOW, records, &entry::LeaseGuard::default());
    let slots = slots(&balancer, "e1");
    assert_eq!(
        fill(&mut balancer, NOW, &["e1", "e2"]),
        [slots, slots.div_ceil(4)]
    );
}
