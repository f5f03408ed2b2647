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

/// Key prefix of the declarations.
const PREFIX: &str = "agatemoor/";
/// Bearer key of the first workspace.
const FIRST_KEY: &str = "first-key-of-the-tests";
/// Bearer key of the second workspace, which tests may withdraw.
pub const SECOND_KEY: &str = "second-key-of-the-tests";
/// Longest wait for a state; far above every bound, as the machine may be busy.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// Pause between two looks at a state that is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the answer of a control call.
const CONTROL_WAIT: Duration = Duration::from_secs(5);
/// Fleets that run at once in one test program.
static FLEETS: Semaphore = Semaphore::const_new(2);
/// Numbers the fleets of this program.
static NUMBER: AtomicU64 = AtomicU64::new(0);

/// A node in a process of its own.
pub struct NodeProcess {
    pub name: String,
    pub domain: &'static str,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub child: ChildProcess,
}

/// An engine in a process of its own.
pub struct EngineProcess {
    pub name: String,
    pub domain: &'static str,
    pub address: SocketAddr,
    pub child: ChildProcess,
}

/// What a fleet consists of.
pub struct FleetPlan {
    /// Failure domain of each engine.
    pub engines: Vec<&'static str>,
    /// More arguments of each engine.
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

/// A platform, two failure domains with two nodes each, engines and one plain service.
pub struct ProcessFleet {
    pub platform: ChildProcess,
    pub platform_address: SocketAddr,
    pub nodes: Vec<NodeProcess>,
    pub engines: Vec<EngineProcess>,
    pub app: ChildProcess,
    pub app_address: SocketAddr,
    pub caller: DemoCaller,
    folder: PathBuf,
    engine_args: Vec<String>,
    _permit: SemaphorePermit<'static>,
}

impl ProcessFleet {
    /// Starts everything, publishes the declaration and waits until each node serves callers.
    pub async fn start(plan: FleetPlan) -> Self {
        let permit = FLEETS.acquire().await.expect("the semaphore stays open");
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("agatemoor-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("a folder for settings");
        let (platform, platform_address) = start_standin("platform", any_port(), &[]);
        let name = texts(&["--name", "orders-1"]);
        let (app, app_address) = start_standin("app", any_port(), &name);
        let mut fleet = Self {
            platform,
            platform_address,
            nodes: Vec::new(),
            engines: Vec::new(),
            app,
            app_address,
            caller: DemoCaller::new(FIRST_KEY),
            folder,
            engine_args: plan.engine_args,
            _permit: permit,
        };
        for (at, domain) in plan.engines.into_iter().enumerate() {
            let name = format!("{domain}-e{at}");
            let (child, address) = fleet.spawn_engine(&name, any_port());
            fleet.engines.push(EngineProcess {
                name,
                domain,
                address,
                child,
            });
        }
        for domain in ["thapathali", "balaju"] {
            for number in 1..=2 {
                let name = format!("{domain}-{number}");
                let node = fleet.spawn_node(&name, domain, [any_port(); 3], "");
                fleet.list_node(&node).await;
                fleet.nodes.push(node);
            }
        }
        fleet.publish(&fleet.declaration("")).await;
        fleet.wait_ready().await;
        fleet
    }

    /// Text of the declaration, with more sections at its end.
    pub fn declaration(&self, more: &str) -> String {
        let mut text = String::from("[fleet]\nweight_rate = 4000000000\n");
        text.push_str("[domain thapathali]\n[domain balaju]\n");
        // Writing to a String can't fail.
        for node in &self.nodes {
            let (name, domain, peers) = (&node.name, node.domain, node.peers);
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
        let hash = hex_hash(FIRST_KEY);
        let _ = writeln!(text, "[workspace first]\nkey_sha256 = {hash}");
        text.push_str("[route generations]\nrequests = model\ntargets = kind=engine,pool=main\n");
        text.push_str("[route orders]\nrequests = service=orders\ntargets = service=orders\n");
        text.push_str(
            "[rollout quill]\nmodel = quill\nversion = 2\ntargets = pool=main\n\
             least_capacity = 50\n",
        );
        text.push_str(more);
        text
    }

    /// Section of the second workspace, for `declaration`.
    pub fn second_workspace() -> String {
        format!(
            "[workspace second]\nkey_sha256 = {}\n",
            hex_hash(SECOND_KEY)
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
                    "Key": format!("{PREFIX}{name}"),
                    "Value": STANDARD.encode(text),
                }})
            })
            .collect();
        let body = Value::Array(operations).to_string();
        let answer = self
            .control(self.platform_address, "/v1/txn", body.into())
            .await;
        assert_eq!(answer.status, 200, "the platform takes the declaration");
    }

    /// Sends a control call to a stand-in.
    pub async fn control(&self, address: SocketAddr, path: &str, body: Bytes) -> CallResponse {
        let call = self.caller.call(address, Method::PUT, path, &[], body);
        timeout(CONTROL_WAIT, call).await.unwrap_or_default()
    }

    /// Starts a platform without any key at the address of the one that was killed.
    pub fn restart_platform(&mut self) {
        let (child, _) = start_standin("platform", self.platform_address, &[]);
        self.platform = child;
    }

    /// Starts an engine that was killed again at its address.
    pub fn restart_engine(&mut self, at: usize) {
        let (name, address) = (self.engines[at].name.clone(), self.engines[at].address);
        self.engines[at].child = self.spawn_engine(&name, address).0;
    }

    /// Starts a node that was killed again at its addresses, with seeds if `seeded`.
    pub fn restart_node(&mut self, at: usize, seeded: bool) {
        let node = &self.nodes[at];
        let listen = [node.callers, node.operators, node.peers];
        let others = self.nodes.iter().filter(|other| other.name != node.name);
        let others: Vec<String> = others.map(|other| other.peers.to_string()).collect();
        let seeds = if seeded {
            others.join(",")
        } else {
            String::new()
        };
        self.nodes[at] = self.spawn_node(&node.name, node.domain, listen, &seeds);
    }

    /// Waits until every node serves generations and orders.
    pub async fn wait_ready(&self) {
        for at in 0..self.nodes.len() {
            self.wait_serving(at).await;
        }
    }

    /// Waits until a node serves generations and orders.
    pub async fn wait_serving(&self, at: usize) {
        let node = &self.nodes[at];
        let start = Instant::now();
        loop {
            let answer = self.generate(at, "warm-up", 2, false).await;
            let path = "/svc/orders/stock/lamp";
            let lookup = self.send(at, Method::GET, path, &[], Bytes::new()).await;
            if answer.status == 200 && lookup.status == 200 {
                return;
            }
            let status = self.ops(at, "/ops/status").await.json();
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{} does not serve: {answer:?} {lookup:?} {status} {:#?}",
                node.name,
                node.child.lines()
            );
            sleep(LOOK_PAUSE).await;
        }
    }

    /// Asks a node for a generation.
    pub async fn generate(
        &self,
        node: usize,
        mark: &str,
        tokens: u32,
        streamed: bool,
    ) -> CallResponse {
        let address = self.nodes[node].callers;
        let call = self
            .caller
            .generate(address, "quill", mark, tokens, streamed, &[]);
        timeout(WAIT_LIMIT, call).await.unwrap_or_default()
    }

    /// Sends a request to a node.
    pub async fn send(
        &self,
        node: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> CallResponse {
        let address = self.nodes[node].callers;
        let call = self
            .caller
            .call(address, method, path, headers, body.into());
        timeout(WAIT_LIMIT, call).await.unwrap_or_default()
    }

    /// Sends an order with an idempotency key; the order is its own mark.
    pub async fn order(&self, node: usize, order: &str, headers: &[(&str, &str)]) -> CallResponse {
        let path = "/svc/orders/orders";
        self.send(node, Method::POST, path, headers, order.to_owned())
            .await
    }

    /// Reads a page for operators.
    pub async fn ops(&self, node: usize, path: &str) -> CallResponse {
        let address = self.nodes[node].operators;
        let call = self
            .caller
            .call(address, Method::GET, path, &[], Bytes::new());
        timeout(CONTROL_WAIT, call).await.unwrap_or_default()
    }

    /// Reads what a stand-in ran; empty if it does not answer.
    pub async fn history(&self, address: SocketAddr) -> Vec<RunRecord> {
        let path = "/control/history";
        let call = self
            .caller
            .call(address, Method::GET, path, &[], Bytes::new());
        let answer = timeout(CONTROL_WAIT, call).await.unwrap_or_default();
        serde_json::from_slice(&answer.body).unwrap_or_default()
    }

    /// Counts the runs of an order.
    pub async fn count_orders(&self, order: &str) -> usize {
        let runs = self.history(self.app_address).await;
        runs.iter().filter(|run| run.mark == order).count()
    }

    /// Counts the runs of a mark at the engines that answer.
    pub async fn count_generations(&self, mark: &str) -> usize {
        let mut count = 0;
        for engine in &self.engines {
            let runs = self.history(engine.address).await;
            count += runs.iter().filter(|run| run.mark == mark).count();
        }
        count
    }

    /// Engine that runs a generation with this mark.
    pub async fn engine_running(&self, mark: &str) -> Option<usize> {
        for (at, engine) in self.engines.iter().enumerate() {
            let runs = self.history(engine.address).await;
            if runs.iter().any(|run| run.mark == mark) {
                return Some(at);
            }
        }
        None
    }

    /// Accepted revision of a node as text; empty while there is none.
    pub async fn revision(&self, node: usize) -> String {
        let status = self.ops(node, "/ops/status").await.json();
        match &status["revision"]["accepted"] {
            Value::Null => String::new(),
            revision => revision.to_string(),
        }
    }

    fn spawn_engine(&self, name: &str, listen: SocketAddr) -> (ChildProcess, SocketAddr) {
        let mut args = texts(&["--name", name, "--load", "quill:2"]);
        args.extend(self.engine_args.iter().cloned());
        start_standin("engine", listen, &args)
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
             [platform]\naddress = {platform}\nprefix = {PREFIX}\n"
        );
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, text).expect("the settings are written");
        let child = ChildProcess::start(&texts(&["node", &file.to_string_lossy()]));
        let line = child.wait_line(", operators ");
        NodeProcess {
            name: name.to_owned(),
            domain,
            callers: address_after(&line, "callers "),
            operators: address_after(&line, "operators "),
            peers: address_after(&line, "peers "),
            child,
        }
    }

    async fn list_node(&self, node: &NodeProcess) {
        let body = json!({
            "service": "agatemoor-node",
            "name": node.name,
            "domain": node.domain,
            "address": node.peers.to_string(),
        });
        let path = "/control/node";
        self.control(self.platform_address, path, body.to_string().into())
            .await;
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        // Left-over settings are no failure of a test.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits for a condition, without a verdict on how long it takes.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < WAIT_LIMIT, "in vain: {what}");
        sleep(LOOK_PAUSE).await;
    }
}

fn start_standin(kind: &str, listen: SocketAddr, args: &[String]) -> (ChildProcess, SocketAddr) {
    // At this level a stand-in logs its runs, also those that it can't tell once it is killed.
    let mut all = texts(&[
        "--log-level",
        "debug",
        "stand-in",
        kind,
        "--listen",
        &listen.to_string(),
    ]);
    all.extend(args.iter().cloned());
    let child = ChildProcess::start(&all);
    let line = child.wait_line(" listens on ");
    let address = address_after(&line, " listens on ");
    (child, address)
}

fn address_after(line: &str, text: &str) -> SocketAddr {
    let rest = line.split(text).nth(1).unwrap_or_default();
    let end = rest.find([',', ' ']).unwrap_or(rest.len());
    rest[..end].parse().expect("a log line with an address")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn texts(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| part.to_string()).collect()
}

fn hex_hash(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
