//! Drives real processes with concurrent callers under a seeded fault schedule and checks the
//! history of callers and stand-ins against the guarantees.
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

use agatemoor::{CallAnswer, DemoCaller, MainCommand};
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

/// Longest wait of a caller for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// Times that a caller goes on with a stream or sends an order again.
const SEND_LIMIT: u32 = 5;
/// Time for the last events to reach the logs.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Period in which the floor of a retry budget earns one retry.
const FLOOR_SECONDS: u64 = 10;

/// Check the history of real processes under faults.
#[derive(FromArgs)]
struct HistoryArgs {
    /// seed of requests and faults; may be repeated
    #[argh(option)]
    seed: Vec<u64>,

    /// requests of each run
    #[argh(option, default = "2000")]
    requests: u64,

    /// longest time of each run in seconds, after which callers start nothing more
    #[argh(option, default = "60")]
    seconds: u64,

    /// callers at once
    #[argh(option, default = "24")]
    callers: usize,

    /// plant a second run of an order, which the check has to find
    #[argh(switch)]
    plant: bool,
}

fn main() -> ExitCode {
    // The processes of the fleet are this program with the arguments of `agatemoor`.
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

/// Runs one seed and reports; true if nothing was violated.
async fn check_seed(seed: u64, args: &HistoryArgs) -> bool {
    let mut fleet = ProcessFleet::start(FleetPlan {
        engines: vec!["thapathali", "thapathali", "thapathali", "balaju", "balaju"],
        ..FleetPlan::default()
    })
    .await;
    let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.caller_address).collect();
    let shared = Arc::new(LoadShared {
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
    let mut faults = FaultSchedule::new(seed);
    let limit = Duration::from_secs(args.seconds);
    while shared.next.load(Ordering::Relaxed) < args.requests && start.elapsed() < limit {
        faults.bring_about(&mut fleet).await;
    }
    shared.stop.store(true, Ordering::Relaxed);
    let mut book = CallerBook::default();
    while let Some(done) = tasks.join_next().await {
        book.add(done.expect("a caller does not panic"));
    }
    let took = start.elapsed();
    sleep(SETTLE_TIME).await;
    let mut history = faults.history(&fleet, &book);
    history.callers = std::mem::take(&mut book.records);
    if args.plant {
        plant_run(&mut history);
    }
    let restarts = faults.counts.get("kill node").copied().unwrap_or(0);
    let floor = 4 + restarts + 4 * (took.as_secs() / FLOOR_SECONDS + 1);
    let mut found: Vec<String> = HistoryChecker::new(floor)
        .check(&history)
        .iter()
        .map(ToString::to_string)
        .collect();
    found.extend(book.foreign_orders(&history));
    println!("seed {seed}: {} requests in {took:.1?}", book.requests);
    println!("  faults: {:?}", faults.counts);
    println!("  told: {:?}", book.told);
    let runs = history.targets.iter();
    let runs = runs.filter(|record| matches!(record, TargetRecord::Run { .. }));
    println!("  runs: {}, tokens: {}", runs.count(), book.tokens);
    println!("  violations: {}", found.len());
    found
        .iter()
        .for_each(|violation| println!("    {violation}"));
    let whole: u64 = book
        .told
        .iter()
        .filter(|(what, _)| what.ends_with("whole"))
        .map(|(_, count)| count)
        .sum();
    if whole == 0 {
        println!("  no request was answered, so that nothing was checked");
    }
    found.is_empty() && whole > 0
}

/// Adds a second run of the first order that ran.
fn plant_run(history: &mut CallHistory) {
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
        let generation = name("planted");
        history.targets.push(TargetRecord::Run {
            target,
            at,
            request,
            send,
            generation,
        });
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn wall_time() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockTime::new(since.map_or(0, |span| span.as_millis() as u64))
}

/// What all callers share.
struct LoadShared {
    nodes: Vec<SocketAddr>,
    caller: DemoCaller,
    next: AtomicU64,
    stop: AtomicBool,
}

/// What callers were told.
#[derive(Default)]
struct CallerBook {
    records: Vec<CallerRecord>,
    told: BTreeMap<String, u64>,
    requests: u64,
    tokens: u64,
    /// Tokens that each request asked for.
    wanted: BTreeMap<String, u64>,
    /// Orders with the identifier of the run in their answers.
    orders: Vec<(String, String)>,
}

impl CallerBook {
    fn add(&mut self, other: Self) {
        self.records.extend(other.records);
        for (what, count) in other.told {
            *self.told.entry(what).or_default() += count;
        }
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.wanted.extend(other.wanted);
        self.orders.extend(other.orders);
    }

    fn count(&mut self, what: impl Into<String>) {
        *self.told.entry(what.into()).or_default() += 1;
    }

    fn send(&mut self, request: &RequestId, send: u32, idempotent: bool) {
        self.records.push(CallerRecord::Sent {
            request: request.clone(),
            send: SendNumber(send),
            at: wall_time(),
            idempotent,
            keyed: !idempotent,
        });
    }

    fn tell(&mut self, request: &RequestId, send: u32, ran: RanState) {
        self.records.push(CallerRecord::Failed {
            request: request.clone(),
            send: SendNumber(send),
            at: wall_time(),
            ran,
        });
    }

    fn end(&mut self, request: &RequestId, send: u32, count: u64) {
        self.records.push(CallerRecord::Ended {
            request: request.clone(),
            send: SendNumber(send),
            count,
        });
    }

    /// Takes the tokens of an answer as their own texts name them.
    fn take_tokens(&mut self, request: &RequestId, text: &str) {
        let Some(marks) = standin::parse_tokens(text) else {
            // A text that holds anything but whole tokens is none that a target produced.
            let generation = name("garbled");
            self.push_token(request, generation, 0);
            return;
        };
        for mark in marks {
            self.push_token(request, name(&mark.generation), u64::from(mark.offset));
        }
    }

    fn push_token(&mut self, request: &RequestId, generation: GenerationId, offset: u64) {
        self.tokens += 1;
        self.records.push(CallerRecord::Token {
            request: request.clone(),
            send: SendNumber(0),
            generation,
            offset,
        });
    }

    /// Orders whose answer belongs to the run of another order.
    fn foreign_orders(&self, history: &CallHistory) -> Vec<String> {
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

/// Name under which the run of an order stands in the history.
fn order_generation(request: &str) -> String {
    format!("run-{request}")
}

async fn run_caller(shared: Arc<LoadShared>, seed: u64, requests: u64) -> CallerBook {
    let mut book = CallerBook::default();
    while !shared.stop.load(Ordering::Relaxed) {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        if number >= requests {
            break;
        }
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003) ^ number);
        book.requests += 1;
        match random.random_range(0..10) {
            0..5 => stream_tokens(&shared, number, &mut random, &mut book).await,
            5..7 => ask_whole(&shared, number, &mut random, &mut book).await,
            7..9 => place_order(&shared, number, true, &mut random, &mut book).await,
            _ => place_order(&shared, number, false, &mut random, &mut book).await,
        }
    }
    book
}

fn any_node(shared: &LoadShared, random: &mut Pcg64Mcg) -> SocketAddr {
    shared.nodes[random.random_range(0..shared.nodes.len())]
}

/// Reads a stream, going on at any node after a cut.
async fn stream_tokens(
    shared: &LoadShared,
    number: u64,
    random: &mut Pcg64Mcg,
    book: &mut CallerBook,
) {
    let (request, tokens) = new_generation(number, "stream", random, book);
    let mark = request.as_str();
    let call = shared
        .caller
        .generate(any_node(shared, random), "quill", mark, tokens, true, &[]);
    let mut answer = timeout(ANSWER_LIMIT, call).await.unwrap_or_default();
    let mut last = answer.last_event.clone();
    let mut sends = 1;
    loop {
        book.take_tokens(&request, &answer.text);
        if answer.whole && answer.status == 200 {
            book.end(&request, 0, completion_tokens(&answer));
            return book.count(if sends == 1 {
                "stream whole"
            } else {
                "resumed stream whole"
            });
        }
        if let Some((code, ran)) = told_error(&answer) {
            book.tell(&request, 0, ran);
            // A node that could not be asked says nothing of the generation itself.
            if last.is_none() || code == "generation_lost" {
                return book.count(format!("stream {code}"));
            }
        }
        let Some(event) = last.clone().filter(|_| sends < SEND_LIMIT) else {
            return book.count("stream cut");
        };
        sends += 1;
        sleep(Duration::from_millis(200)).await;
        let headers = [("last-event-id", event.as_str())];
        let node = any_node(shared, random);
        let path = "/v1/completions";
        let call = shared
            .caller
            .call(node, Method::GET, path, &headers, Bytes::new());
        answer = timeout(ANSWER_LIMIT, call).await.unwrap_or_default();
        last = answer.last_event.clone().or(last);
    }
}

async fn ask_whole(shared: &LoadShared, number: u64, random: &mut Pcg64Mcg, book: &mut CallerBook) {
    let (request, tokens) = new_generation(number, "whole", random, book);
    let node = any_node(shared, random);
    let mark = request.as_str();
    let call = shared
        .caller
        .generate(node, "quill", mark, tokens, false, &[]);
    let answer = timeout(ANSWER_LIMIT, call).await.unwrap_or_default();
    if answer.status == 200 && answer.whole {
        book.take_tokens(&request, &answer.text);
        book.end(&request, 0, completion_tokens(&answer));
        return book.count("generation whole");
    }
    match told_error(&answer) {
        Some((code, ran)) => {
            book.tell(&request, 0, ran);
            book.count(format!("generation {code}"));
        }
        None => book.count("generation cut"),
    }
}

fn new_generation(
    number: u64,
    kind: &str,
    random: &mut Pcg64Mcg,
    book: &mut CallerBook,
) -> (RequestId, u32) {
    let request: RequestId = name(&format!("{kind}-{number}"));
    let tokens = random.random_range(1..=60);
    book.wanted.insert(request.to_string(), u64::from(tokens));
    book.send(&request, 0, true);
    (request, tokens)
}

/// Places an order with a ticket or a key of its own and sends it again until it is told
/// something definite.
async fn place_order(
    shared: &LoadShared,
    number: u64,
    ticketed: bool,
    random: &mut Pcg64Mcg,
    book: &mut CallerBook,
) {
    let request: RequestId = name(&format!("order-{number}"));
    let key = match ticketed {
        false => Some(format!("key-{number}")),
        true => {
            let ticket = shared.caller.ticket(any_node(shared, random));
            timeout(ANSWER_LIMIT, ticket).await.ok().flatten()
        }
    };
    let Some(key) = key else {
        return book.count("no ticket");
    };
    let delay = random.random_range(0..400).to_string();
    let headers = [("idempotency-key", key.as_str()), ("x-delay-ms", &delay)];
    let kind = if ticketed { "ticket" } else { "key" };
    let mut last = "cut".to_owned();
    for send in 0..SEND_LIMIT {
        book.send(&request, send, false);
        let node = any_node(shared, random);
        let path = "/svc/orders/orders";
        let body = request.to_string();
        let call = shared
            .caller
            .call(node, Method::POST, path, &headers, body.into());
        let answer = timeout(ANSWER_LIMIT, call).await.unwrap_or_default();
        if answer.status == 200 && answer.whole {
            let run = answer.json()["request"].as_str().unwrap_or("").to_owned();
            book.orders.push((request.to_string(), run));
            book.end(&request, send, 0);
            return book.count(format!("{kind} order whole"));
        }
        if let Some((code, ran)) = told_error(&answer) {
            book.tell(&request, send, ran);
            last = code;
            // After "not run" a later send may run, which the check can't tell from this one.
            if ran == RanState::No {
                break;
            }
        }
        sleep(Duration::from_millis(200)).await;
    }
    book.count(format!("{kind} order {last}"));
}

/// Error of an answer or at the end of a stream, with its run state.
fn told_error(answer: &CallAnswer) -> Option<(String, RanState)> {
    let text = String::from_utf8_lossy(&answer.body);
    let at = text.rfind("{\"error\":")?;
    let mut values = serde_json::Deserializer::from_str(&text[at..]).into_iter();
    let object: serde_json::Value = values.next()?.ok()?;
    let code = object["error"]["code"].as_str()?.to_owned();
    let ran = object["error"]["ran"].as_str()?.parse().ok()?;
    Some((code, ran))
}

/// Number of tokens that the explicit end of an answer tells.
fn completion_tokens(answer: &CallAnswer) -> u64 {
    let text = String::from_utf8_lossy(&answer.body);
    let field = "\"completion_tokens\":";
    let count = text.rfind(field).map(|at| &text[at + field.len()..]);
    let digits = count.map(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
    let digits = digits.flatten().and_then(|digits| digits.parse().ok());
    digits.unwrap_or(u64::MAX)
}

/// Faults drawn from a seed, and the logs of the processes that they ended.
struct FaultSchedule {
    random: Pcg64Mcg,
    counts: BTreeMap<&'static str, u64>,
    lines: Vec<String>,
    marks: Vec<TargetRecord>,
}

/// A fault that has begun and how to end it.
enum OpenFault {
    None,
    KilledNode(usize),
    PausedNode(usize),
    KilledEngine(usize),
    LeavingEngine(usize),
}

impl FaultSchedule {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            counts: BTreeMap::new(),
            lines: Vec::new(),
            marks: Vec::new(),
        }
    }

    /// Brings one fault about, or a pair, and ends it again.
    async fn bring_about(&mut self, fleet: &mut ProcessFleet) {
        let first = self.begin(fleet).await;
        let pause = Duration::from_millis(self.random.random_range(200..1_500));
        sleep(pause).await;
        let second = match self.random.random_range(0..3) {
            0 => self.begin(fleet).await,
            _ => OpenFault::None,
        };
        let pause = Duration::from_millis(self.random.random_range(500..3_000));
        sleep(pause).await;
        self.finish(fleet, first).await;
        self.finish(fleet, second).await;
        let pause = Duration::from_millis(self.random.random_range(500..1_500));
        sleep(pause).await;
    }

    async fn begin(&mut self, fleet: &mut ProcessFleet) -> OpenFault {
        let node = self.random.random_range(0..fleet.nodes.len());
        let engine = self.random.random_range(0..fleet.engines.len());
        let address = fleet.engines[engine].address;
        let (what, open) = match self.random.random_range(0..5) {
            0 => {
                fleet.nodes[node].process.kill();
                ("kill node", OpenFault::KilledNode(node))
            }
            1 if !fleet.nodes[node].process.has_exited() => {
                fleet.nodes[node].process.send_signal("STOP");
                ("pause node", OpenFault::PausedNode(node))
            }
            2 => {
                fleet.engines[engine].process.kill();
                ("kill engine", OpenFault::KilledEngine(engine))
            }
            3 => {
                fleet
                    .send_control(address, "/control/mute", Bytes::new())
                    .await;
                ("silent streams", OpenFault::None)
            }
            _ => {
                let target = target_name(fleet, engine);
                let path = "/control/leave?admit";
                let left = fleet.send_control(address, path, Bytes::new()).await;
                if left.status == 200 {
                    let at = wall_time();
                    self.marks.push(TargetRecord::Leaving { target, at });
                }
                sleep(Duration::from_secs(4)).await;
                ("leaving engine", OpenFault::LeavingEngine(engine))
            }
        };
        *self.counts.entry(what).or_default() += 1;
        open
    }

    async fn finish(&mut self, fleet: &mut ProcessFleet, fault: OpenFault) {
        match fault {
            OpenFault::None => {}
            OpenFault::KilledNode(node) => fleet.restart_node(node, true),
            OpenFault::PausedNode(node) => {
                if !fleet.nodes[node].process.has_exited() {
                    fleet.nodes[node].process.send_signal("CONT");
                }
            }
            OpenFault::KilledEngine(engine) | OpenFault::LeavingEngine(engine) => {
                fleet.engines[engine].process.kill();
                self.lines.extend(fleet.engines[engine].process.log_lines());
                let target = target_name(fleet, engine);
                let at = wall_time();
                self.marks.push(TargetRecord::Returned { target, at });
                fleet.restart_engine(engine);
            }
        }
    }

    /// Reads what stand-ins ran from their logs, in the order of time.
    fn history(&mut self, fleet: &ProcessFleet, book: &CallerBook) -> CallHistory {
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
            let wanted = book.wanted.get(run.mark.as_str()).copied();
            // Warm-up calls are not part of the history.
            if run.mark.is_empty() || (engine && wanted.is_none()) {
                continue;
            }
            let generation: GenerationId = match engine {
                true => name(&run.generation),
                false => name(&order_generation(&run.request)),
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
                target: name(&run.target),
                at,
                request: name(&run.mark),
                // Callers stop after "not run", so that every run counts from the first send.
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

fn target_name(fleet: &ProcessFleet, engine: usize) -> TargetName {
    name(&fleet.engines[engine].name)
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
