use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use agatemoor::{CallResponse, DemoCaller};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fleet::{KeyText, make_head};
use hyper::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standin::RunRecord;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};

use super::ChildProcess;

/// Prefix of the keys under which the platform stores the declaration.
const KEY_PREFIX: &str = "agatemoor/";
/// Bearer key of the first workspace.
const FIRST_WORKSPACE_KEY: &str = "first-key-of-the-tests";
/// Bearer key of the second workspace, which tests may add and remove.
pub const SECOND_WORKSPACE_KEY: &str = "second-key-of-the-tests";
/// Longest wait for a state; far above every bound of the system, as the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a state that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the answer of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Permits for the fleets that run at the same time in one test program.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(2);
/// Number of the next fleet of this program.
static NEXT_FLEET_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A node in a process of its own.
pub struct NodeProcess {
    pub name: String,
    pub domain: &'static str,
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub process: ChildProcess,
}

/// An engine in a process of its own.
pub struct EngineProcess {
    pub name: String,
    pub domain: &'static str,
    pub address: SocketAddr,
    pub process: ChildProcess,
}

/// Engines of a fleet and their arguments.
pub struct FleetPlan {
    /// Failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// Additional arguments of each engine.
    pub engine_args: Vec<String>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            engines: vec!["thapathali", "thapathali", "balaju"],
            engine_args: Vec::new(),
        }
    }
}

/// Processes of a platform, of two failure domains with two nodes each, of engines and of one plain
/// service.
pub struct ProcessFleet {
    pub platform: ChildProcess,
    pub platform_address: SocketAddr,
    pub nodes: Vec<NodeProcess>,
    pub engines: Vec<EngineProcess>,
    pub app: ChildProcess,
    pub app_address: SocketAddr,
    pub caller: DemoCaller,
    directory: PathBuf,
    engine_args: Vec<String>,
    _permit: SemaphorePermit<'static>,
}

impl ProcessFleet {
    /// Starts everything, publishes the declaration and waits until each node serves callers.
    pub async fn start(plan: FleetPlan) -> Self {
        let permit = FLEET_PERMITS
            .acquire()
            .await
            .expect("the semaphore stays open");
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let directory = format!("agatemoor-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).expect("the settings directory is created");
        let (platform, platform_address) = start_stand_in("platform", any_loopback_address(), &[]);
        let name = to_strings(&["--name", "orders-1"]);
        let (app, app_address) = start_stand_in("app", any_loopback_address(), &name);
        let mut fleet = Self {
            platform,
            platform_address,
            nodes: Vec::new(),
            engines: Vec::new(),
            app,
            app_address,
            caller: DemoCaller::new(FIRST_WORKSPACE_KEY),
            directory,
            engine_args: plan.engine_args,
            _permit: permit,
        };
        for (index, domain) in plan.engines.into_iter().enumerate() {
            let name = format!("{domain}-e{index}");
            let (child, address) = fleet.spawn_engine(&name, any_loopback_address());
            fleet.engines.push(EngineProcess {
                name,
                domain,
                address,
                process: child,
            });
        }
        for domain in ["thapathali", "balaju"] {
            for number in 1..=2 {
                let name = format!("{domain}-{number}");
                let node = fleet.spawn_node(&name, domain, [any_loopback_address(); 3], "");
                fleet.register_node(&node).await;
                fleet.nodes.push(node);
            }
        }
        fleet.publish(&fleet.declaration("")).await;
        fleet.wait_until_all_serving().await;
        fleet
    }

    /// Returns the text of the declaration, with `extra_sections` at its end.
    pub fn declaration(&self, extra_sections: &str) -> String {
        let mut text = String::from("[fleet]\nweight_rate = 4000000000\n");
        text.push_str("[domain thapathali]\n[domain balaju]\n");
        // Writing to a String can't fail.
        for node in &self.nodes {
            let (name, domain, peers) = (&node.name, node.domain, node.peer_address);
            let _ = writeln!(
                text,
                "[node {name}]\ndomain = {domain}\npeer_address = {peers}"
            );
        }
        for engine in &self.engines {
            let (name, domain, address) = (&engine.name, engine.domain, engine.address);
            let _ = writeln!(
                text,
                "[target {name}]\nkind = engine\ndomain = {domain}\naddress = {address}\n\
                 labels = pool=main"
            );
        }
        let app = self.app_address;
        let _ = writeln!(
            text,
            "[target orders-1]\nkind = service\ndomain = thapathali\naddress = {app}\n\
             service = orders"
        );
        text.push_str("[model quill]\nrepeatable = true\nweight_bytes = 1000000000\n");
        text.push_str("[service orders]\nrepeatable = GET, HEAD\n");
        let hash = hex_sha256(FIRST_WORKSPACE_KEY);
        let _ = writeln!(text, "[workspace first]\nkey_sha256 = {hash}");
        text.push_str("[route generations]\nrequests = model\ntargets = kind=engine,pool=main\n");
        text.push_str("[route orders]\nrequests = service=orders\ntargets = service=orders\n");
        text.push_str(
            "[rollout quill]\nmodel = quill\nversion = 2\ntargets = pool=main\n\
             least_capacity = 50\n",
        );
        text.push_str(extra_sections);
        text
    }

    /// Returns the section of the second workspace, for `declaration`.
    pub fn second_workspace_section() -> String {
        format!(
            "[workspace second]\nkey_sha256 = {}\n",
            hex_sha256(SECOND_WORKSPACE_KEY)
        )
    }

    /// Publishes a declaration in one transaction of the platform.
    pub async fn publish(&self, text: &str) {
        let head = make_head(1, &[KeyText::new("fleet.ini", text)]);
        let entries = [("fleet.ini", text), ("head", head.as_str())];
        let operations: Vec<Value> = entries
            .iter()
            .map(|(name, text)| {
                json!({ "KV": {
                    "Verb": "set",
                    "Key": format!("{KEY_PREFIX}{name}"),
                    "Value": STANDARD.encode(text),
                }})
            })
            .collect();
        let body = Value::Array(operations).to_string();
        let answer = self
            .send_control(self.platform_address, "/v1/txn", body.into())
            .await;
        assert_eq!(answer.status, 200, "the platform accepts the declaration");
    }

    /// Sends a control call to a stand-in.
    pub async fn send_control(&self, address: SocketAddr, path: &str, body: Bytes) -> CallResponse {
        let call = self.caller.call(address, Method::PUT, path, &[], body);
        timeout(CONTROL_TIMEOUT, call).await.unwrap_or_default()
    }

    /// Starts an empty platform at the address of the one that was killed.
    pub fn restart_platform(&mut self) {
        let (child, _) = start_stand_in("platform", self.platform_address, &[]);
        self.platform = child;
    }

    /// Restarts a killed engine at its address.
    pub fn restart_engine(&mut self, index: usize) {
        let (name, address) = (
            self.engines[index].name.clone(),
            self.engines[index].address,
        );
        self.engines[index].process = self.spawn_engine(&name, address).0;
    }

    /// Restarts a killed node at its addresses; `with_seeds` gives it the other nodes as seeds.
    pub fn restart_node(&mut self, index: usize, with_seeds: bool) {
        let node = &self.nodes[index];
        let listen = [
            node.caller_address,
            node.operator_address,
            node.peer_address,
        ];
        let others = self.nodes.iter().filter(|other| other.name != node.name);
        let others: Vec<String> = others.map(|other| other.peer_address.to_string()).collect();
        let seeds = if with_seeds {
            others.join(",")
        } else {
            String::new()
        };
        self.nodes[index] = self.spawn_node(&node.name, node.domain, listen, &seeds);
    }

    /// Waits until every node serves generations and the `orders` service.
    pub async fn wait_until_all_serving(&self) {
        for index in 0..self.nodes.len() {
            self.wait_until_serving(index).await;
        }
    }

    /// Waits until a node serves generations and the `orders` service.
    pub async fn wait_until_serving(&self, index: usize) {
        let node = &self.nodes[index];
        let start = Instant::now();
        loop {
            let answer = self.generate(index, "warm-up", 2, false).await;
            let path = "/svc/orders/stock/lamp";
            let stock = self
                .send_request(index, Method::GET, path, &[], Bytes::new())
                .await;
            if answer.status == 200 && stock.status == 200 {
                return;
            }
            let status = self.get_operator_page(index, "/ops/status").await.json();
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{} does not serve: {answer:?} {stock:?} {status} {:#?}",
                node.name,
                node.process.log_lines()
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Requests a generation from a node.
    pub async fn generate(
        &self,
        node: usize,
        mark: &str,
        tokens: u32,
        streamed: bool,
    ) -> CallResponse {
        let address = self.nodes[node].caller_address;
        let call = self
            .caller
            .generate(address, "quill", mark, tokens, streamed, &[]);
        timeout(WAIT_TIMEOUT, call).await.unwrap_or_default()
    }

    /// Sends an HTTP request of the first workspace to a node.
    pub async fn send_request(
        &self,
        node: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallResponse {
        let address = self.nodes[node].caller_address;
        let call = self
            .caller
            .call(address, method, path, headers, body.into());
        timeout(WAIT_TIMEOUT, call).await.unwrap_or_default()
    }

    /// Sends an order to a node; its text is also the mark by which its runs are found.
    pub async fn send_order(
        &self,
        node: usize,
        order: &str,
        headers: &[(&str, &str)],
    ) -> CallResponse {
        let path = "/svc/orders/orders";
        self.send_request(node, Method::POST, path, headers, order.to_owned())
            .await
    }

    /// Reads a page of a node for operators, such as `/ops/status`.
    pub async fn get_operator_page(&self, node: usize, path: &str) -> CallResponse {
        let address = self.nodes[node].operator_address;
        let call = self
            .caller
            .call(address, Method::GET, path, &[], Bytes::new());
        timeout(CONTROL_TIMEOUT, call).await.unwrap_or_default()
    }

    /// Reads the runs of a stand-in; empty if it does not answer.
    pub async fn fetch_runs(&self, address: SocketAddr) -> Vec<RunRecord> {
        let path = "/control/history";
        let call = self
            .caller
            .call(address, Method::GET, path, &[], Bytes::new());
        let answer = timeout(CONTROL_TIMEOUT, call).await.unwrap_or_default();
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// Counts the runs of an order.
    pub async fn count_order_runs(&self, order: &str) -> usize {
        let runs = self.fetch_runs(self.app_address).await;
        runs.iter().filter(|run| run.mark == order).count()
    }

    /// Counts the runs of a mark at the engines that answer.
    pub async fn count_generation_runs(&self, mark: &str) -> usize {
        let mut count = 0;
        for engine in &self.engines {
            let runs = self.fetch_runs(engine.address).await;
            count += runs.iter().filter(|run| run.mark == mark).count();
        }
        count
    }

    /// Finds the engine that has run or is running a generation with this mark.
    pub async fn find_engine_running(&self, mark: &str) -> Option<usize> {
        for (index, engine) in self.engines.iter().enumerate() {
            let runs = self.fetch_runs(engine.address).await;
            if runs.iter().any(|run| run.mark == mark) {
                return Some(index);
            }
        }
        None
    }

    /// Returns the accepted revision of a node as text; empty while there is none.
    pub async fn accepted_revision(&self, node: usize) -> String {
        let status = self.get_operator_page(node, "/ops/status").await.json();
        match &status["revision"]["accepted"] {
            Value::Null => String::new(),
            revision => revision.to_string(),
        }
    }

    fn spawn_engine(&self, name: &str, listen: SocketAddr) -> (ChildProcess, SocketAddr) {
        let mut args = to_strings(&["--name", name, "--load", "quill:2"]);
        args.extend(self.engine_args.iter().cloned());
        start_stand_in("engine", listen, &args)
    }

    fn spawn_node(
        &self,
        name: &str,
        domain: &'static str,
        listen: [SocketAddr; 3],
        seeds: &str,
    ) -> NodeProcess {
        let [callers, operators, peers] = listen;
        let platform = self.platform_address;
        let seeds = match seeds {
            "" => String::new(),
            seeds => format!("seeds = {seeds}\n"),
        };
        let text = format!(
            "[node]\nname = {name}\ndomain = {domain}\n\
             [callers]\nlisten = {callers}\nkey_lifetime_ms = 20000\n\
             [operators]\nlisten = {operators}\n\
             [peers]\nlisten = {peers}\nkey = peer secret of the tests\n{seeds}\
             [platform]\naddress = {platform}\nprefix = {KEY_PREFIX}\n"
        );
        let file = self.directory.join(format!("{name}.ini"));
        fs::write(&file, text).expect("the settings are written");
        let child = ChildProcess::start(&to_strings(&["node", &file.to_string_lossy()]));
        let line = child.wait_for_log_line(", operators ");
        NodeProcess {
            name: name.to_owned(),
            domain,
            caller_address: parse_address_after(&line, "callers "),
            operator_address: parse_address_after(&line, "operators "),
            peer_address: parse_address_after(&line, "peers "),
            process: child,
        }
    }

    async fn register_node(&self, node: &NodeProcess) {
        let body = json!({
            "service": "agatemoor-node",
            "name": node.name,
            "domain": node.domain,
            "address": node.peer_address.to_string(),
        });
        let path = "/control/node";
        self.send_control(self.platform_address, path, body.to_string().into())
            .await;
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        // A directory that can't be removed does not fail a test.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Waits until a condition holds; panics after a time-out that is far above every bound, so that no
/// verdict depends on the time taken.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

fn start_stand_in(kind: &str, listen: SocketAddr, args: &[String]) -> (ChildProcess, SocketAddr) {
    // At this level a stand-in logs its runs, which it can no longer report once it is killed.
    let mut all = to_strings(&[
        "--log-level",
        "debug",
        "stand-in",
        kind,
        "--listen",
        &listen.to_string(),
    ]);
    all.extend(args.iter().cloned());
    let child = ChildProcess::start(&all);
    let line = child.wait_for_log_line(" listens on ");
    let address = parse_address_after(&line, " listens on ");
    (child, address)
}

fn parse_address_after(line: &str, text: &str) -> SocketAddr {
    let rest = line.split(text).nth(1).unwrap_or_default();
    let end = rest.find([',', ' ']).unwrap_or(rest.len());
    rest[..end].parse().expect("a log line with an address")
}

fn any_loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn to_strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| part.to_string()).collect()
}

fn hex_sha256(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
