//! Long and quick calls against engines of unequal speed, without a network: how many are on time
//! when the pace of the engines is learned, and when it is not.

mod support;

use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan, TokenCount, TokenRate};
use entry::{
    CallQueue, EngineSpec, GapCollector, GapMeter, LeaseGuard, LoadBalancer, PaceNeed,
    PlacementDecision, PlacementRequest, QueueTicket, QueuedCall, TargetLoad, TargetRecord,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{balancer, record, request};

const SPEC: EngineSpec = EngineSpec {
    slots: 24,
    memory: TokenCount(26_979),
    can_move: false,
    event_tokens: 4,
    copy_rate: TokenRate(20_000),
};
const ENGINES: usize = 12;
const NODES: usize = 12;
/// Time for which calls arrive.
const LOAD_MS: u64 = 60_000;
/// Average time until an engine leaves and is replaced; its calls run to their end.
const LIFETIME_MS: u64 = 20_000;
const PAUSE_LIMIT: TimeSpan = TimeSpan::new(180);
const REPORT_MS: u64 = 500;
/// Share of the quick calls that may be late for the sake of long ones.
const QUICK_LOSS: f64 = 0.02;
/// Seeds of each comparison.
const SEEDS: std::ops::Range<u64> = 1..7;
const LONG: CallKind = CallKind {
    prompt: 3_000,
    latency_ms: 1_800,
    deadline_ms: 39_000,
    is_quick: false,
};
const QUICK: CallKind = CallKind {
    prompt: 2_200,
    latency_ms: 1_500,
    deadline_ms: 6_000,
    is_quick: true,
};
/// Time until the first event beside reading the prompt, and prompt tokens read in a millisecond,
/// as a node estimates them.
const FIRST_EVENT_MS: u64 = 450;

#[derive(Clone, Copy)]
struct CallKind {
    prompt: u64,
    latency_ms: u64,
    deadline_ms: u64,
    is_quick: bool,
}

/// Speeds of the engines and rates of calls.
#[derive(Clone, Copy)]
struct Setting {
    /// Speed of one engine in four, and of the others.
    speeds: (f64, f64),
    long_per_s: f64,
    quick_per_s: f64,
}

#[derive(Clone)]
struct Call {
    kind: CallKind,
    arrived: u64,
    events: u32,
    node: usize,
    first_event_at: Option<u64>,
    has_late_gap: bool,
    ended_at: Option<u64>,
}

impl Call {
    fn is_on_time(&self) -> bool {
        let first = self.first_event_at.map(|at| at - self.arrived);
        let is_begun = first.is_some_and(|first| first <= self.kind.latency_ms);
        let total = self.ended_at.map(|at| at - self.arrived);
        is_begun && !self.has_late_gap && total.is_some_and(|ms| ms <= self.kind.deadline_ms)
    }
}

struct Running {
    call: usize,
    prompt_left: u64,
    steps: u32,
    events: u32,
    last_event_at: u64,
    meter: GapMeter,
    load: TargetLoad,
}

struct Engine {
    name: TargetName,
    speed: f64,
    leaves_at: u64,
    running: Vec<Running>,
    next_step_at: f64,
    /// End of the current moment in which the engine is slow, and start of the next one.
    slow_until: u64,
    slow_from: u64,
}

/// Counts of calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    calls: u32,
    on_time: u32,
    unfinished: u32,
}

impl Share {
    fn value(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.calls.max(1))
    }
}

struct Simulation {
    random: Pcg64,
    setting: Setting,
    is_learning: bool,
    balancer: LoadBalancer,
    queue: CallQueue,
    waiting: Vec<(QueueTicket, usize, PlacementRequest)>,
    engines: Vec<Engine>,
    leaving: Vec<Engine>,
    calls: Vec<Call>,
    collectors: Vec<GapCollector>,
    started: u64,
}

impl Simulation {
    fn new(seed: u64, setting: Setting, is_learning: bool) -> Self {
        let mut simulation = Self {
            random: Pcg64::seed_from_u64(seed),
            setting,
            is_learning,
            balancer: balancer(&[]),
            queue: CallQueue::default(),
            waiting: Vec::new(),
            engines: Vec::new(),
            leaving: Vec::new(),
            calls: Vec::new(),
            collectors: vec![GapCollector::default(); NODES],
            started: 0,
        };
        for _ in 0..ENGINES {
            simulation.start_engine(0);
        }
        simulation.update_records(0);
        simulation
    }

    fn start_engine(&mut self, now: u64) {
        let at = self.started;
        self.started += 1;
        let (odd, usual) = self.setting.speeds;
        let speed = match at % 4 {
            0 => odd,
            _ => usual,
        };
        let lifetime = self
            .random
            .random_range(LIFETIME_MS / 2..LIFETIME_MS * 3 / 2);
        self.engines.push(Engine {
            name: format!("e{at:03}").parse().unwrap(),
            speed,
            leaves_at: now + lifetime,
            running: Vec::new(),
            next_step_at: now as f64,
            slow_until: 0,
            slow_from: now + self.random.random_range(0..4_000),
        });
    }

    fn update_records(&mut self, now: u64) {
        let listed = self.engines.iter().map(|one| (&one.name, false));
        let leaving = self.leaving.iter().map(|one| (&one.name, true));
        let records: Vec<_> = listed
            .chain(leaving)
            .map(|(name, is_leaving)| TargetRecord {
                is_leaving,
                incarnation: IncarnationNumber(1),
                ..record(name.as_str(), "patan")
            })
            .collect();
        let guard = LeaseGuard::default();
        self.balancer
            .update_records(ClockTime::new(now), records, &guard);
    }

    /// Replaces the engines whose time is over.
    fn replace_engines(&mut self, now: u64) {
        let mut at = 0;
        let mut has_changed = false;
        while at < self.engines.len() {
            if self.engines[at].leaves_at > now {
                at += 1;
                continue;
            }
            let engine = self.engines.remove(at);
            self.leaving.push(engine);
            self.start_engine(now);
            has_changed = true;
        }
        if has_changed {
            self.leaving.retain(|one| !one.running.is_empty());
            self.update_records(now);
        }
    }

    fn arrive(&mut self, now: u64) {
        for (kind, rate) in [
            (LONG, self.setting.long_per_s),
            (QUICK, self.setting.quick_per_s),
        ] {
            if !self.random.random_bool(rate / 1_000.0) {
                continue;
            }
            let events = match kind.is_quick {
                true => self.random.random_range(2..=3),
                // 187 on average.
                false => self.random.random_range(60..=314),
            };
            self.calls.push(Call {
                kind,
                arrived: now,
                events,
                node: self.random.random_range(0..NODES),
                first_event_at: None,
                has_late_gap: false,
                ended_at: None,
            });
            self.enqueue(now, self.calls.len() - 1);
        }
    }

    fn enqueue(&mut self, now: u64, at: usize) {
        let kind = self.calls[at].kind;
        let expected = if kind.is_quick { 3 } else { 187 };
        let prefill = entry::prefill_time(kind.prompt).as_millis();
        let start_by = ClockTime::new(now + kind.latency_ms - prefill - FIRST_EVENT_MS);
        let placement = PlacementRequest {
            engine: Some(SPEC),
            load: TargetLoad {
                calls: 1,
                tokens: kind.prompt + expected * 4 * 55 / 100,
                prefill: kind.prompt,
                incoming: 0,
            },
            is_quick: kind.is_quick,
            pace: self.is_learning.then_some(PaceNeed {
                pause_limit: PAUSE_LIMIT,
                latency_target: TimeSpan::new(kind.latency_ms),
                events_left: expected as u32,
                start_by,
            }),
            ..request(0, 0)
        };
        let ticket = self.queue.push(QueuedCall {
            service: "pool".parse().unwrap(),
            priority: u8::from(kind.is_quick),
            arrived: ClockTime::new(now),
            start_by,
            is_quick: kind.is_quick,
            is_move: false,
            workspace: None,
            work: 1,
        });
        self.waiting.push((ticket, at, placement));
    }

    /// Places waiting calls as the coordinator of a domain does.
    fn serve_queue(&mut self, now: u64) {
        let clock = ClockTime::new(now);
        let service = "pool".parse().unwrap();
        let mut avoided: Option<Vec<TargetName>> = None;
        for ticket in self.queue.ordered(clock, &service) {
            let at = self.waiting.iter().position(|one| one.0 == ticket).unwrap();
            let placement = self.waiting[at].2.clone();
            let decision = match &avoided {
                None => self.balancer.choose_target(clock, &placement),
                Some(_) if placement.may_wait_for_pace(clock) => continue,
                Some(avoided) => self.balancer.choose_among(clock, &placement, Some(avoided)),
            };
            let PlacementDecision::Target(name) = decision else {
                if avoided.is_none() {
                    avoided = Some(self.balancer.avoided_targets(clock, &placement));
                }
                continue;
            };
            self.balancer.add_load(&name, placement.load);
            self.queue.remove(ticket);
            let (_, call, placement) = self.waiting.remove(at);
            let engine = self.engines.iter_mut().find(|one| one.name == name);
            let engine = engine.expect("only engines that stay are chosen");
            engine.next_step_at = engine.next_step_at.max(now as f64);
            engine.running.push(Running {
                call,
                prompt_left: self.calls[call].kind.prompt,
                steps: 0,
                events: 0,
                last_event_at: now,
                meter: GapMeter::default(),
                load: placement.load,
            });
        }
    }

    /// Runs the steps of all engines that end until `now`.
    fn run_steps(&mut self, now: u64) {
        for engine in self.engines.iter_mut().chain(&mut self.leaving) {
            while engine.next_step_at <= now as f64 && !engine.running.is_empty() {
                let is_reading = engine.running.iter().any(|one| one.prompt_left > 0);
                if engine.slow_from <= now {
                    engine.slow_until = engine.slow_from + 600;
                    let pause = self.random.random_range(2_000..4_800);
                    engine.slow_from = engine.slow_until + pause;
                }
                let slow = if now < engine.slow_until { 2.5 } else { 1.0 };
                let chunk = if is_reading { 8.0 } else { 0.0 };
                let work = 7.0 + 0.12 * engine.running.len() as f64 + chunk;
                engine.next_step_at += work / engine.speed * slow;
                let mut is_reading = false;
                for running in &mut engine.running {
                    if running.prompt_left > 0 {
                        if !is_reading {
                            running.prompt_left = running.prompt_left.saturating_sub(112);
                            is_reading = true;
                        }
                        continue;
                    }
                    running.steps += 1;
                    if running.steps % 4 != 0 {
                        continue;
                    }
                    running.events += 1;
                    let call = &mut self.calls[running.call];
                    let (clock, node) = (ClockTime::new(now), call.node);
                    if running.events == 1 {
                        call.first_event_at = Some(now);
                        let prefill = TargetLoad {
                            prefill: std::mem::take(&mut running.load.prefill),
                            ..TargetLoad::default()
                        };
                        self.balancer.remove_load(&engine.name, prefill);
                    } else if now - running.last_event_at > PAUSE_LIMIT.as_millis() {
                        call.has_late_gap = true;
                    }
                    running.last_event_at = now;
                    if let Some(gap) = running.meter.record_event(clock) {
                        let late = running.meter.begins_late_stretch(clock, gap, PAUSE_LIMIT);
                        let run = IncarnationNumber(1);
                        self.collectors[node].record(&engine.name, run, gap, late);
                    }
                    if running.events == call.events {
                        call.ended_at = Some(now);
                        self.balancer.remove_load(&engine.name, running.load);
                    }
                }
                let calls = &self.calls;
                engine
                    .running
                    .retain(|one| calls[one.call].ended_at.is_none());
            }
        }
    }

    fn report(&mut self, now: u64) {
        let clock = ClockTime::new(now);
        for (at, collector) in self.collectors.iter_mut().enumerate() {
            let node: NodeName = format!("n{at}").parse().unwrap();
            let reports = collector.close(clock);
            self.balancer.add_paces(clock, &node, &reports);
        }
    }

    /// Runs to the end; returns the shares of long and quick calls that are on time.
    fn run(mut self) -> (Share, Share) {
        for now in 0..LOAD_MS + 40_000 {
            if now < LOAD_MS {
                self.arrive(now);
                self.replace_engines(now);
            }
            if now % REPORT_MS == 0 {
                self.report(now);
            }
            if now % 50 == 0 {
                self.balancer.on_tick(ClockTime::new(now));
            }
            self.run_steps(now);
            if now % 5 == 0 {
                self.serve_queue(now);
            }
        }
        let share = |is_quick: bool| {
            let calls = self
                .calls
                .iter()
                .filter(|one| one.kind.is_quick == is_quick);
            calls.fold(Share::default(), |sum, call| Share {
                calls: sum.calls + 1,
                on_time: sum.on_time + u32::from(call.is_on_time()),
                unfinished: sum.unfinished + u32::from(call.ended_at.is_none()),
            })
        };
        (share(false), share(true))
    }
}

fn compare(setting: Setting, seeds: std::ops::Range<u64>) -> [(f64, f64); 2] {
    [false, true].map(|is_learning| {
        let mut sums = (0.0, 0.0);
        for seed in seeds.clone() {
            let (long, quick) = Simulation::new(seed, setting, is_learning).run();
            println!("learning {is_learning} seed {seed}: long {long:?}, quick {quick:?}");
            sums.0 += long.value();
            sums.1 += quick.value();
        }
        let count = (seeds.end - seeds.start) as f64;
        (sums.0 / count, sums.1 / count)
    })
}

// Guards against long calls that are late by their pauses although faster engines have room, with
// a quarter of the engines at half the speed of the others.
#[test]
fn slow_engines() {
    let setting = Setting {
        speeds: (0.55, 1.2),
        long_per_s: 5.8,
        quick_per_s: 6.5,
    };
    let [without, with] = compare(setting, SEEDS);
    println!("slow quarter: without {without:?}, with {with:?}");
    assert!(with.0 > without.0);
    assert!(with.1 > without.1 - QUICK_LOSS);
}

// The same with a quarter of the engines at twice the speed of the others.
#[test]
fn fast_engines() {
    let setting = Setting {
        speeds: (1.8, 0.83),
        long_per_s: 5.8,
        quick_per_s: 6.5,
    };
    let [without, with] = compare(setting, SEEDS);
    println!("fast quarter: without {without:?}, with {with:?}");
    assert!(with.0 > without.0);
    assert!(with.1 > without.1 - QUICK_LOSS);
}

// The same with engines of equal speed, where learning must cost nothing.
#[test]
fn equal_engines() {
    let setting = Setting {
        speeds: (1.0, 1.0),
        long_per_s: 5.8,
        quick_per_s: 6.5,
    };
    let [without, with] = compare(setting, SEEDS);
    println!("equal: without {without:?}, with {with:?}");
    assert!(with.0 >= without.0 && with.1 >= without.1);
}
