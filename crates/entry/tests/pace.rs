//! Pace of engines, learned from the gaps between events.

mod support;

use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan};
use entry::{
    GapCollector, GapMeter, LoadBalancer, PaceNeed, PaceReport, PaceSample, PlacementDecision,
    PlacementRequest,
};
use support::{balancer, record, request};

/// Interval at which nodes report.
const REPORT_MS: u64 = 500;
/// Typical gap of an engine of usual speed.
const USUAL_GAP_MS: u64 = 30;

fn name(text: &str) -> TargetName {
    text.parse().unwrap()
}

fn node(text: &str) -> NodeName {
    text.parse().unwrap()
}

fn at(ms: u64) -> ClockTime {
    ClockTime::new(ms)
}

fn report(engine: &str, gap_ms: u64, gaps: u32, late_gaps: u32) -> PaceReport {
    PaceReport {
        target: name(engine),
        incarnation: IncarnationNumber(1),
        sample: PaceSample {
            gaps,
            late_gaps,
            typical_gap: TimeSpan::new(gap_ms),
        },
    }
}

/// Balancer with `count` engines `e0`, `e1`, ...
fn engines(count: usize) -> LoadBalancer {
    let records: Vec<_> = (0..count)
        .map(|at| record(&format!("e{at}"), "patan"))
        .collect();
    balancer(&records)
}

/// Reports for `ms` from `from`, in which engine `e0` has gaps of `slow_ms` and every third sample
/// of it a late one, and the others usual gaps.
fn play(balancer: &mut LoadBalancer, from: u64, ms: u64, slow_ms: u64, count: usize) {
    for step in 0..ms / REPORT_MS {
        let now = at(from + step * REPORT_MS);
        let late = u32::from(step % 3 == 0 && slow_ms > USUAL_GAP_MS);
        balancer.add_paces(now, &node("n1"), &[report("e0", slow_ms, 14, late)]);
        for other in 1..count {
            let usual = report(&format!("e{other}"), USUAL_GAP_MS, 14, 0);
            balancer.add_paces(now, &node("n2"), &[usual]);
        }
    }
    balancer.on_tick(at(from + ms));
}

fn ratio(balancer: &LoadBalancer, engine: &str) -> f64 {
    balancer.target(&name(engine)).unwrap().pace.ratio
}

/// Call with a pause limit and so many events that has to be placed within a second.
fn paced(now: u64, events: u32, is_quick: bool) -> PlacementRequest {
    PlacementRequest {
        is_quick,
        pace: Some(PaceNeed {
            pause_limit: TimeSpan::new(180),
            latency_target: TimeSpan::new(1_800),
            events_left: events,
            start_by: at(now + 1_000),
        }),
        ..request(2_000, 1_000)
    }
}

fn placed(decision: PlacementDecision) -> String {
    match decision {
        PlacementDecision::Target(target) => target.to_string(),
        other => panic!("expected a target, found {other:?}"),
    }
}

// Guards against a slow engine that is recognised only after many calls, or never again counted as
// average after it recovered.
#[test]
fn a_slow_engine_is_recognised_and_recovers() {
    let mut balancer = engines(4);
    play(&mut balancer, 2_000, 1_500, 60, 4);
    assert!(ratio(&balancer, "e0") > 1.5);
    assert!((ratio(&balancer, "e1") - 1.0).abs() < 0.1);
    play(&mut balancer, 3_500, 8_000, 30, 4);
    assert!(ratio(&balancer, "e0") < 1.2);
}

// Guards against long calls that are late because of pauses on a slow engine while others have
// room.
#[test]
fn long_calls_avoid_a_slow_engine() {
    let mut balancer = engines(3);
    play(&mut balancer, 2_000, 5_000, 60, 3);
    let call = paced(7_000, 187, false);
    for _ in 0..20 {
        assert_ne!(placed(balancer.choose_target(at(7_000), &call)), "e0");
    }
    assert_eq!(balancer.avoided_targets(at(7_000), &call), [name("e0")]);
}

// Guards against calls that starve: one that is late anyway takes the slow engine.
#[test]
fn a_late_long_call_takes_a_slow_engine() {
    let mut balancer = engines(2);
    play(&mut balancer, 2_000, 5_000, 60, 2);
    let full = request(9_000, 0).load;
    balancer.add_load(&name("e1"), full);
    let call = paced(7_000, 187, false);
    assert_eq!(
        balancer.choose_target(at(7_000), &call),
        PlacementDecision::Full
    );
    assert_eq!(placed(balancer.choose_target(at(8_001), &call)), "e0");
}

// Guards against quick calls that take the room of long calls on fast engines.
#[test]
fn quick_calls_are_steered_to_a_slow_engine() {
    let mut balancer = engines(3);
    play(&mut balancer, 2_000, 5_000, 60, 3);
    let call = paced(7_000, 2, true);
    assert_eq!(placed(balancer.choose_target(at(7_000), &call)), "e0");
    // Once a prompt waits there, the first event would be too late.
    balancer.add_load(&name("e0"), request(2_000, 3_000).load);
    assert_ne!(placed(balancer.choose_target(at(7_000), &call)), "e0");
}

// Guards against changed choices where no call has a pause limit.
#[test]
fn calls_without_a_pause_limit_ignore_the_pace() {
    let mut uneven = engines(3);
    play(&mut uneven, 2_000, 5_000, 60, 3);
    let mut even = engines(3);
    even.on_tick(at(7_000));
    for _ in 0..50 {
        let call = request(2_000, 1_000);
        assert_eq!(
            uneven.choose_target(at(7_000), &call),
            even.choose_target(at(7_000), &call)
        );
    }
}

// Guards against a busy node, whose events are read late, that makes an engine look slow.
#[test]
fn events_that_are_read_together_are_no_gaps() {
    let mut meter = GapMeter::default();
    for ms in [0, 30, 60] {
        meter.record_event(at(ms));
    }
    // Six events were made in the meantime.
    let gaps: Vec<_> = [260, 260, 260, 261, 290, 320]
        .iter()
        .filter_map(|ms| meter.record_event(at(*ms)))
        .collect();
    assert_eq!(gaps, [TimeSpan::new(30), TimeSpan::new(29)]);
}

// Guards against a stretch of late gaps of one stream that counts as many.
#[test]
fn a_stretch_of_late_gaps_counts_once() {
    let mut meter = GapMeter::default();
    let limit = TimeSpan::new(180);
    let late: Vec<_> = [200, 400, 600, 2_600]
        .iter()
        .map(|ms| meter.begins_late_stretch(at(*ms), TimeSpan::new(200), limit))
        .collect();
    assert_eq!(late, [true, false, false, true]);
}

// Guards against samples that one receiver never gets because another got them first.
#[test]
fn samples_are_kept_for_every_receiver() {
    let mut collector = GapCollector::default();
    for gap in [30, 30, 60, 60] {
        let run = IncarnationNumber(1);
        collector.record(&name("e1"), run, TimeSpan::new(gap), false);
    }
    assert_eq!(collector.close(at(500)), [report("e1", 30, 4, 0)]);
    assert_eq!(collector.closed_after(0).len(), 1);
    assert_eq!(collector.closed_after(collector.last_number()), []);
}
