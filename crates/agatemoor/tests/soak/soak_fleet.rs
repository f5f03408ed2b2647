use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::fake_platform::FakePlatform;
use super::fake_runner::{FakeRunner, RunnerSettings};
use super::soak_caller::{CallerContext, CallerHabit, HOST, SoakCaller};
use super::soak_history::{AttemptRecord, GatewayEvent, History, Millis, Recorder};

/// Time for the gateways to find one another before the callers start.
const DISCOVERY_DURATION: Duration = Duration::from_secs(3);
/// Time after the last fault for which callers continue.
const RECOVERY_DURATION: Duration = Duration::from_secs(6);
/// Time that a planned stop may take before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of the route of streams.
const STREAM_TIMEOUT: Duration = Duration::from_secs(6);
/// Latency target of the route of streams.
const STREAM_LATENCY: Duration = Duration::from_millis(500);
/// Time after the stop signal until a gateway gets no new connections.
const ROTATION_DELAY: Duration = Duration::from_secs(2);
/// Time after its start until a gateway gets connections.
const RETURN_DELAY: Duration = Duration::from_millis(800);
/// Interval of the checks whether a gateway has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Failure domains; the platform calls them zones.
const ZONES: [&str; 2] = ["patan", "balaju"];

/// Size and length of one soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    pub seed: u64,
    pub gateways: usize,
    pub callers: u64,
    /// Time during which faults are started.
    pub fault_duration: Duration,
    /// Share of a core that each gateway gets in stressed stops; `None` for no limit.
    pub processor_percent: Option<u64>,
    pub profile: SoakProfile,
}

/// What a soak does to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakProfile {
    /// Random faults that overlap.
    Faults,
    /// Planned stops of one gateway after the other, beside calls that take nearly the timeout of
    /// their route.
    RollingStops,
    /// Planned stops of two gateways at once and beside reloads and changes of the configuration,
    /// while all engines are full and calls wait for them.
    StressedStops,
}

impl SoakProfile {
    /// Targets of each service in each domain.
    fn runners(self) -> [(&'static str, usize); 2] {
        match self {
            Self::Faults | Self::RollingStops => [("pool", 5), ("app", 3)],
            Self::StressedStops => [("pool", 2), ("app", 3)],
        }
    }

    /// Calls that an engine runs at once.
    fn slots(self) -> u32 {
        match self {
            Self::Faults | Self::RollingStops => 24,
            Self::StressedStops => 2,
        }
    }

    /// Time-out of the routes of plain services.
    fn plain_timeout(self) -> Duration {
        match self {
            Self::Faults => STREAM_TIMEOUT,
            Self::RollingStops | Self::StressedStops => Duration::from_secs(1),
        }
    }

    /// Time-out of the route of streams.
    fn stream_timeout(self) -> Duration {
        match self {
            Self::Faults => STREAM_TIMEOUT,
            Self::RollingStops | Self::StressedStops => Duration::from_secs(30),
        }
    }

    /// Latency target of the routes of plain services.
    fn plain_latency(self) -> Duration {
        match self {
            Self::Faults => STREAM_LATENCY,
            Self::RollingStops | Self::StressedStops => Duration::from_millis(150),
        }
    }

    /// Start of the name of the directory of a soak; soaks of different profiles may have one seed.
    fn directory_prefix(self) -> &'static str {
        match self {
            Self::Faults => "soak",
            Self::RollingStops => "stops",
            Self::StressedStops => "stressed",
        }
    }

    fn caller_habit(self, number: u64) -> CallerHabit {
        match (self, number % 8) {
            (Self::Faults, 0) => CallerHabit::Crashing,
            (Self::Faults, 4) => CallerHabit::DeadlyPart,
            (Self::Faults, _) => CallerHabit::Sound,
            (Self::RollingStops, 0 | 4) => CallerHabit::LongStreams,
            (Self::RollingStops, _) => CallerHabit::Keeping,
            (Self::StressedStops, 0 | 2 | 4 | 6) => CallerHabit::LongStreams,
            (Self::StressedStops, 7) => CallerHabit::Sound,
            (Self::StressedStops, _) => CallerHabit::Keeping,
        }
    }
}

/// The built program; another build of it can be named to compare it with an earlier version.
fn program_path() -> PathBuf {
    let other = env::var_os("AGATEMOOR_TEST_PROGRAM");
    other.map_or(env!("CARGO_BIN_EXE_agatemoor").into(), PathBuf::from)
}

fn signal_all(name: &str, ids: &[u32]) {
    let ids = ids.iter().map(u32::to_string);
    // Failing is no error: a process may have ended already.
    let _ = Command::new("kill")
        .args(["-s", name])
        .args(ids)
        .stderr(Stdio::null())
        .status();
}

/// A gateway in a process of its own.
struct GatewayProcess {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl GatewayProcess {
    fn start(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log);
        let child = Command::new(program_path())
            .arg("gateway")
            .env("AGATEMOOR_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.unwrap()))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    fn signal(&self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        let id = child.id().to_string();
        let mut kill = Command::new("kill");
        // Failing is no error: the process may have ended already.
        let _ = kill.args(["-s", name, &id]).stderr(Stdio::null()).status();
    }

    fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already is no error.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        // The processes are killed after this and are signalled no more.
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.clear();
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What one soak recorded.
pub struct SoakReport {
    pub history: History,
    /// When the last fault ended.
    pub faults_end: Millis,
    /// Faults in order, one line each.
    pub faults: Vec<String>,
    pub directory: PathBuf,
    pub counts: StepCounts,
}

/// Number of steps of a soak of planned stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepCounts {
    pub stops: u32,
    /// Stops at the end of whose grace period the process still ran.
    pub late_exits: u32,
    pub reloads: u32,
    pub changes: u32,
}

/// Starts the fakes and gateways of a soak, and waits until the gateways have found one another.
pub async fn start_fleet(plan: &SoakPlan) -> SoakFleet {
    let host = next_loopback_address();
    let (prefix, process) = (plan.profile.directory_prefix(), std::process::id());
    let name = format!("{prefix}-{}-{process}", plan.seed);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Removes the logs of an earlier process with this identifier, if there are any.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    let recorder = Recorder::new();
    let platform = FakePlatform::start(SocketAddr::new(host.into(), 21_000)).await;
    platform.put("op/config", &config_json(1, true, plan.profile));
    let mut runners = Vec::new();
    for zone in ZONES {
        for (service, count) in plan.profile.runners() {
            for _ in 0..count {
                let port = 22_000 + runners.len() as u16;
                let address = SocketAddr::new(host.into(), port);
                let has_slow_calls = plan.profile != SoakProfile::Faults;
                let settings = RunnerSettings {
                    service,
                    zone,
                    address,
                    has_slow_calls,
                    slots: plan.profile.slots(),
                };
                let runner = FakeRunner::start(&platform, &recorder, settings);
                runners.push(runner.await);
            }
        }
    }
    let mut fleet = SoakFleet::new(plan, host, directory, platform, runners, recorder);
    for gateway in 0..plan.gateways {
        fleet.start(gateway);
    }
    sleep(DISCOVERY_DURATION).await;
    fleet
}

/// Runs one soak.
pub async fn run_soak(plan: SoakPlan) -> SoakReport {
    let mut fleet = start_fleet(&plan).await;
    let context = fleet.context.clone();
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| {
            let habit = plan.profile.caller_habit(number);
            let caller = SoakCaller::new(context.clone(), plan.seed, number, habit);
            tokio::spawn(caller.run())
        })
        .collect();
    match plan.profile {
        SoakProfile::Faults => fleet.inject_faults(&plan).await,
        SoakProfile::RollingStops => fleet.roll_stops(&plan).await,
        SoakProfile::StressedStops => {
            if let Some(percent) = plan.processor_percent {
                fleet.throttle(percent);
            }
            fleet.stress_stops(&plan).await;
        }
    }
    let faults_end = context.recorder.now();
    sleep(RECOVERY_DURATION).await;
    context.is_finished.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let mut history = context.recorder.history();
    history.read = fleet.read_calls();
    history.forwarded = fleet.forwarded_attempts(&history);
    SoakReport {
        history,
        counts: fleet.counts,
        faults_end,
        faults: std::mem::take(&mut fleet.faults),
        directory: fleet.directory.clone(),
    }
}

/// The gateways and fakes of a soak, and the faults that it injects into them.
pub struct SoakFleet {
    directory: PathBuf,
    platform: Arc<FakePlatform>,
    runners: Vec<Arc<FakeRunner>>,
    gateways: Vec<GatewayProcess>,
    context: Arc<CallerContext>,
    random: Pcg64,
    faults: Vec<String>,
    /// Version of the last published configuration.
    version: u64,
    profile: SoakProfile,
    counts: StepCounts,
    /// Identifiers of the running processes of gateways.
    running: Arc<Mutex<Vec<u32>>>,
    /// Steps that are to be taken later, each with its time.
    scheduled: Vec<(Instant, ScheduledStep)>,
}

/// Step of a soak of stressed stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopStep {
    /// Two gateways stop at once.
    Pair,
    /// Two gateways stop at once as the configuration changes.
    PairBesideChange,
    /// A gateway stops as the configuration changes.
    BesideChange,
    /// A gateway stops as it gets several reload signals.
    BesideReloads,
    /// All gateways get several reload signals.
    ReloadsOnly,
}

/// Step that ends a fault or checks its end, some time after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ScheduledStep {
    Resume(usize),
    Start(usize),
    /// Starts the gateway again after its planned stop; a stop that is not over by then is listed
    /// with the faults.
    EndStop(usize),
    PlatformUp,
    /// Lets a runner name no rate of calls any more.
    EndRate(usize),
}

/// A fault that the soak injects.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Stop,
    Kill,
    Pause,
    PlatformDown,
    NewConfig,
    RunnerCrash,
    RunnerLeaves,
    RunnerDrains,
    RunnerAsksBackoff,
    RunnerNamesRate,
    /// Runners return at each other's addresses while the platform is down.
    AddressSwap,
}

/// Rates that runners name, in calls a second.
const RATES: [f64; 4] = [0.4, 1.5, 2.5, 6.0];
const FAULTS: [Fault; 11] = [
    Fault::Stop,
    Fault::Kill,
    Fault::Pause,
    Fault::PlatformDown,
    Fault::NewConfig,
    Fault::RunnerCrash,
    Fault::RunnerLeaves,
    Fault::RunnerDrains,
    Fault::RunnerAsksBackoff,
    Fault::RunnerNamesRate,
    Fault::AddressSwap,
];

impl SoakFleet {
    fn new(
        plan: &SoakPlan,
        host: Ipv4Addr,
        directory: PathBuf,
        platform: Arc<FakePlatform>,
        runners: Vec<Arc<FakeRunner>>,
        recorder: Recorder,
    ) -> Self {
        let address = |port: u16, gateway: usize| {
            SocketAddr::new(host.into(), port + gateway as u16).to_string()
        };
        let seeds: Vec<_> = (0..plan.gateways.min(3))
            .map(|gateway| address(25_000, gateway))
            .collect();
        let logs = directory.clone();
        let gateways = (0..plan.gateways).map(|gateway| {
            let settings = json!({
                "nodeName": format!("edge-{gateway}"),
                "zone": ZONES[gateway % ZONES.len()],
                "listen": {
                    "front": address(23_000, gateway),
                    "ready": address(24_000, gateway),
                    "control": address(25_000, gateway),
                },
                "seeds": seeds,
                "bounds": {
                    "graceS": STOP_TIMEOUT.as_secs(), "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10, "budgetExtra": 56,
                },
                "platform": {"address": platform.address.to_string()},
                "limits": {"cpuShare": 0.25, "memoryMb": 110},
            });
            let path = logs.join(format!("edge-{gateway}.json"));
            fs::write(&path, settings.to_string()).unwrap();
            GatewayProcess {
                settings: path,
                log: logs.join(format!("edge-{gateway}.log")),
                child: None,
            }
        });
        let callers = (0..plan.gateways).map(|gateway| address(23_000, gateway).parse().unwrap());
        Self {
            directory,
            gateways: gateways.collect(),
            context: Arc::new(CallerContext {
                recorder,
                gateways: callers.collect(),
                is_finished: AtomicBool::new(false),
                next_attempt: AtomicU64::new(1),
                rotation: (0..plan.gateways).map(|_| AtomicBool::new(true)).collect(),
            }),
            platform,
            runners,
            random: Pcg64::seed_from_u64(plan.seed),
            faults: Vec::new(),
            version: 1,
            profile: plan.profile,
            counts: StepCounts::default(),
            running: Arc::default(),
            scheduled: Vec::new(),
        }
    }

    /// The store of the platform.
    pub fn platform(&self) -> &Arc<FakePlatform> {
        &self.platform
    }

    /// All targets: those of one failure domain after the other, engines first.
    pub fn runners(&self) -> &[Arc<FakeRunner>] {
        &self.runners
    }

    /// Publishes a configuration of this version, with or without the route `spare`.
    pub fn publish_config(&self, version: u64, has_spare_route: bool) {
        let config = config_json(version, has_spare_route, self.profile);
        self.platform.put("op/config", &config);
    }

    /// Kills a gateway and starts it again.
    pub fn restart(&mut self, gateway: usize) {
        self.start(gateway);
    }

    /// Sends a signal to the process of a gateway.
    pub fn signal(&self, gateway: usize, name: &str) {
        self.gateways[gateway].signal(name);
    }

    /// Address of a gateway for callers.
    pub fn caller_address(&self, gateway: usize) -> SocketAddr {
        self.context.gateways[gateway]
    }

    /// Identifier of the process of a gateway.
    pub fn process(&self, gateway: usize) -> u32 {
        let child = self.gateways[gateway].child.as_ref();
        child.expect("the gateway runs").id()
    }

    fn start(&mut self, gateway: usize) {
        // Held until the list is right: no signal goes to a process that is over.
        let mut running = self.running.lock().unwrap();
        self.gateways[gateway].kill();
        self.gateways[gateway].start();
        let processes = self.gateways.iter().filter_map(|one| one.child.as_ref());
        *running = processes.map(Child::id).collect();
        drop(running);
        self.record_event(gateway, GatewayEvent::Started);
    }

    fn record_event(&self, gateway: usize, event: GatewayEvent) {
        self.context.recorder.record_gateway_event(gateway, event);
    }

    /// Starts random faults, which may overlap, and returns when the last one is over.
    async fn inject_faults(&mut self, plan: &SoakPlan) {
        let end = Instant::now() + plan.fault_duration;
        while Instant::now() < end {
            let fault = *FAULTS.choose(&mut self.random).unwrap();
            self.start_fault(fault);
            let pause = Duration::from_millis(self.random.random_range(50..900));
            let next = Instant::now() + pause;
            while let Some((at, step)) = self.next_scheduled().filter(|(at, _)| *at < next) {
                sleep_until(at).await;
                self.run_step(step);
            }
            sleep_until(next).await;
        }
        while let Some((at, step)) = self.next_scheduled() {
            sleep_until(at).await;
            self.run_step(step);
        }
    }

    /// Stops one gateway after the other and starts each again.
    async fn roll_stops(&mut self, plan: &SoakPlan) {
        let end = Instant::now() + plan.fault_duration;
        for gateway in (0..self.gateways.len()).cycle() {
            if Instant::now() >= end {
                return;
            }
            self.terminate(gateway);
            let stopped_at = Instant::now();
            let kill_at = stopped_at + STOP_TIMEOUT;
            while Instant::now() < kill_at && !self.gateways[gateway].has_exited() {
                sleep(EXIT_POLL_INTERVAL).await;
                if stopped_at.elapsed() >= ROTATION_DELAY {
                    self.context.rotation[gateway].store(false, Ordering::Relaxed);
                }
            }
            self.end_stop(gateway);
            sleep(RETURN_DELAY).await;
            self.context.rotation[gateway].store(true, Ordering::Relaxed);
            let pause = self.random.random_range(100..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Pauses the gateways in turns, so that each gets this share of a core.
    fn throttle(&self, percent: u64) {
        let ids = Arc::downgrade(&self.running);
        std::thread::spawn(move || {
            let run = Duration::from_millis(percent);
            let pause = Duration::from_millis(100 - percent);
            // Ends with the fleet, which kills its processes.
            while let Some(ids) = ids.upgrade() {
                for (signal, span) in [("CONT", run), ("STOP", pause)] {
                    signal_all(signal, &ids.lock().unwrap());
                    std::thread::sleep(span);
                }
            }
        });
    }

    /// Stops pairs of gateways, and single ones beside reloads and changes of the configuration.
    async fn stress_stops(&mut self, plan: &SoakPlan) {
        let end = Instant::now() + plan.fault_duration;
        // The short form in CI gets as far as the third step.
        let steps = [
            StopStep::ReloadsOnly,
            StopStep::PairBesideChange,
            StopStep::BesideReloads,
            StopStep::Pair,
            StopStep::BesideChange,
        ];
        for step in steps.into_iter().cycle() {
            if Instant::now() >= end {
                return;
            }
            let all = self.gateways.len();
            let first = self.random.random_range(0..all);
            let second = (first + self.random.random_range(1..all)) % all;
            let at = self.context.recorder.now();
            self.faults
                .push(format!("{at} {step:?} edge-{first} edge-{second}"));
            match step {
                StopStep::Pair => self.stop_with(&[first, second], None).await,
                StopStep::PairBesideChange => {
                    self.stop_with(&[first, second], Some(step)).await;
                }
                StopStep::BesideChange | StopStep::BesideReloads => {
                    self.stop_with(&[first], Some(step)).await;
                }
                StopStep::ReloadsOnly => {
                    for gateway in 0..all {
                        self.reload_several(&[gateway]).await;
                    }
                }
            }
            let pause = self.random.random_range(100..1_500);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Stops gateways at once, with a step beside, and starts them again.
    async fn stop_with(&mut self, gateways: &[usize], step: Option<StopStep>) {
        // The step comes just before or after the signal.
        let is_before = self.random.random_bool(0.5);
        let gap = Duration::from_millis(self.random.random_range(0..60));
        if is_before {
            self.run_beside(gateways, step).await;
            sleep(gap).await;
        }
        for gateway in gateways {
            self.terminate(*gateway);
        }
        let stopped_at = Instant::now();
        if !is_before {
            sleep(gap).await;
            self.run_beside(gateways, step).await;
        }
        let kill_at = stopped_at + STOP_TIMEOUT;
        while Instant::now() < kill_at && !self.have_exited(gateways) {
            sleep(EXIT_POLL_INTERVAL).await;
            if stopped_at.elapsed() >= ROTATION_DELAY {
                self.set_rotation(gateways, false);
            }
        }
        for gateway in gateways {
            self.end_stop(*gateway);
        }
        sleep(RETURN_DELAY).await;
        self.set_rotation(gateways, true);
    }

    async fn run_beside(&mut self, gateways: &[usize], step: Option<StopStep>) {
        match step {
            Some(StopStep::BesideChange | StopStep::PairBesideChange) => {
                self.change_config().await;
            }
            Some(_) => self.reload_several(gateways).await,
            None => {}
        }
    }

    /// Removes a route that callers use, and soon publishes it again.
    async fn change_config(&mut self) {
        for has_read_route in [false, true] {
            self.version += 1;
            self.counts.changes += 1;
            let mut config = config_json(self.version, false, self.profile);
            if !has_read_route {
                let routes = config["routes"].as_array_mut().unwrap();
                routes.retain(|route| route["name"] != "read");
            }
            self.platform.put("op/config", &config);
            let pause = self.random.random_range(20..400);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Changes the settings of gateways and sends them several reload signals in a row.
    async fn reload_several(&mut self, gateways: &[usize]) {
        for _ in 0..4 {
            for gateway in gateways {
                if self.have_exited(&[*gateway]) {
                    continue;
                }
                let path = &self.gateways[*gateway].settings;
                let text = fs::read_to_string(path).unwrap();
                let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
                settings["bounds"]["budgetExtra"] = self.random.random_range(56..80).into();
                fs::write(path, settings.to_string()).unwrap();
                self.counts.reloads += 1;
                self.gateways[*gateway].signal("HUP");
            }
            let pause = self.random.random_range(1..40);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Whether all of these gateways have exited; those are signalled no more.
    fn have_exited(&mut self, gateways: &[usize]) -> bool {
        let mut running = self.running.lock().unwrap();
        let mut are_over = true;
        for gateway in gateways {
            let process = &mut self.gateways[*gateway];
            let is_over = process.has_exited();
            are_over &= is_over;
            if let Some(child) = process.child.as_ref().filter(|_| is_over) {
                running.retain(|id| *id != child.id());
            }
        }
        are_over
    }

    fn set_rotation(&self, gateways: &[usize], is_in: bool) {
        for gateway in gateways {
            self.context.rotation[*gateway].store(is_in, Ordering::Relaxed);
        }
    }

    /// Identifiers of the calls that the gateways have read, by their logs.
    fn read_calls(&self) -> BTreeSet<String> {
        let mut read = BTreeSet::new();
        for gateway in &self.gateways {
            let log = fs::read_to_string(&gateway.log).unwrap_or_default();
            for line in log.lines() {
                let fields: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
                read.extend(fields["request"].as_str().map(str::to_owned));
            }
        }
        read
    }

    /// Attempts that gateways sent for others, by their logs, as of the gateways that sent them.
    fn forwarded_attempts(&self, history: &History) -> BTreeMap<String, AttemptRecord> {
        let mut forwarded = BTreeMap::new();
        for (gateway, process) in self.gateways.iter().enumerate() {
            let log = fs::read_to_string(&process.log).unwrap_or_default();
            for line in log.lines() {
                let fields: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
                let was_sent = fields["targets"]
                    .as_str()
                    .is_some_and(|names| !names.is_empty());
                let id = fields["request"].as_str().unwrap_or_default();
                let attempt = history.attempts.get(id);
                if let Some(attempt) = attempt.filter(|_| fields["forwarded"] == "true" && was_sent)
                {
                    let sent = AttemptRecord {
                        gateway,
                        ..attempt.clone()
                    };
                    forwarded.insert(id.to_owned(), sent);
                }
            }
        }
        forwarded
    }

    fn next_scheduled(&mut self) -> Option<(Instant, ScheduledStep)> {
        let first = (0..self.scheduled.len()).min_by_key(|at| self.scheduled[*at].0)?;
        Some(self.scheduled[first])
    }

    fn schedule(&mut self, millis: std::ops::Range<u64>, step: ScheduledStep) {
        let wait = Duration::from_millis(self.random.random_range(millis));
        self.scheduled.push((Instant::now() + wait, step));
    }

    fn start_fault(&mut self, fault: Fault) {
        let at = self.context.recorder.now();
        let gateway = self.random.random_range(0..self.gateways.len());
        let runner = self.runners.choose(&mut self.random).unwrap().clone();
        self.faults.push(format!("{at} {fault:?} edge-{gateway}"));
        match fault {
            // Half of the gateways stay up: the users' fleets can lose no more.
            Fault::Stop | Fault::Kill | Fault::Pause
                if self.faulty_gateways() * 2 >= self.gateways.len() => {}
            Fault::Stop | Fault::Kill | Fault::Pause if self.has_step(gateway) => {}
            Fault::Stop => {
                self.terminate(gateway);
                let wait = STOP_TIMEOUT.as_millis() as u64;
                self.schedule(wait..wait + 1, ScheduledStep::EndStop(gateway));
            }
            Fault::Kill => {
                self.record_event(gateway, GatewayEvent::Killed);
                self.gateways[gateway].kill();
                self.schedule(100..1_500, ScheduledStep::Start(gateway));
            }
            Fault::Pause => {
                self.record_event(gateway, GatewayEvent::Paused);
                self.gateways[gateway].signal("STOP");
                self.schedule(300..3_500, ScheduledStep::Resume(gateway));
            }
            Fault::PlatformDown => {
                self.platform.set_unavailable(true);
                self.schedule(300..3_000, ScheduledStep::PlatformUp);
            }
            Fault::AddressSwap => {
                self.platform.set_unavailable(true);
                self.schedule(1_500..4_000, ScheduledStep::PlatformUp);
                let other = self.runners.choose(&mut self.random).unwrap();
                runner.swap_addresses(other);
            }
            Fault::NewConfig => {
                self.version += 1;
                let has_spare_route = self.random.random_bool(0.5);
                self.platform.put(
                    "op/config",
                    &config_json(self.version, has_spare_route, self.profile),
                );
            }
            Fault::RunnerCrash => runner.crash(),
            Fault::RunnerLeaves => runner.leave(false, Duration::from_secs(4)),
            Fault::RunnerDrains => runner.leave(true, Duration::from_secs(4)),
            Fault::RunnerAsksBackoff => {
                let span = self.random.random_range(800..3_000);
                runner.request_backoff(Duration::from_millis(span));
            }
            Fault::RunnerNamesRate => {
                let number = self.random.random_range(0..self.runners.len());
                self.runners[number].name_rate(RATES.choose(&mut self.random).copied());
                self.schedule(4_000..12_000, ScheduledStep::EndRate(number));
            }
        }
    }

    /// Starts the planned stop of a gateway.
    fn terminate(&mut self, gateway: usize) {
        self.counts.stops += 1;
        self.record_event(gateway, GatewayEvent::Terminated);
        self.gateways[gateway].signal("TERM");
    }

    /// Starts a gateway again after its planned stop.
    fn end_stop(&mut self, gateway: usize) {
        if !self.have_exited(&[gateway]) {
            self.counts.late_exits += 1;
            self.faults
                .push(format!("edge-{gateway} did not stop in time"));
        }
        self.start(gateway);
    }

    fn has_step(&self, gateway: usize) -> bool {
        self.scheduled
            .iter()
            .any(|(_, step)| step.gateway() == Some(gateway))
    }

    fn faulty_gateways(&self) -> usize {
        self.scheduled
            .iter()
            .filter(|(_, step)| step.gateway().is_some())
            .count()
    }

    fn run_step(&mut self, step: ScheduledStep) {
        let index = self.scheduled.iter().position(|(_, one)| *one == step);
        self.scheduled.remove(index.expect("the step is scheduled"));
        match step {
            ScheduledStep::Resume(gateway) => {
                self.gateways[gateway].signal("CONT");
                self.record_event(gateway, GatewayEvent::Resumed);
            }
            ScheduledStep::Start(gateway) => self.start(gateway),
            ScheduledStep::EndStop(gateway) => self.end_stop(gateway),
            ScheduledStep::PlatformUp => self.platform.set_unavailable(false),
            ScheduledStep::EndRate(number) => self.runners[number].name_rate(None),
        }
    }
}

impl ScheduledStep {
    fn gateway(self) -> Option<usize> {
        match self {
            Self::Resume(gateway) | Self::Start(gateway) | Self::EndStop(gateway) => Some(gateway),
            Self::PlatformUp | Self::EndRate(_) => None,
        }
    }
}

/// Loopback address that no other soak uses, so that several soaks can run at the same time.
fn next_loopback_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        64 + high % 64,
        low,
        COUNT.fetch_add(1, Ordering::Relaxed),
    )
}

fn config_json(version: u64, has_spare_route: bool, profile: SoakProfile) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        let (timeout, latency) = match service {
            "app" => (profile.plain_timeout(), profile.plain_latency()),
            _ => (profile.stream_timeout(), STREAM_LATENCY),
        };
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": timeout.as_millis() as u64,
            "targetLatencyMs": latency.as_millis() as u64, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false,
        })
    };
    let mut routes = vec![
        route("order", "non_idempotent", "app", 1),
        route("read", "idempotent", "app", 2),
        route("plan", "streaming", "pool", 1),
    ];
    if has_spare_route {
        routes.push(route("spare", "idempotent", "app", 1));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "pool", "engine": {"slots": profile.slots(), "kvCapacity": 30_000, "kvBytes": 163_840,
             "linkMbps": 24_000.0, "moves": false, "stride": 4}},
            {"name": "app"},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000},
        "tenants": [{"name": "depot", "apiKeys": ["depot-key"]}],
    })
}
