//! Pace of engines, learned from the gaps between events.

mod support;

use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan};
use entry::{
    DomainPace, GapCollector, GapMeter, LeaseGuard, LoadBalancer, PaceNeed, PaceReport, PaceSample,
    PlacementDecision, PlacementRequest, SampleBudget, TargetPace, TargetState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{balancer, record, request};
use yare::parameterized;

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
    for receiver in ["127.0.0.1:1", "127.0.0.1:2"] {
        let receiver = receiver.parse().unwrap();
        let taken = |collector: &mut GapCollector, ms| {
            let reports = collector.take_for(at(ms), receiver, SampleBudget::OWN_DOMAIN, |_| true);
            reports.len()
        };
        assert_eq!(taken(&mut collector, 500), 1);
        assert_eq!(taken(&mut collector, 1_100), 0);
    }
}

// Guards against an engine that joins and inherits the pace of the run before it, or that counts as
// slow before there are observations.
#[test]
fn an_engine_that_joins_counts_as_average() {
    let mut balancer = engines(4);
    play(&mut balancer, 2_000, 5_000, 60, 4);
    let mut records: Vec<_> = (0..5)
        .map(|at| record(&format!("e{at}"), "patan"))
        .collect();
    records[0].incarnation = IncarnationNumber(2);
    balancer.update_records(at(7_000), records, &LeaseGuard::default());
    // A report of the run that is gone arrives late.
    balancer.add_paces(at(7_010), &node("n1"), &[report("e0", 60, 14, 1)]);
    balancer.on_tick(at(7_100));
    for joined in ["e0", "e4"] {
        let pace = balancer.target(&name(joined)).unwrap().pace;
        assert_eq!(
            (pace.ratio, pace.is_known, pace.is_avoided),
            (1.0, false, false)
        );
    }
}

// Guards against a judgement that lasts although nothing is known of the engine any more.
#[test]
fn without_samples_an_engine_tends_back_to_average() {
    let mut balancer = engines(4);
    play(&mut balancer, 2_000, 5_000, 60, 4);
    let before = ratio(&balancer, "e0");
    let mut last = before;
    for second in 1..=20 {
        let now = 7_000 + second * 1_000;
        for other in 1..4 {
            let usual = report(&format!("e{other}"), USUAL_GAP_MS, 28, 0);
            balancer.add_paces(at(now), &node("n2"), &[usual]);
        }
        balancer.on_tick(at(now));
        assert!(ratio(&balancer, "e0") <= last + 1e-9);
        last = ratio(&balancer, "e0");
    }
    assert!(before > 1.7 && last < 1.1);
    assert!(!balancer.target(&name("e0")).unwrap().pace.is_avoided);
}

// Guards against estimates that depend on each report: some are lost, and some arrive twice.
#[test]
fn lost_and_repeated_reports_do_not_change_the_judgement() {
    let mut balancer = engines(4);
    for step in 0..20 {
        let now = at(2_000 + step * REPORT_MS);
        if step % 3 == 0 {
            continue;
        }
        let reports = [report("e0", 60, 14, 1), report("e1", 30, 14, 0)];
        balancer.add_paces(now, &node("n1"), &reports);
        if step % 5 == 0 {
            balancer.add_paces(now, &node("n1"), &reports);
        }
        balancer.add_paces(now, &node("n2"), &[report("e2", 31, 14, 0)]);
        balancer.add_paces(now, &node("n3"), &[report("e3", 29, 14, 0)]);
    }
    balancer.on_tick(at(12_000));
    assert!(ratio(&balancer, "e0") > 1.7);
    assert!(balancer.target(&name("e0")).unwrap().pace.is_avoided);
    assert!(!balancer.target(&name("e1")).unwrap().pace.is_avoided);
}

// Guards against a node that is short of processor time and sees late gaps at each of its engines:
// these must not look slow.
#[test]
fn a_slow_node_makes_no_engine_look_slow() {
    let mut balancer = engines(4);
    for step in 0..20 {
        let now = at(2_000 + step * REPORT_MS);
        for engine in 0..4 {
            let engine = format!("e{engine}");
            for other in ["n1", "n2", "n3"] {
                balancer.add_paces(now, &node(other), &[report(&engine, 30, 14, 0)]);
            }
            balancer.add_paces(now, &node("slow"), &[report(&engine, 75, 6, 3)]);
        }
    }
    balancer.on_tick(at(12_000));
    for engine in 0..4 {
        let pace = balancer.target(&name(&format!("e{engine}"))).unwrap().pace;
        assert!((pace.ratio - 1.0).abs() < 0.1, "{pace:?}");
        assert!(!pace.is_avoided);
    }
}

// Guards against an engine that looks slow since only a slow node has streams there, as long as that
// node also has streams on an engine that others use.
#[test]
fn a_slow_node_is_known_by_the_engines_that_it_shares() {
    let mut balancer = engines(3);
    for step in 0..20 {
        let now = at(2_000 + step * REPORT_MS);
        balancer.add_paces(now, &node("n1"), &[report("e0", 30, 28, 0)]);
        balancer.add_paces(now, &node("n2"), &[report("e1", 30, 28, 0)]);
        let slow = [report("e1", 60, 7, 0), report("e2", 60, 7, 0)];
        balancer.add_paces(now, &node("slow"), &slow);
    }
    balancer.on_tick(at(12_000));
    assert!(ratio(&balancer, "e2") < 1.5, "{}", ratio(&balancer, "e2"));
}

// Guards against a caller that does not read, whose back-pressure looks like a slow engine, and
// against the gap of a move.
#[test]
fn an_interruption_is_no_gap() {
    let mut meter = GapMeter::default();
    for ms in [0, 30, 60] {
        meter.record_event(at(ms));
    }
    assert_eq!(meter.interrupt(), Some(TimeSpan::new(30)));
    assert_eq!(meter.record_event(at(900)), None);
    assert_eq!(meter.record_event(at(930)), None);
    assert_eq!(meter.record_event(at(960)), Some(TimeSpan::new(30)));
}

// Guards against gaps that are longer as more calls run on an engine, and so make a full engine look
// slow beside an empty one.
#[test]
fn a_full_engine_is_not_taken_for_a_slow_one() {
    let mut balancer = engines(4);
    let call = request(100, 0).load;
    for step in 0..60_u64 {
        let now = at(2_000 + step * REPORT_MS);
        for engine in 0..4_u64 {
            let engine_name = name(&format!("e{engine}"));
            let calls = balancer.target(&engine_name).unwrap().own_load.calls;
            // The first engine runs many calls, the others few; the number varies.
            let wanted = (if engine == 0 { 16 } else { 4 }) + ((step + engine) % 5) as u32;
            (calls..wanted).for_each(|_| balancer.add_load(&engine_name, call));
            (wanted..calls).for_each(|_| balancer.remove_load(&engine_name, call));
            let gap = 28 + 7 * u64::from(wanted) / 10;
            let sample = report(&format!("e{engine}"), gap, 14, 0);
            balancer.add_paces(now, &node("n1"), &[sample]);
        }
    }
    balancer.on_tick(at(32_000));
    assert!(ratio(&balancer, "e0") < 1.2, "{}", ratio(&balancer, "e0"));
}

// Guards against domains that learn nothing of each other's engines, or believe a third one.
#[test]
fn paces_of_other_domains_count_like_own_ones() {
    let records: Vec<_> = (0..6)
        .map(|at| record(&format!("e{at}"), if at < 3 { "patan" } else { "thimi" }))
        .collect();
    let mut balancer = balancer(&records);
    play(&mut balancer, 2_000, 5_000, 30, 3);
    let pace = TargetPace {
        ratio: 2.0,
        late_share: 0.05,
        ..TargetPace::default()
    };
    let paces: Vec<_> = ["e1", "e4"]
        .map(|engine| DomainPace::new(&name(engine), IncarnationNumber(1), pace))
        .to_vec();
    balancer.apply_domain_paces(at(7_000), &"thimi".parse().unwrap(), paces.clone());
    balancer.on_tick(at(7_100));
    assert!(balancer.target(&name("e4")).unwrap().pace.is_avoided);
    assert!((ratio(&balancer, "e1") - 1.0).abs() < 0.1);
    // A node that knows of no other engine holds the others for usual ones.
    let mut fresh = engines(0);
    fresh.update_records(at(1_000), records, &LeaseGuard::default());
    fresh.apply_domain_paces(at(7_000), &"thimi".parse().unwrap(), paces);
    fresh.on_tick(at(7_100));
    assert!(fresh.target(&name("e4")).unwrap().pace.is_avoided);
    balancer.on_tick(at(27_100));
    assert!(!balancer.target(&name("e4")).unwrap().pace.is_avoided);
}

/// Delay of a call on an engine as it was estimated before paces were learned; `None` without room.
fn old_cost(state: &TargetState, call: &PlacementRequest) -> Option<f64> {
    let spec = call.engine.unwrap();
    let total = state.total();
    let share = if call.is_quick { 0.9 } else { 0.77 };
    let limit = f64::from(spec.memory.0) * share;
    let tokens = (total.tokens + call.load.tokens) as f64;
    let has_room = total.calls < spec.slots && (tokens <= limit || total.is_empty());
    if !has_room || total.prefill >= 3_500 {
        return None;
    }
    let fill = tokens / limit;
    let domain = if state.record.domain.as_str() == "patan" {
        0.0
    } else {
        250.0
    };
    let prefill = entry::prefill_time(total.prefill).as_millis() as f64;
    Some(prefill + f64::from(total.calls) * 3.0 + fill * fill * 250.0 + domain)
}

/// Choice by the old estimate, at random among those less than 20 ms above the lowest.
fn old_choice(
    balancer: &LoadBalancer,
    call: &PlacementRequest,
    random: &mut Pcg64,
) -> Option<TargetName> {
    let states = balancer.targets().iter();
    let costs: Vec<_> = states
        .filter_map(|state| Some((old_cost(state, call)?, &state.record.name)))
        .collect();
    let least = costs.iter().map(|(cost, _)| *cost).reduce(f64::min)?;
    let near: Vec<_> = costs
        .iter()
        .filter(|(cost, _)| *cost < least + 20.0)
        .collect();
    Some(near[random.random_range(0..near.len())].1.clone())
}

// Guards against choices that change although no engine differs by more than a quarter, or no call
// has a pause limit.
#[parameterized(
    a_limit_and_equal_engines = { true, 36 },
    no_limit_and_a_slow_engine = { false, 60 },
)]
fn choices_are_as_before(has_limit: bool, slow_ms: u64) {
    for seed in 1..=20 {
        let records: Vec<_> = (0..12)
            .map(|at| record(&format!("e{at:02}"), if at < 9 { "patan" } else { "thimi" }))
            .collect();
        let mut balancer = LoadBalancer::new("patan".parse().unwrap(), seed);
        balancer.update_records(at(1_000), records, &LeaseGuard::default());
        let mut old_random = Pcg64::seed_from_u64(seed);
        let mut random = Pcg64::seed_from_u64(seed + 1_000);
        let mut placed = Vec::new();
        for step in 0..400_u64 {
            let now = 2_000 + step * 40;
            for engine in 0..12 {
                let gap = if engine == 0 { slow_ms } else { 30 };
                let sample = report(&format!("e{engine:02}"), gap, 3, u32::from(step % 20 == 0));
                balancer.add_paces(at(now), &node("n1"), &[sample]);
            }
            let is_quick = random.random_bool(0.5);
            let mut call = paced(now, if is_quick { 2 } else { 187 }, is_quick);
            call.load.tokens = random.random_range(500..3_500);
            call.load.prefill = random.random_range(0..2_500);
            if !has_limit {
                call.pace = None;
            }
            let expected = old_choice(&balancer, &call, &mut old_random);
            let chosen = match balancer.choose_target(at(now), &call) {
                PlacementDecision::Target(target) => Some(target),
                _ => None,
            };
            assert_eq!(chosen, expected, "seed {seed}, step {step}");
            if let Some(target) = chosen {
                balancer.add_load(&target, call.load);
                placed.push((target, call.load));
            }
            if placed.len() > 20 {
                let (target, load) = placed.swap_remove(random.random_range(0..placed.len()));
                balancer.remove_load(&target, load);
            }
        }
    }
}

// Prints the time of a placement with 300 engines of unequal speed, on which 300 nodes have load and
// report paces. Not a check: verdicts do not depend on elapsed time.
#[test]
fn placement_time() {
    let records: Vec<_> = (0..300)
        .map(|at| {
            record(
                &format!("e{at:03}"),
                if at % 4 == 0 { "patan" } else { "thimi" },
            )
        })
        .collect();
    let mut balancer = balancer(&records);
    for step in 0..10 {
        let now = at(2_000 + step * REPORT_MS);
        for engine in 0..300 {
            let gap = if engine % 4 == 0 { 60 } else { 30 };
            let sample = report(&format!("e{engine:03}"), gap, 14, u32::from(gap == 60));
            balancer.add_paces(now, &node(&format!("n{engine}")), &[sample]);
        }
    }
    balancer.on_tick(at(7_000));
    for (kind, mut call) in [
        ("paced", paced(7_000, 187, false)),
        ("plain", request(2_000, 1_000)),
    ] {
        call.load.tokens = 0;
        let started = std::time::Instant::now();
        for _ in 0..1_000 {
            balancer.choose_target(at(7_000), &call);
        }
        println!(
            "{kind}: {} ns a placement",
            started.elapsed().as_nanos() / 1_000
        );
    }
    let started = std::time::Instant::now();
    for step in 0..100 {
        balancer.on_tick(at(7_000 + step));
    }
    println!("comparison: {} ns", started.elapsed().as_nanos() / 100);
}
