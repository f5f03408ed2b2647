//! Sends requests from concurrent callers to a fleet of real processes, injects faults drawn from a
//! seed, and checks the recorded history of callers and stand-ins against the guarantees.
//!
//! Run it with `cargo run --example history -- --seed 1 --seed 2`.

#[allow(dead_code)]
#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agatemoor::{CallResponse, DemoCaller, MainCommand};
use argh::FromArgs;
use base::{ClockTime, GenerationId, RanState, RequestId, TargetName};
use bytes::Bytes;
use calls::{CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord};
use common::{FleetPlan, ProcessFleet};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::RunRecord;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Longest wait of a caller for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most sends of one request: a stream and its resumptions, or an order and its repetitions.
const MAX_SENDS: u32 = 5;
/// Wait after the last response, until the last runs are in the logs.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Seconds in which the minimum of a retry budget allows one retry.
const SECONDS_PER_FREE_RETRY: u64 = 10;

/// Check the history of requests to real processes under faults.
#[derive(FromArgs)]
struct HistoryArgs {
    /// seed of requests and faults; may be repeated
    #[argh(option)]
    seed: Vec<u64>,

    /// requests for each seed
    #[argh(option, default = "2000")]
    requests: u64,

    /// longest time for each seed in seconds, after which callers start no more requests
    #[argh(option, default = "60")]
    seconds: u64,

    /// number of concurrent callers
    #[argh(option, default = "24")]
    callers: usize,

    /// add a duplicate run of an order to the history, which the check has to find
    #[argh(switch)]
    plant: bool,
}

fn main() -> ExitCode {
    // The fleet starts this program with the arguments of `agatemoor` for its nodes and stand-ins.
    let mut args = std::env::args().skip(1);
    if args.any(|arg| arg == "node" || arg == "stand-in") {
        return match MainCommand::parse() {
            Ok(command) => command.run(),
            Err(code) => code,
        };
    }
    let args: HistoryArgs = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("threads start").block_on(check_seeds(args))
}

async fn check_seeds(args: HistoryArgs) -> ExitCode {
    let seeds = match args.seed.is_empty() {
        true => vec![1],
        false => args.seed.clone(),
    };
    let mut clean = true;
    for seed in seeds {
        clean &= check_seed(seed, &args).await;
    }
    match clean {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs one seed and prints its results; returns true if requests completed and no guarantee was
/// violated.
async fn check_seed(seed: u64, args: &HistoryArgs) -> bool {
    let mut fleet = ProcessFleet::start(FleetPlan {
        engines: vec!["thapathali", "thapathali", "thapathali", "balaju", "balaju"],
        ..FleetPlan::default()
    })
    .await;
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.caller_address).collect();
    let shared = Arc::new(SharedState {
        nodes,
        caller: fleet.caller.clone(),
        next: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..args.callers {
        tasks.spawn(run_caller(shared.clone(), seed, args.requests));
    }
    let mut faults = FaultInjector::new(seed);
    let limit = Duration::from_secs(args.seconds);
    while shared.next.load(Ordering::Relaxed) < args.requests && start.elapsed() < limit {
        faults.inject(&mut fleet).await;
    }
    shared.stop.store(true, Ordering::Relaxed);
    let mut results = CallerResults::default();
    while let Some(done) = tasks.join_next().await {
        results.merge(done.expect("a caller does not panic"));
    }
    let took = start.elapsed();
    sleep(SETTLE_TIME).await;
    let mut history = faults.history(&fleet, &results);
    history.callers = std::mem::take(&mut results.records);
    if args.plant {
        add_duplicate_run(&mut history);
    }
    let restarts = faults.counts.get("kill node").copied().unwrap_or(0);
    let floor = 4 + restarts + 4 * (took.as_secs() / SECONDS_PER_FREE_RETRY + 1);
    let mut found: Vec<String> = HistoryChecker::new(floor)
        .check(&history)
        .iter()
        .map(ToString::to_string)
        .collect();
    found.extend(results.mismatched_orders(&history));
    println!("seed {seed}: {} requests in {took:.1?}", results.requests);
    println!("  faults: {:?}", faults.counts);
    println!("  outcomes: {:?}", results.outcomes);
    let runs = history.targets.iter();
    let runs = runs.filter(|record| matches!(record, TargetRecord::Run { .. }));
    println!("  runs: {}, tokens: {}", runs.count(), results.tokens);
    println!("  violations: {}", found.len());
    found
        .iter()
        .for_each(|violation| println!("    {violation}"));
    let completed: u64 = results
        .outcomes
        .iter()
        .filter(|(what, _)| what.ends_with("complete"))
        .map(|(_, count)| count)
        .sum();
    if completed == 0 {
        println!("  no request completed, so nothing was checked");
    }
    found.is_empty() && completed > 0
}

/// Adds a duplicate of the first run of an order to the history.
fn add_duplicate_run(history: &mut CallHistory) {
    let order = history.targets.iter().find_map(|record| match record {
        TargetRecord::Run { request, .. } if request.as_str().starts_with("order") => {
            Some(record.clone())
        }
        _ => None,
    });
    if let Some(TargetRecord::Run {
        target,
        at,
        request,
        send,
        ..
    }) = order
    {
        let generation = parse_name("planted");
        history.targets.push(TargetRecord::Run {
            target,
            at,
            request,
            send,
            generation,
        });
    }
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::new(since.map_or(0, |span| span.as_millis() as u64))
}

/// State that all callers share.
struct SharedState {
    nodes: Vec<SocketAddr>,
    caller: DemoCaller,
    next: AtomicU64,
    stop: AtomicBool,
}

/// What callers sent and received.
#[derive(Default)]
struct CallerResults {
    records: Vec<CallerRecord>,
    outcomes: BTreeMap<String, u64>,
    requests: u64,
    tokens: u64,
    /// Number of tokens that each generation requested.
    wanted: BTreeMap<String, u64>,
    /// Completed orders with the request id of the run that their response names.
    orders: Vec<(String, String)>,
}

impl CallerResults {
    fn merge(&mut self, other: Self) {
        self.records.extend(other.records);
        for (what, count) in other.outcomes {
            *self.outcomes.entry(what).or_default() += count;
        }
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.wanted.extend(other.wanted);
        self.orders.extend(other.orders);
    }

    fn count_outcome(&mut self, what: impl Into<String>) {
        *self.outcomes.entry(what.into()).or_default() += 1;
    }

    fn record_send(&mut self, request: &RequestId, send: u32, idempotent: bool) {
        self.records.push(CallerRecord::Sent {
            request: request.clone(),
            send: SendNumber(send),
            at: wall_time(),
            idempotent,
            keyed: !idempotent,
        });
    }

    fn record_failure(&mut self, request: &RequestId, send: u32, ran: RanState) {
        self.records.push(CallerRecord::Failed {
            request: request.clone(),
            send: SendNumber(send),
            at: wall_time(),
            ran,
        });
    }

    fn record_end(&mut self, request: &RequestId, send: u32, count: u64) {
        self.records.push(CallerRecord::Ended {
            request: request.clone(),
            send: SendNumber(send),
            count,
        });
    }

    /// Records the tokens of a response; the text of each token names its generation and offset.
    fn record_tokens(&mut self, request: &RequestId, text: &str) {
        let Some(marks) = standin::parse_tokens(text) else {
            // A text with anything but complete tokens was not produced by a target, so it is
            // recorded under a generation that no target has.
            let generation = parse_name("garbled");
            self.record_token(request, generation, 0);
            return;
        };
        for mark in marks {
            self.record_token(
                request,
                parse_name(&mark.generation),
                u64::from(mark.offset),
            );
        }
    }

    fn record_token(&mut self, request: &RequestId, generation: GenerationId, offset: u64) {
        self.tokens += 1;
        self.records.push(CallerRecord::Token {
            request: request.clone(),
            send: SendNumber(0),
            generation,
            offset,
        });
    }

    /// Returns a violation for each order whose response belongs to the run of another order.
    fn mismatched_orders(&self, history: &CallHistory) -> Vec<String> {
        let mut runs = BTreeMap::new();
        for record in &history.targets {
            if let TargetRecord::Run {
                request,
                generation,
                ..
            } = record
            {
                runs.insert(generation.as_str(), request.as_str());
            }
        }
        let foreign = self.orders.iter().filter(|(order, run)| {
            let generation = order_generation(run);
            runs.get(generation.as_str()) != Some(&order.as_str())
        });
        foreign
            .map(|(order, run)| format!("foreign_answer: {order} got the answer of run {run}"))
            .collect()
    }
}

/// Returns the generation id under which the run of an order is recorded in the history.
fn order_generation(request: &str) -> String {
    format!("run-{request}")
}

/// Sends random requests one after the other until all are started or callers are stopped.
async fn run_caller(shared: Arc<SharedState>, seed: u64, requests: u64) -> CallerResults {
    let mut results = CallerResults::default();
    while !shared.stop.load(Ordering::Relaxed) {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= requests {
            break;
        }
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003) ^ number);
        results.requests += 1;
        match random.random_range(0..10) {
            0..5 => request_stream(&shared, number, &mut random, &mut results).await,
            5..7 => request_unstreamed(&shared, number, &mut random, &mut results).await,
            7..9 => place_order(&shared, number, true, &mut random, &mut results).await,
            _ => place_order(&shared, number, false, &mut random, &mut results).await,
        }
    }
    results
}

fn random_node(shared: &SharedState, random: &mut Pcg64Mcg) -> SocketAddr {
    shared.nodes[random.random_range(0..shared.nodes.len())]
}

/// Requests a stream and, after it is cut, resumes it at a random node.
async fn request_stream(
    shared: &SharedState,
    number: u64,
    random: &mut Pcg64Mcg,
    results: &mut CallerResults,
) {
    let (request, tokens) = start_generation(number, "stream", random, results);
    let mark = request.as_str();
    let call = shared.caller.generate(
        random_node(shared, random),
        "quill",
        mark,
        tokens,
        true,
        &[],
    );
    let mut response = timeout(RESPONSE_TIMEOUT, call).await.unwrap_or_default();
    let mut last = response.last_event.clone();
    let mut sends = 1;
    loop {
        results.record_tokens(&request, &response.text);
        if response.complete && response.status == 200 {
            results.record_end(&request, 0, completion_tokens(&response));
            return results.count_outcome(if sends == 1 {
                "stream complete"
            } else {
                "resumed stream complete"
            });
        }
        if let Some((code, ran)) = response_error(&response) {
            results.record_failure(&request, 0, ran);
            // Other errors come from a failed resumption; the generation itself may still run.
            if last.is_none() || code == "generation_lost" {
                return results.count_outcome(format!("stream {code}"));
            }
        }
        let Some(event) = last.clone().filter(|_| sends < MAX_SENDS) else {
            return results.count_outcome("stream cut");
        };
        sends += 1;
        sleep(Duration::from_millis(200)).await;
        let headers = [("last-event-id", event.as_str())];
        let node = random_node(shared, random);
        let path = "/v1/completions";
        let call = shared
            .caller
            .call(node, Method::GET, path, &headers, Bytes::new());
        response = timeout(RESPONSE_TIMEOUT, call).await.unwrap_or_default();
        last = response.last_event.clone().or(last);
    }
}

/// Requests a generation that is not streamed.
async fn request_unstreamed(
    shared: &SharedState,
    number: u64,
    random: &mut Pcg64Mcg,
    results: &mut CallerResults,
) {
    let (request, tokens) = start_generation(number, "whole", random, results);
    let node = random_node(shared, random);
    let mark = request.as_str();
    let call = shared
        .caller
        .generate(node, "quill", mark, tokens, false, &[]);
    let response = timeout(RESPONSE_TIMEOUT, call).await.unwrap_or_default();
    if response.status == 200 && response.complete {
        results.record_tokens(&request, &response.text);
        results.record_end(&request, 0, completion_tokens(&response));
        return results.count_outcome("generation complete");
    }
    match response_error(&response) {
        Some((code, ran)) => {
            results.record_failure(&request, 0, ran);
            results.count_outcome(format!("generation {code}"));
        }
        None => results.count_outcome("generation cut"),
    }
}

/// Records the send of a new generation and draws its number of tokens.
fn start_generation(
    number: u64,
    kind: &str,
    random: &mut Pcg64Mcg,
    results: &mut CallerResults,
) -> (RequestId, u32) {
    let request: RequestId = parse_name(&format!("{kind}-{number}"));
    let tokens = random.random_range(1..=60);
    results
        .wanted
        .insert(request.to_string(), u64::from(tokens));
    results.record_send(&request, 0, true);
    (request, tokens)
}

/// Sends an order with a ticket or a key of its own until it completes, is reported as not run, or
/// has been sent `MAX_SENDS` times.
async fn place_order(
    shared: &SharedState,
    number: u64,
    ticketed: bool,
    random: &mut Pcg64Mcg,
    results: &mut CallerResults,
) {
    let request: RequestId = parse_name(&format!("order-{number}"));
    let key = match ticketed {
        false => Some(format!("key-{number}")),
        true => {
            let ticket = shared.caller.ticket(random_node(shared, random));
            timeout(RESPONSE_TIMEOUT, ticket).await.ok().flatten()
        }
    };
    let Some(key) = key else {
        return results.count_outcome("no ticket");
    };
    let delay = random.random_range(0..400).to_string();
    let headers = [("idempotency-key", key.as_str()), ("x-delay-ms", &delay)];
    let kind = if ticketed { "ticket" } else { "key" };
    let mut last = "cut".to_owned();
    for send in 0..MAX_SENDS {
        results.record_send(&request, send, false);
        let node = random_node(shared, random);
        let path = "/svc/orders/orders";
        let body = request.to_string();
        let call = shared
            .caller
            .call(node, Method::POST, path, &headers, body.into());
        let response = timeout(RESPONSE_TIMEOUT, call).await.unwrap_or_default();
        if response.status == 200 && response.complete {
            let run = response.json()["request"].as_str().unwrap_or("").to_owned();
            results.orders.push((request.to_string(), run));
            results.record_end(&request, send, 0);
            return results.count_outcome(format!("{kind} order complete"));
        }
        if let Some((code, ran)) = response_error(&response) {
            results.record_failure(&request, send, ran);
            last = code;
            // After "not run" a later send may run, which the check cannot tell from this one.
            if ran == RanState::No {
                break;
            }
        }
        sleep(Duration::from_millis(200)).await;
    }
    results.count_outcome(format!("{kind} order {last}"));
}

/// Returns the code and run state of the error in a response or at the end of a stream.
fn response_error(response: &CallResponse) -> Option<(String, RanState)> {
    let text = String::from_utf8_lossy(&response.body);
    let at = text.rfind("{\"error\":")?;
    let mut values = serde_json::Deserializer::from_str(&text[at..]).into_iter();
    let object: serde_json::Value = values.next()?.ok()?;
    let code = object["error"]["code"].as_str()?.to_owned();
    let ran = object["error"]["ran"].as_str()?.parse().ok()?;
    Some((code, ran))
}

/// Returns the number of tokens that the usage at the end of a response states.
fn completion_tokens(response: &CallResponse) -> u64 {
    let text = String::from_utf8_lossy(&response.body);
    let field = "\"completion_tokens\":";
    let count = text.rfind(field).map(|at| &text[at + field.len()..]);
    let digits = count.map(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    let digits = digits.flatten().and_then(|digits| digits.parse().ok());
    digits.unwrap_or(u64::MAX)
}

/// Injects faults drawn from a seed, and keeps the logs of the engines that they end.
struct FaultInjector {
    random: Pcg64Mcg,
    counts: BTreeMap<&'static str, u64>,
    lines: Vec<String>,
    marks: Vec<TargetRecord>,
}

/// A fault in progress and the node or engine that has to be restored to end it.
enum ActiveFault {
    None,
    KilledNode(usize),
    PausedNode(usize),
    KilledEngine(usize),
    LeavingEngine(usize),
}

impl FaultInjector {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            counts: BTreeMap::new(),
            lines: Vec::new(),
            marks: Vec::new(),
        }
    }

    /// Starts one fault or two overlapping ones, and ends them after a pause.
    async fn inject(&mut self, fleet: &mut ProcessFleet) {
        let first = self.start_fault(fleet).await;
        let pause = Duration::from_millis(self.random.random_range(200..1_500));
        sleep(pause).await;
        let second = match self.random.random_range(0..3) {
            0 => self.start_fault(fleet).await,
            _ => ActiveFault::None,
        };
        let pause = Duration::from_millis(self.random.random_range(500..3_000));
        sleep(pause).await;
        self.end_fault(fleet, first).await;
        self.end_fault(fleet, second).await;
        let pause = Duration::from_millis(self.random.random_range(500..1_500));
        sleep(pause).await;
    }

    async fn start_fault(&mut self, fleet: &mut ProcessFleet) -> ActiveFault {
        let node = self.random.random_range(0..fleet.nodes.len());
        let engine = self.random.random_range(0..fleet.engines.len());
        let address = fleet.engines[engine].address;
        let (what, open) = match self.random.random_range(0..5) {
            0 => {
                fleet.nodes[node].process.kill();
                ("kill node", ActiveFault::KilledNode(node))
            }
            1 if !fleet.nodes[node].process.has_exited() => {
                fleet.nodes[node].process.send_signal("STOP");
                ("pause node", ActiveFault::PausedNode(node))
            }
            2 => {
                fleet.engines[engine].process.kill();
                ("kill engine", ActiveFault::KilledEngine(engine))
            }
            3 => {
                fleet
                    .send_control(address, "/control/mute", Bytes::new())
                    .await;
                ("silent streams", ActiveFault::None)
            }
            _ => {
                let target = engine_target(fleet, engine);
                let path = "/control/leave?admit";
                let left = fleet.send_control(address, path, Bytes::new()).await;
                if left.status == 200 {
                    let at = wall_time();
                    self.marks.push(TargetRecord::Leaving { target, at });
                }
                sleep(Duration::from_secs(4)).await;
                ("leaving engine", ActiveFault::LeavingEngine(engine))
            }
        };
        *self.counts.entry(what).or_default() += 1;
        open
    }

    async fn end_fault(&mut self, fleet: &mut ProcessFleet, fault: ActiveFault) {
        match fault {
            ActiveFault::None => {}
            ActiveFault::KilledNode(node) => fleet.restart_node(node, true),
            ActiveFault::PausedNode(node) => {
                if !fleet.nodes[node].process.has_exited() {
                    fleet.nodes[node].process.send_signal("CONT");
                }
            }
            ActiveFault::KilledEngine(engine) | ActiveFault::LeavingEngine(engine) => {
                fleet.engines[engine].process.kill();
                self.lines.extend(fleet.engines[engine].process.log_lines());
                let target = engine_target(fleet, engine);
                let at = wall_time();
                self.marks.push(TargetRecord::Returned { target, at });
                fleet.restart_engine(engine);
            }
        }
    }

    /// Builds the history of the targets from the logs of the stand-ins, sorted by time.
    fn history(&mut self, fleet: &ProcessFleet, results: &CallerResults) -> CallHistory {
        for engine in &fleet.engines {
            self.lines.extend(engine.process.log_lines());
        }
        self.lines.extend(fleet.app.log_lines());
        let mut timed: Vec<(ClockTime, TargetRecord)> = Vec::new();
        let mut tokens = Vec::new();
        for mark in self.marks.drain(..) {
            if let TargetRecord::Leaving { at, .. } | TargetRecord::Returned { at, .. } = &mark {
                timed.push((*at, mark));
            }
        }
        for line in &self.lines {
            let Some((at, state, run)) = parse_run(line) else {
                continue;
            };
            let engine = !run.generation.is_empty();
            let wanted = results.wanted.get(run.mark.as_str()).copied();
            // Warm-up calls are not part of the history.
            if run.mark.is_empty() || (engine && wanted.is_none()) {
                continue;
            }
            let generation: GenerationId = match engine {
                true => parse_name(&run.generation),
                false => parse_name(&order_generation(&run.request)),
            };
            let count = wanted.unwrap_or(0);
            if state == "finished" {
                tokens.push(TargetRecord::Finished { generation, count });
                continue;
            }
            tokens.extend((0..count).map(|offset| TargetRecord::Token {
                generation: generation.clone(),
                offset,
            }));
            let run = TargetRecord::Run {
                target: parse_name(&run.target),
                at,
                request: parse_name(&run.mark),
                // Callers stop after "not run", so every run can be attributed to the first send.
                send: SendNumber(0),
                generation,
            };
            timed.push((at, run));
        }
        timed.sort_by_key(|(at, _)| *at);
        let mut targets: Vec<TargetRecord> = timed.into_iter().map(|(_, record)| record).collect();
        targets.extend(tokens);
        CallHistory {
            callers: Vec::new(),
            targets,
        }
    }
}

fn engine_target(fleet: &ProcessFleet, engine: usize) -> TargetName {
    parse_name(&fleet.engines[engine].name)
}

/// Reads a log line of a stand-in: its time in seconds, then `run STATE JSON`.
fn parse_run(line: &str) -> Option<(ClockTime, &str, RunRecord)> {
    let (time, rest) = line.split_once(' ')?;
    let (seconds, millis) = time.split_once('.')?;
    let millis = seconds.parse::<u64>().ok()? * 1_000 + millis.parse::<u64>().ok()?;
    let at = rest.find(": run ")?;
    let (state, json) = rest[at + 6..].split_once(' ')?;
    let run = serde_json::from_str(json).ok()?;
    Some((ClockTime::new(millis), state, run))
}
