use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::fake_platform::FakePlatform;
use super::fake_runner::FakeRunner;
use super::soak_caller::{CallerShare, HOST, SoakCaller};
use super::soak_history::{GatewayEvent, History, Millis, Recorder};

/// Time for the nodes to find one another before callers come.
const START_WAIT: Duration = Duration::from_secs(3);
/// Time after the last fault for which callers go on.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Time that a planned stop may take before the process is killed.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Failure domains.
const ZONES: [&str; 2] = ["patan", "balaju"];
/// Targets of each service in each domain.
const RUNNERS: [(&str, usize); 2] = [("pool", 5), ("app", 3)];

/// Size and length of one soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    pub seed: u64,
    pub gateways: usize,
    pub callers: u64,
    /// Time in which faults begin.
    pub trouble: Duration,
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
        let child = Command::new(env!("CARGO_BIN_EXE_agatemoor"))
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
        // A process that has ended by now gets no signal.
        let _ = kill.args(["-s", name, &id]).stderr(Stdio::null()).status();
    }

    fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already is no error.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// What one soak saw.
pub struct SoakReport {
    pub history: History,
    /// When the last fault was over.
    pub calm: Millis,
    pub faults: Vec<String>,
    pub folder: PathBuf,
}

/// Runs one soak.
pub async fn run_soak(plan: SoakPlan) -> SoakReport {
    let host = next_host();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", plan.seed));
    // Logs of an earlier run of this seed.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let recorder = Recorder::new();
    let platform = FakePlatform::start(SocketAddr::new(host.into(), 21_000)).await;
    platform.put("op/config", &config(1, true));
    let mut runners = Vec::new();
    for zone in ZONES {
        for (service, count) in RUNNERS {
            for _ in 0..count {
                let port = 22_000 + runners.len() as u16;
                let address = SocketAddr::new(host.into(), port);
                let runner = FakeRunner::start(&platform, &recorder, service, zone, address);
                runners.push(runner.await);
            }
        }
    }
    let mut fleet = SoakFleet::new(&plan, host, folder.clone(), platform, runners, recorder);
    for gateway in 0..plan.gateways {
        fleet.start(gateway);
    }
    sleep(START_WAIT).await;
    let share = fleet.share.clone();
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| {
            let is_crasher = number.is_multiple_of(8);
            let caller = SoakCaller::new(share.clone(), plan.seed, number, is_crasher);
            tokio::spawn(caller.run())
        })
        .collect();
    fleet.make_trouble(&plan).await;
    let calm = share.recorder.now();
    sleep(CALM_TIME).await;
    share.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    SoakReport {
        history: share.recorder.history(),
        calm,
        faults: fleet.faults,
        folder,
    }
}

struct SoakFleet {
    platform: Arc<FakePlatform>,
    runners: Vec<Arc<FakeRunner>>,
    gateways: Vec<GatewayProcess>,
    share: Arc<CallerShare>,
    random: Pcg64,
    faults: Vec<String>,
    version: u64,
    /// What is to happen later, with its time.
    due: Vec<(Instant, DueStep)>,
}

/// Later part of a fault.
#[derive(Clone, Copy, Debug)]
enum DueStep {
    Wake(usize),
    Start(usize),
    /// A planned stop has to be over.
    EndStop(usize),
    StoreUp,
}

/// A fault from outside.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Stop,
    Kill,
    Freeze,
    StoreDown,
    NewConfig,
    RunnerCrash,
    RunnerLeaves,
    RunnerDrains,
    RunnerWantsQuiet,
}

const FAULTS: [Fault; 9] = [
    Fault::Stop,
    Fault::Kill,
    Fault::Freeze,
    Fault::StoreDown,
    Fault::NewConfig,
    Fault::RunnerCrash,
    Fault::RunnerLeaves,
    Fault::RunnerDrains,
    Fault::RunnerWantsQuiet,
];

impl SoakFleet {
    fn new(
        plan: &SoakPlan,
        host: Ipv4Addr,
        folder: PathBuf,
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
                    "graceS": STOP_GRACE.as_secs(), "retryBudgetRatio": 0.2,
                    "budgetWindowS": 10, "budgetExtra": 56,
                },
                "platform": {"address": platform.address.to_string()},
                "limits": {"cpuShare": 0.25},
            });
            let path = folder.join(format!("edge-{gateway}.json"));
            fs::write(&path, settings.to_string()).unwrap();
            GatewayProcess {
                settings: path,
                log: folder.join(format!("edge-{gateway}.log")),
                child: None,
            }
        });
        let callers = (0..plan.gateways).map(|gateway| address(23_000, gateway).parse().unwrap());
        Self {
            gateways: gateways.collect(),
            share: Arc::new(CallerShare {
                recorder,
                gateways: callers.collect(),
                is_over: AtomicBool::new(false),
                next_id: AtomicU64::new(1),
            }),
            platform,
            runners,
            random: Pcg64::seed_from_u64(plan.seed),
            faults: Vec::new(),
            version: 1,
            due: Vec::new(),
        }
    }

    fn start(&mut self, gateway: usize) {
        self.gateways[gateway].end();
        self.gateways[gateway].start();
        self.note(gateway, GatewayEvent::Started);
    }

    fn note(&self, gateway: usize, event: GatewayEvent) {
        self.share.recorder.gateway(gateway, event);
    }

    /// Faults in series that overlap; returns when the last one is over.
    async fn make_trouble(&mut self, plan: &SoakPlan) {
        let end = Instant::now() + plan.trouble;
        while Instant::now() < end {
            let fault = *FAULTS.choose(&mut self.random).unwrap();
            self.begin(fault);
            let pause = Duration::from_millis(self.random.random_range(50..900));
            let next = Instant::now() + pause;
            while let Some((at, step)) = self.next_due().filter(|(at, _)| *at < next) {
                sleep_until(at).await;
                self.carry_out(step);
            }
            sleep_until(next).await;
        }
        while let Some((at, step)) = self.next_due() {
            sleep_until(at).await;
            self.carry_out(step);
        }
    }

    fn next_due(&mut self) -> Option<(Instant, DueStep)> {
        let first = (0..self.due.len()).min_by_key(|at| self.due[*at].0)?;
        Some(self.due[first])
    }

    fn later(&mut self, millis: std::ops::Range<u64>, step: DueStep) {
        let wait = Duration::from_millis(self.random.random_range(millis));
        self.due.push((Instant::now() + wait, step));
    }

    fn begin(&mut self, fault: Fault) {
        let at = self.share.recorder.now();
        let gateway = self.random.random_range(0..self.gateways.len());
        let runner = self.runners.choose(&mut self.random).unwrap().clone();
        self.faults.push(format!("{at} {fault:?} edge-{gateway}"));
        match fault {
            // Half of the nodes stay, as many as the users' fleets have to spare.
            Fault::Stop | Fault::Kill | Fault::Freeze
                if self.busy_gateways() * 2 >= self.gateways.len() => {}
            Fault::Stop | Fault::Kill | Fault::Freeze if self.is_busy(gateway) => {}
            Fault::Stop => {
                self.note(gateway, GatewayEvent::Terminated);
                self.gateways[gateway].signal("TERM");
                let wait = STOP_GRACE.as_millis() as u64;
                self.later(wait..wait + 1, DueStep::EndStop(gateway));
            }
            Fault::Kill => {
                self.note(gateway, GatewayEvent::Killed);
                self.gateways[gateway].end();
                self.later(100..1_500, DueStep::Start(gateway));
            }
            Fault::Freeze => {
                self.note(gateway, GatewayEvent::Frozen);
                self.gateways[gateway].signal("STOP");
                self.later(300..3_500, DueStep::Wake(gateway));
            }
            Fault::StoreDown => {
                self.platform.set_down(true);
                self.later(300..3_000, DueStep::StoreUp);
            }
            Fault::NewConfig => {
                self.version += 1;
                let with_spare = self.random.random_bool(0.5);
                self.platform
                    .put("op/config", &config(self.version, with_spare));
            }
            Fault::RunnerCrash => runner.crash(),
            Fault::RunnerLeaves => runner.leave(false, Duration::from_secs(4)),
            Fault::RunnerDrains => runner.leave(true, Duration::from_secs(4)),
            Fault::RunnerWantsQuiet => {
                let span = self.random.random_range(800..3_000);
                runner.want_quiet(Duration::from_millis(span));
            }
        }
    }

    fn is_busy(&self, gateway: usize) -> bool {
        self.due
            .iter()
            .any(|(_, step)| step.gateway() == Some(gateway))
    }

    fn busy_gateways(&self) -> usize {
        self.due
            .iter()
            .filter(|(_, step)| step.gateway().is_some())
            .count()
    }

    fn carry_out(&mut self, step: DueStep) {
        let done = self.due.iter().position(|(_, one)| one.is_same(step));
        self.due.remove(done.expect("the step is due"));
        match step {
            DueStep::Wake(gateway) => {
                self.gateways[gateway].signal("CONT");
                self.note(gateway, GatewayEvent::Woken);
            }
            DueStep::Start(gateway) => self.start(gateway),
            DueStep::EndStop(gateway) => {
                if !self.gateways[gateway].has_ended() {
                    self.faults
                        .push(format!("edge-{gateway} did not end in its grace"));
                }
                self.start(gateway);
            }
            DueStep::StoreUp => self.platform.set_down(false),
        }
    }
}

impl DueStep {
    fn gateway(self) -> Option<usize> {
        match self {
            Self::Wake(gateway) | Self::Start(gateway) | Self::EndStop(gateway) => Some(gateway),
            Self::StoreUp => None,
        }
    }

    fn is_same(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
            && self.gateway() == other.gateway()
    }
}

/// Host of the loopback network that no other soak uses, so that ranges of seeds run side by side.
fn next_host() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        64 + high % 64,
        low,
        COUNT.fetch_add(1, Ordering::Relaxed),
    )
}

fn config(version: u64, with_spare: bool) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": 6_000, "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false,
        })
    };
    let mut routes = vec![
        route("order", "non_idempotent", "app", 1),
        route("read", "idempotent", "app", 2),
        route("plan", "streaming", "pool", 1),
    ];
    if with_spare {
        routes.push(route("spare", "idempotent", "app", 1));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "pool", "engine": {"slots": 24, "kvCapacity": 30_000, "kvBytes": 163_840,
             "linkMbps": 24_000.0, "moves": false, "stride": 4}},
            {"name": "app"},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000,
                   "idleTimeoutMs": 15_000},
        "tenants": [{"name": "depot", "apiKeys": ["depot-key"]}],
    })
}
