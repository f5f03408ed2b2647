//! Gateway processes, started with the command of the deploy file.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::client::get_status;
use crate::record;

/// Ids of the processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Settings of one machine.
pub struct Machine {
    /// Name of the machine.
    pub name: &'static str,
    /// Its zone.
    pub zone: &'static str,
    /// Its loopback address.
    pub ip: String,
    /// Addresses for requesters, readiness checks and other nodes.
    pub front: String,
    /// Address for readiness checks.
    pub ready: String,
    /// Address for other nodes.
    pub control: String,
}

impl Machine {
    /// A machine with free ports; `number` tells apart those of one run.
    pub fn new(name: &'static str, zone: &'static str, number: u8) -> Self {
        let ip = own_ip(number);
        // All are held until the last one is found, as a port that is free again may be found twice.
        let bind = || TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let listeners = [bind(), bind(), bind()];
        let addresses = listeners.each_ref().map(|one| one.local_addr());
        let [front, ready, control] =
            addresses.map(|address| address.expect("its address").to_string());
        Self {
            name,
            zone,
            ip,
            front,
            ready,
            control,
        }
    }
}

/// Loopback address `number` of this run; runs at the same time have others.
pub fn own_ip(number: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 16 + id / 250 % 200, 1 + id % 250)
}

/// A running gateway process.
pub struct Gateway {
    /// Its machine.
    pub machine: Machine,
    child: Child,
    folder: PathBuf,
}

impl Gateway {
    /// Starts the process of a machine.
    pub fn start(machine: Machine, seeds: &[String], store: &str) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "agatemoor-review-{}-{}",
            std::process::id(),
            machine.name
        ));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = folder.join("local.json");
        std::fs::write(&settings, settings_json(&machine, seeds, store)).expect("settings");
        let log = std::fs::File::create(folder.join("log")).expect("a log");
        let (program, arguments) = deployed_command();
        let child = Command::new(program)
            .args(arguments)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C.UTF-8")
            .env("AGATEMOOR_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        STARTED.lock().expect("list").push(child.id());
        record::line(&format!(
            "{}: started with the command of the deploy file",
            machine.name
        ));
        Self {
            machine,
            child,
            folder,
        }
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if get_status(&self.machine.ready, "/readiness") == 200 {
                record::line(&format!("{}: ready", self.machine.name));
                return;
            }
            record::sleep(50);
        }
        self.record_log(&[""]);
        panic!("{} does not become ready", self.machine.name);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        signal("TERM", self.child.id());
        record::line(&format!("{}: SIGTERM", self.machine.name));
    }

    /// Waits for the end of the process for `span` ms at most; returns whether it ended.
    pub fn wait_end(&mut self, span: u64) -> bool {
        for _ in 0..span / 5 {
            if let Ok(Some(status)) = self.child.try_wait() {
                record::line(&format!(
                    "{}: the process ended: {status}",
                    self.machine.name
                ));
                let id = self.child.id();
                STARTED.lock().expect("list").retain(|known| *known != id);
                return true;
            }
            record::sleep(5);
        }
        false
    }

    /// Lines of the gateway's log that contain one of `words`, for the record.
    pub fn record_log(&self, words: &[&str]) {
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        for line in text.lines() {
            if words.iter().any(|word| line.contains(word)) {
                record::line(&format!("{} logged: {line}", self.machine.name));
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        if let Ok(mut list) = STARTED.lock() {
            list.retain(|known| *known != id);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Program and arguments of the role in `deploy/system.toml`.
fn deployed_command() -> (String, Vec<String>) {
    let file = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let line = file
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("its command");
    let mut words = line.trim().trim_matches('"').split(' ').map(str::to_owned);
    let program = words.next().expect("a program");
    (program, words.collect())
}

/// Sends a signal to a process that this program started.
fn signal(name: &str, id: u32) {
    let order = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &order]).status();
}

/// Ends all processes that were started and still run.
pub fn end_all() {
    let list = STARTED.lock().map(|list| list.clone()).unwrap_or_default();
    for id in list {
        signal("KILL", id);
    }
}

/// Ends the run with exit code 2 after 110 s.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        record::line("the case took too long");
        end_all();
        std::process::exit(2);
    });
}

fn settings_json(machine: &Machine, seeds: &[String], store: &str) -> String {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let Machine {
        name,
        zone,
        ip,
        front,
        ready,
        control,
    } = machine;
    format!(
        r#"{{"nodeName":"{name}","role":"gateway","machineClass":"edge","serves":["edge","control_plane"],
"ip":"{ip}","zone":"{zone}","region":"bagmati","zones":{{"thapathali":"bagmati","balaju":"bagmati"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},"portRange":[7200,7215],
"seeds":[{}],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":110,"fdLimit":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,
"revokeStrict":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetExtra":56,
"recoveryS":12,"passMs":120,"againS":4.4}},
"platform":{{"address":"{store}","form":"read","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
        seeds.join(",")
    )
}
