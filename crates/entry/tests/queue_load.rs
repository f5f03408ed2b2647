//! Load test of the queue without a network: arrivals, engines and callers who give up and return,
//! from a seed. The same load runs with the order before workspaces and estimates counted.

mod support;

use base::{ClockTime, ServiceName, TimeSpan, TokenCount, WorkspaceName};
use entry::{
    CallQueue, EngineSpec, LoadBalancer, PlacementDecision, PlacementRequest, QueueLane,
    QueueTicket, QueuedCall, ReturnSchedule, TargetLoad, prefill_time,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{SPEC, record, request};

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Time during which callers arrive.
const ARRIVAL_MS: u64 = 60_000;
/// Time after which all callers have an outcome.
const END_MS: u64 = 110_000;
/// Start of the burst.
const BURST_AT: u64 = 15_000;
const WORKSPACES: usize = 20;
/// Time for which a request is held, and longest time until it is sent again.
const HOLD_MS: u64 = 150;
const ABSENT_MS: u64 = 20;
/// Time between two steps of the simulation.
const STEP_MS: u64 = 5;
/// Time from the end of the prefill until the first event.
const FIRST_EVENT_MS: u64 = 150;
/// Estimate of that time, and of the time until an engine begins with the prompt, by which calls
/// count as late.
const FIRST_EVENT_ESTIMATE_MS: u64 = 450;
/// Engine of the deployments that the load is taken from.
const ENGINE: EngineSpec = EngineSpec {
    slots: 24,
    memory: TokenCount(26_900),
    ..SPEC
};
/// Time between two events.
const EVENT_MS: u64 = 40;
/// Value of a late answer beside one on time.
const LATE_VALUE: f64 = 0.18;
/// `Retry-After` when the wait was over, before estimates counted.
const OLD_RETRY_MS: u64 = 600;

/// A kind of call.
#[derive(Clone, Copy)]
struct Kind {
    is_quick: bool,
    per_second: f64,
    prompt: u64,
    events: u64,
    latency_ms: u64,
    deadline_ms: u64,
    priority: u8,
}

/// Load on one failure domain.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    engines: usize,
    kinds: [Kind; 2],
    /// Factors of the rates of long and of quick calls during the burst of 5 s.
    burst: [f64; 2],
    /// Factor of the calls of the first workspace.
    heavy: f64,
    /// Share by which demand rises and falls within 15 s.
    swing: f64,
}

const FJORDLYS: [Kind; 2] = [
    Kind {
        is_quick: false,
        per_second: 6.1,
        prompt: 3_000,
        events: 187,
        latency_ms: 4_000,
        deadline_ms: 39_000,
        priority: 2,
    },
    Kind {
        is_quick: true,
        per_second: 6.8,
        prompt: 2_200,
        events: 2,
        latency_ms: 1_500,
        deadline_ms: 6_000,
        priority: 0,
    },
];
const CORALGUM: [Kind; 2] = [
    Kind {
        is_quick: false,
        per_second: 5.85,
        prompt: 3_000,
        events: 187,
        latency_ms: 1_800,
        deadline_ms: 39_000,
        priority: 0,
    },
    Kind {
        is_quick: true,
        per_second: 6.5,
        prompt: 2_200,
        events: 3,
        latency_ms: 1_500,
        deadline_ms: 6_000,
        priority: 1,
    },
];

const BURST: Scenario = Scenario {
    name: "burst",
    engines: 9,
    kinds: FJORDLYS,
    burst: [2.6, 1.0],
    heavy: 1.0,
    swing: 0.0,
};
const CORAL_BURST: Scenario = Scenario {
    name: "burst, urgent long calls",
    engines: 10,
    kinds: CORALGUM,
    ..BURST
};
const QUICK_BURST: Scenario = Scenario {
    name: "burst of quick calls",
    burst: [1.0, 2.6],
    ..BURST
};
const CORAL_QUICK_BURST: Scenario = Scenario {
    name: "burst of quick calls, urgent long calls",
    burst: [1.0, 2.6],
    ..CORAL_BURST
};
const HEAVY: Scenario = Scenario {
    name: "one workspace at nine times",
    engines: 8,
    burst: [1.0, 1.0],
    heavy: 9.0,
    ..BURST
};
const SWING: Scenario = Scenario {
    name: "rising and falling demand",
    engines: 9,
    kinds: CORALGUM,
    burst: [1.0, 1.0],
    heavy: 1.0,
    swing: 0.55,
};
const CALM: Scenario = Scenario {
    name: "enough room",
    engines: 24,
    burst: [1.0, 1.0],
    ..BURST
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    OnTime,
    Late,
    /// Refused, and not back in time or refused again.
    Refused,
    /// Gave up without an answer.
    GivenUp,
}

/// Queue of the order to compare with: by lane, then by arrival plus 400 ms for each rank.
#[derive(Default)]
struct OldQueue {
    next: u64,
    entries: Vec<(u64, QueuedCall)>,
}

impl OldQueue {
    fn lane(call: &QueuedCall, now: ClockTime) -> u8 {
        match (call.start_by < now, call.is_quick) {
            (true, _) => 2,
            (false, true) => 0,
            (false, false) => 1,
        }
    }

    fn push(&mut self, call: QueuedCall) -> u64 {
        self.next += 1;
        self.entries.push((self.next, call));
        self.next
    }

    fn remove(&mut self, ticket: u64) {
        self.entries.retain(|(known, _)| *known != ticket);
    }

    fn peek(&self, now: ClockTime) -> Option<u64> {
        let first = self.entries.iter().min_by_key(|(ticket, call)| {
            let arrived = call.arrived.as_millis() + 400 * u64::from(call.priority);
            (Self::lane(call, now), arrived, *ticket)
        });
        first.map(|(ticket, _)| *ticket)
    }

    fn has_ahead(&self, now: ClockTime, call: &QueuedCall) -> bool {
        let own = u8::from(!call.is_quick);
        let mut waiting = self.entries.iter();
        waiting.any(|(_, other)| Self::lane(other, now) <= own)
    }
}

/// The queue under test or the one to compare with.
enum Queue {
    Old(OldQueue),
    New(Box<CallQueue>),
}

#[derive(Clone, Copy, PartialEq)]
enum Ticket {
    Old(u64),
    New(QueueTicket),
}

impl Queue {
    fn push(&mut self, now: ClockTime, call: QueuedCall) -> Ticket {
        match self {
            Self::Old(queue) => Ticket::Old(queue.push(call)),
            Self::New(queue) => Ticket::New(queue.push_at(now, call)),
        }
    }

    /// Next call, and its lane if calls of others may go on when it finds no room.
    fn peek(&self, now: ClockTime, blocked: &[QueueLane]) -> Option<(Ticket, Option<QueueLane>)> {
        match self {
            Self::Old(queue) => queue.peek(now).map(|ticket| (Ticket::Old(ticket), None)),
            Self::New(queue) => {
                let next = queue.peek_beside(now, &service(), blocked);
                next.map(|(ticket, lane)| (Ticket::New(ticket), Some(lane)))
            }
        }
    }

    fn has_ahead(&self, now: ClockTime, call: &QueuedCall) -> bool {
        match self {
            Self::Old(queue) => queue.has_ahead(now, call),
            Self::New(queue) => queue.has_ahead(now, call),
        }
    }

    fn place(&mut self, now: ClockTime, ticket: Ticket) {
        match (self, ticket) {
            (Self::Old(queue), Ticket::Old(ticket)) => queue.remove(ticket),
            (Self::New(queue), Ticket::New(ticket)) => queue.place(now, ticket),
            _ => unreachable!(),
        }
    }

    /// Removes a call that was not served; it returns if its node repeats the request.
    fn leave(&mut self, now: ClockTime, ticket: Ticket, may_return: bool) {
        match (self, ticket) {
            (Self::Old(queue), Ticket::Old(ticket)) => queue.remove(ticket),
            (Self::New(queue), Ticket::New(ticket)) if may_return => queue.leave(now, ticket),
            (Self::New(queue), Ticket::New(ticket)) => queue.abandon(now, ticket),
            _ => unreachable!(),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Not in the queue until this time: before its arrival, between two requests or until it
    /// returns.
    Away(u64),
    /// In the queue, until the request is answered.
    Queued(Ticket, u64),
    /// On an engine, with the times of the first event and of the end.
    Placed(usize, u64, u64),
    Done,
}

struct Caller {
    kind: Kind,
    workspace: usize,
    /// Arrival of this attempt.
    arrived: u64,
    deadline: u64,
    events: u64,
    is_new: bool,
    has_returned: bool,
    stage: Stage,
    outcome: Option<Outcome>,
    load: TargetLoad,
}

impl Caller {
    fn call(&self) -> QueuedCall {
        let start_within = self.kind.latency_ms
            - prefill_time(self.kind.prompt).as_millis()
            - FIRST_EVENT_ESTIMATE_MS;
        QueuedCall {
            service: service(),
            priority: self.kind.priority,
            arrived: ClockTime::new(self.arrived),
            start_by: ClockTime::new(self.arrived + start_within),
            is_quick: self.kind.is_quick,
            is_move: false,
            workspace: Some(workspace(self.workspace)),
            work: self.load.work(),
        }
    }

    fn placement(&self) -> PlacementRequest {
        PlacementRequest {
            engine: Some(ENGINE),
            is_quick: self.kind.is_quick,
            load: self.load,
            ..request(0, 0)
        }
    }

    /// Longest time until which the queue holds the call.
    fn wait_end(&self) -> u64 {
        (self.arrived + 3 * self.kind.latency_ms).min(self.deadline)
    }
}

struct Simulation {
    queue: Queue,
    balancer: LoadBalancer,
    returns: ReturnSchedule,
    callers: Vec<Caller>,
    random: Pcg64,
    /// Callers refused early, and how many of all refused callers were served when they returned.
    refused_early: usize,
    served_on_return: usize,
    /// Longest wait of a call that was placed.
    longest_wait: u64,
}

fn service() -> ServiceName {
    "pool".parse().unwrap()
}

fn workspace(at: usize) -> WorkspaceName {
    format!("w{at}").parse().unwrap()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64, is_new: bool) -> Self {
        let records: Vec<_> = (0..scenario.engines)
            .map(|at| record(&format!("e{at:02}"), "patan"))
            .collect();
        let queue = match is_new {
            true => Queue::New(Box::default()),
            false => Queue::Old(OldQueue::default()),
        };
        Self {
            queue,
            balancer: support::balancer(&records),
            returns: ReturnSchedule::default(),
            callers: arrivals(scenario, seed),
            random: Pcg64::seed_from_u64(seed + 1_000),
            refused_early: 0,
            served_on_return: 0,
            longest_wait: 0,
        }
    }

    fn run(mut self) -> Report {
        let mut first = 0;
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            while self
                .callers
                .get(first)
                .is_some_and(|one| one.stage == Stage::Done)
            {
                first += 1;
            }
            for at in first..self.callers.len() {
                if self.callers[at].is_new && self.callers[at].arrived > ms {
                    break;
                }
                self.step(at, ms);
            }
            self.serve(ms);
        }
        Report::new(&self)
    }

    fn step(&mut self, at: usize, ms: u64) {
        let caller = &self.callers[at];
        let patience_end = caller.arrived + 4 * caller.kind.latency_ms;
        match caller.stage {
            Stage::Away(until) if until <= ms => self.request(at, ms),
            Stage::Away(_) | Stage::Done => {}
            Stage::Queued(ticket, until) if until <= ms => {
                let may_return = ms < caller.wait_end();
                self.queue.leave(ClockTime::new(ms), ticket, may_return);
                match may_return {
                    true => {
                        let absent = self.random.random_range(1..=ABSENT_MS);
                        self.callers[at].stage = Stage::Away(ms + absent);
                    }
                    false => self.refuse(at, ms, OLD_RETRY_MS),
                }
            }
            Stage::Queued(..) => {}
            Stage::Placed(_, first, _) if caller.outcome.is_none() && first <= ms => {
                let waited = first - caller.arrived;
                let outcome = match (waited <= caller.kind.latency_ms, first <= patience_end) {
                    (true, _) => Outcome::OnTime,
                    (false, true) => Outcome::Late,
                    (false, false) => Outcome::GivenUp,
                };
                self.callers[at].outcome = Some(outcome);
                self.end_prefill(at);
            }
            Stage::Placed(engine, _, end) if end <= ms => {
                let load = self.callers[at].load;
                self.balancer.remove_load(&engine_name(engine), load);
                self.callers[at].stage = Stage::Done;
            }
            Stage::Placed(..) => {}
        }
    }

    fn end_prefill(&mut self, at: usize) {
        let Stage::Placed(engine, ..) = self.callers[at].stage else {
            return;
        };
        let prefill = std::mem::take(&mut self.callers[at].load.prefill);
        let part = TargetLoad {
            prefill,
            ..TargetLoad::default()
        };
        self.balancer.remove_load(&engine_name(engine), part);
    }

    /// Handles a request for room, as a coordinator does.
    fn request(&mut self, at: usize, ms: u64) {
        let now = ClockTime::new(ms);
        let call = self.callers[at].call();
        let is_new = std::mem::replace(&mut self.callers[at].is_new, false);
        if let Queue::New(queue) = &mut self.queue
            && is_new
        {
            queue.record_arrival(now, &service());
        }
        if !self.queue.has_ahead(now, &call)
            && let PlacementDecision::Target(target) = self
                .balancer
                .choose_target(now, &self.callers[at].placement())
        {
            if let Queue::New(queue) = &mut self.queue {
                queue.place_direct(now, &call);
            }
            return self.start(at, ms, target.as_str());
        }
        let patience = TimeSpan::new(self.callers[at].wait_end().saturating_sub(ms));
        if let Queue::New(queue) = &self.queue
            && let Some(refusal) = queue.refuse_early(now, &call, patience)
        {
            let (first, interval) = (refusal.first_return, refusal.return_interval);
            let wait = self.returns.next_return(now, &service(), first, interval);
            self.refused_early += 1;
            return self.refuse(at, ms, wait.as_millis());
        }
        let until = (ms + HOLD_MS).min(self.callers[at].wait_end());
        let ticket = self.queue.push(now, call);
        self.callers[at].stage = Stage::Queued(ticket, until);
    }

    fn serve(&mut self, ms: u64) {
        let now = ClockTime::new(ms);
        let mut blocked = Vec::new();
        while let Some((ticket, lane)) = self.queue.peek(now, &blocked) {
            let is_it = |caller: &Caller| matches!(caller.stage, Stage::Queued(known, _) if known == ticket);
            let at = self.callers.iter().position(is_it).unwrap();
            let placement = self.callers[at].placement();
            let decision = self.balancer.choose_target(now, &placement);
            let PlacementDecision::Target(target) = decision else {
                match lane {
                    Some(lane) => blocked.push(lane),
                    None => return,
                }
                continue;
            };
            self.queue.place(now, ticket);
            self.start(at, ms, target.as_str());
        }
    }

    fn start(&mut self, at: usize, ms: u64, target: &str) {
        let engine: usize = target[1..].parse().unwrap();
        let name = engine_name(engine);
        let ahead = self.balancer.target(&name).unwrap().total().prefill;
        let caller = &mut self.callers[at];
        let load = caller.load;
        self.balancer.add_load(&name, load);
        let prefill = prefill_time(ahead + caller.kind.prompt).as_millis();
        let first = ms + prefill + FIRST_EVENT_MS;
        let end = first + caller.events * EVENT_MS;
        caller.stage = Stage::Placed(engine, first, end);
        self.served_on_return += usize::from(caller.has_returned);
        self.longest_wait = self.longest_wait.max(ms - caller.arrived);
    }

    /// Refuses a caller, who returns once if there is time.
    fn refuse(&mut self, at: usize, ms: u64, wait: u64) {
        let caller = &mut self.callers[at];
        let left = caller.deadline.saturating_sub(ms);
        if caller.has_returned || left < 1_000 {
            caller.stage = Stage::Done;
            caller.outcome = Some(Outcome::Refused);
            return;
        }
        let wait = wait.min(left / 3).max(500);
        caller.has_returned = true;
        caller.arrived = ms + wait;
        caller.is_new = false;
        caller.stage = Stage::Away(ms + wait);
    }
}

/// Callers of a scenario, sorted by arrival.
fn arrivals(scenario: Scenario, seed: u64) -> Vec<Caller> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut callers = Vec::new();
    for kind in scenario.kinds {
        for ms in 0..ARRIVAL_MS {
            let is_burst = (BURST_AT..BURST_AT + 5_000).contains(&ms);
            let burst = match is_burst {
                true => scenario.burst[usize::from(kind.is_quick)],
                false => 1.0,
            };
            let phase = ms as f64 / 15_000.0 * std::f64::consts::TAU;
            let factor = burst * (1.0 + scenario.swing * phase.sin());
            for at in 0..WORKSPACES {
                // The heavy workspace sends its surplus in the time of the burst and the 10 s after.
                let is_heavy = at == 0 && (BURST_AT..BURST_AT + 15_000).contains(&ms);
                let own = if is_heavy { scenario.heavy } else { 1.0 };
                let chance = kind.per_second / 1_000.0 / WORKSPACES as f64 * factor * own;
                if random.random::<f64>() < chance {
                    let events = match kind.is_quick {
                        true => kind.events,
                        false => random.random_range(20..=2 * kind.events - 20),
                    };
                    let held = (kind.events as f64 * 4.0 * 0.55) as u64;
                    callers.push(Caller {
                        kind,
                        workspace: at,
                        arrived: ms,
                        deadline: ms + kind.deadline_ms,
                        events,
                        is_new: true,
                        has_returned: false,
                        stage: Stage::Away(ms),
                        outcome: None,
                        load: TargetLoad {
                            calls: 1,
                            tokens: kind.prompt + held,
                            prefill: kind.prompt,
                            incoming: 0,
                        },
                    });
                }
            }
        }
    }
    callers.sort_by_key(|caller| caller.arrived);
    callers
}

fn engine_name(at: usize) -> base::TargetName {
    format!("e{at:02}").parse().unwrap()
}

/// Outcomes of one run.
#[derive(Clone, Debug, Default)]
struct Report {
    /// On time, late, refused and given up: of long calls, then of quick ones.
    outcomes: [[usize; 4]; 2],
    /// The same by tenth of the workspaces, in the order of their numbers.
    tenths: [[usize; 4]; 10],
    refused_early: usize,
    served_on_return: usize,
    /// Answers on time to callers who returned.
    on_time_on_return: usize,
    longest_wait: u64,
}

impl Report {
    fn new(simulation: &Simulation) -> Self {
        let mut report = Self {
            refused_early: simulation.refused_early,
            served_on_return: simulation.served_on_return,
            longest_wait: simulation.longest_wait,
            ..Self::default()
        };
        for caller in &simulation.callers {
            let outcome = caller.outcome.expect("each caller has an outcome") as usize;
            report.outcomes[usize::from(caller.kind.is_quick)][outcome] += 1;
            report.tenths[caller.workspace * 10 / WORKSPACES][outcome] += 1;
            let is_on_time = caller.outcome == Some(Outcome::OnTime);
            report.on_time_on_return += usize::from(caller.has_returned && is_on_time);
        }
        report
    }

    fn add(&mut self, other: &Self) {
        let add = |sums: &mut [usize; 4], more: &[usize; 4]| {
            sums.iter_mut().zip(more).for_each(|(sum, one)| *sum += one);
        };
        for at in 0..2 {
            add(&mut self.outcomes[at], &other.outcomes[at]);
        }
        for at in 0..10 {
            add(&mut self.tenths[at], &other.tenths[at]);
        }
        self.refused_early += other.refused_early;
        self.served_on_return += other.served_on_return;
        self.on_time_on_return += other.on_time_on_return;
        self.longest_wait = self.longest_wait.max(other.longest_wait);
    }

    /// The same sum if an answer to a caller who returned is worth no more than a late one.
    fn careful_value(&self) -> f64 {
        self.value() - self.on_time_on_return as f64 * (1.0 - LATE_VALUE)
    }

    /// Sum of the values of the answers.
    fn value(&self) -> f64 {
        let values = self.outcomes.iter();
        values
            .map(|[on_time, late, ..]| *on_time as f64 + *late as f64 * LATE_VALUE)
            .sum()
    }

    fn on_time_share(counts: &[usize; 4]) -> f64 {
        counts[0] as f64 / counts.iter().sum::<usize>().max(1) as f64
    }
}

/// Runs a scenario for all seeds with the old order and with the new one.
fn compare(scenario: Scenario) -> [Report; 2] {
    let mut reports = [Report::default(), Report::default()];
    for seed in SEEDS {
        for (is_new, report) in reports.iter_mut().enumerate() {
            report.add(&Simulation::new(scenario, seed, is_new == 1).run());
        }
    }
    println!("{}:", scenario.name);
    for (name, report) in ["old", "new"].iter().zip(&reports) {
        let (value, careful) = (report.value(), report.careful_value());
        println!("  {name}: value {value:.1}, {careful:.1} if returns count as late");
        println!("    long, quick: {:?}", report.outcomes);
        println!("    by tenth: {:?}", report.tenths);
        println!(
            "    refused early {}, served on return {}, longest wait {} ms",
            report.refused_early, report.served_on_return, report.longest_wait
        );
    }
    reports
}

// Guards against an order or refusals that cost callers more than they gain when long calls need
// more room than there is for 5 s.
#[test]
fn a_burst_of_long_calls_costs_less_than_before() {
    for scenario in [BURST, CORAL_BURST] {
        let [old, new] = compare(scenario);
        assert!(new.value() >= old.value());
        assert!(new.careful_value() >= old.careful_value());
        let given_up = |report: &Report| report.outcomes[0][3] + report.outcomes[1][3];
        assert!(given_up(&new) <= given_up(&old));
    }
}

// Guards against quick calls that are refused or made to wait although they need little room.
#[test]
fn a_burst_of_quick_calls_costs_no_more_than_before() {
    for scenario in [QUICK_BURST, CORAL_QUICK_BURST] {
        let [old, new] = compare(scenario);
        assert!(new.value() >= old.value());
    }
}

// Guards against refusals in a short overload whose callers return and take the room of calls that
// would have been on time at their first attempt.
#[test]
fn returns_after_a_burst_of_quick_calls_displace_no_first_attempts() {
    for scenario in [QUICK_BURST, CORAL_QUICK_BURST] {
        let [old, new] = compare(scenario);
        let (old, new) = (old.careful_value(), new.careful_value());
        assert!(
            new >= old,
            "{}: {old:.1} before, {new:.1} now",
            scenario.name
        );
    }
}

// Guards against a workspace that delays the calls of others by sending many.
#[test]
fn a_workspace_at_nine_times_its_load_delays_itself() {
    let [old, new] = compare(HEAVY);
    let others = |report: &Report| {
        let mut sums = [0; 4];
        for tenth in &report.tenths[1..] {
            sums.iter_mut()
                .zip(tenth)
                .for_each(|(sum, one)| *sum += one);
        }
        Report::on_time_share(&sums)
    };
    assert!(others(&new) >= others(&old));
}

// Guards against estimates that refuse calls because demand was higher a moment ago.
#[test]
fn rising_and_falling_demand_costs_no_more_than_before() {
    let [old, new] = compare(SWING);
    assert!(new.value() >= old.value());
    assert!(new.careful_value() >= old.careful_value());
}

// Guards against refusals while there is room.
#[test]
fn nothing_is_refused_while_there_is_room() {
    let [_, new] = compare(CALM);
    assert_eq!(new.refused_early, 0);
}
