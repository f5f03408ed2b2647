use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use base::{DomainName, NodeName, TargetName};
use fleet::{KeyText, make_head};
use node::{NodeHandle, NodeServer, StatusPage};
use orders::ConvergenceReport;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use standin::{
    EngineHandle, EngineServer, EngineSettings, ListedVm, PlatformHandle, PlatformServer,
    ServiceHandle, ServiceServer, parse_weight_key,
};
use tokio::time::{Instant, sleep};

use super::make_policy;

/// Key prefix of the declarations.
const KEY_PREFIX: &str = "agatemoor/";
/// Shared secret with which the nodes authenticate to each other.
const PEER_SECRET: &str = "peer secret of the demo fleet";
/// Bearer key of the demo's callers.
const CALLER_KEY: &str = "demo-key-of-the-valley";
/// Model version that fails to load at every engine.
const BROKEN_VERSION: &str = "quill:9";
/// Milliseconds for which an idempotency key identifies the same request.
const KEY_LIFETIME_MS: u64 = 6_000;
/// Longest wait for the fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two polls of a state that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node of the demo.
pub struct DemoNode {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for callers; a restarted node has the same.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// The running node; `None` while it is stopped.
    pub handle: Option<NodeHandle>,
}

/// An engine of the demo.
pub struct DemoEngine {
    /// Name of the engine.
    pub name: TargetName,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// The running engine.
    pub handle: EngineHandle,
}

/// Fleet in this process: a stand-in platform, two failure domains with two nodes and two engines
/// each, and one plain service.
pub struct DemoFleet {
    /// The stand-in platform.
    pub platform: PlatformHandle,
    /// Nodes, the first two in the first domain.
    pub nodes: Vec<DemoNode>,
    /// Engines, the first two in the first domain.
    pub engines: Vec<DemoEngine>,
    /// The plain service.
    pub app: ServiceHandle,
    epoch: u64,
    version: u32,
}

/// Address on the loopback interface with a port that the system chooses.
fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl DemoFleet {
    /// Starts all parts and waits until callers can be served.
    ///
    /// # Errors
    /// If a part does not start, with a message.
    pub async fn start() -> Result<Self, String> {
        let platform = PlatformServer::bind(loopback_any_port())
            .await
            .map_err(|error| error.to_string())?;
        let (platform, _task) = platform.start();
        let app = ServiceServer::bind(loopback_any_port(), parse("orders-1")?).await;
        let (app, _task) = app.map_err(|error| error.to_string())?.start();
        let mut engines = Vec::new();
        for (index, domain) in ["thapathali", "balaju"].iter().enumerate() {
            for version in [2_u64, 3] {
                let name = format!("{domain}-e{version}");
                let seed = 10 * index as u64 + version;
                engines.push(start_engine(&name, domain, seed, version).await?);
            }
        }
        let mut fleet = Self {
            platform,
            nodes: Vec::new(),
            engines,
            app,
            epoch: 1,
            version: 2,
        };
        fleet.start_nodes().await?;
        fleet.publish();
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the bearer key of the callers.
    pub fn key(&self) -> &'static str {
        CALLER_KEY
    }

    /// Publishes a declaration that wants another version of the model.
    pub fn publish_version(&mut self, version: u32) {
        self.version = version;
        self.publish();
    }

    /// Publishes the current declaration.
    pub fn publish(&self) {
        let text = self.declaration();
        self.publish_text(&text);
    }

    /// Publishes `text` as the declaration.
    pub fn publish_text(&self, text: &str) {
        let keys = [KeyText::new("fleet.ini", text)];
        let head = make_head(self.epoch, &keys);
        let entries = [("fleet.ini", text.to_owned()), ("head", head)];
        let entries = entries.map(|(name, text)| {
            let key = SmolStr::from(format!("{KEY_PREFIX}{name}"));
            (key, text.into_bytes().into())
        });
        self.platform.put_keys(entries);
    }

    /// Restarts a stopped node on its previous addresses.
    ///
    /// # Errors
    /// If it does not start, with a message.
    pub async fn restart_node(&mut self, index: usize) -> Result<(), String> {
        let node = &self.nodes[index];
        let listen = [node.callers, node.operators, node.peers];
        let server = self.bind_node(&node.name, &node.domain, listen).await?;
        let handle = server
            .start(Box::new(make_policy))
            .map_err(|error| error.to_string())?;
        self.nodes[index].handle = Some(handle);
        Ok(())
    }

    /// Waits until every running node serves callers and knows its targets.
    ///
    /// # Errors
    /// If that takes too long.
    pub async fn wait_ready(&self) -> Result<(), String> {
        let caller = super::DemoCaller::new(CALLER_KEY);
        let start = Instant::now();
        for node in self.nodes.iter().filter(|node| node.handle.is_some()) {
            loop {
                let response = caller
                    .generate(node.callers, "quill", "warm-up", 2, false, &[])
                    .await;
                let stock = "/svc/orders/stock/lamp";
                let method = hyper::Method::GET;
                let lookup = caller
                    .call(node.callers, method, stock, &[], Default::default())
                    .await;
                if response.status == 200 && lookup.status == 200 {
                    break;
                }
                if start.elapsed() > START_TIMEOUT {
                    let body = String::from_utf8_lossy(&response.body).into_owned();
                    return Err(format!("node {} is not ready: {body}", node.name));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the first engine that runs or has run a call with `mark`.
    pub fn engine_with_run(&self, mark: &str) -> Option<&DemoEngine> {
        self.engines.iter().find(|engine| {
            let runs = engine.handle.runs();
            runs.iter().any(|run| run.mark == mark)
        })
    }

    /// Returns the merged convergence reports of the running nodes.
    ///
    /// # Errors
    /// If a node has no readable status page or no node runs, with a message.
    pub async fn convergence(&self) -> Result<ConvergenceReport, String> {
        let caller = super::DemoCaller::new(CALLER_KEY);
        let mut merged: Option<ConvergenceReport> = None;
        for node in self.nodes.iter().filter(|node| node.handle.is_some()) {
            let (method, path) = (hyper::Method::GET, "/ops/status");
            let response = caller
                .call(node.operators, method, path, &[], Default::default())
                .await;
            let page: StatusPage =
                serde_json::from_slice(&response.body).map_err(|error| error.to_string())?;
            merged = Some(match merged {
                Some(report) => report.merge(page.convergence),
                None => page.convergence,
            });
        }
        merged.ok_or_else(|| "no node runs".to_owned())
    }

    /// Waits until the fleet has converged to the declaration that was published last.
    ///
    /// # Errors
    /// If that takes longer than `limit`, with the convergence report, or if there is none.
    pub async fn wait_converged(&self, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        loop {
            let report = self.convergence().await?;
            let version = self.version.to_string();
            let current = report
                .rollouts
                .iter()
                .all(|row| row.version.as_str() == version);
            if report.converged() && current && !report.rollouts.is_empty() {
                return Ok(());
            }
            if start.elapsed() > limit {
                return Err(report.to_string());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how many times targets have run calls with `mark`.
    pub fn count_runs(&self, mark: &str) -> usize {
        let engines = self.engines.iter().flat_map(|engine| engine.handle.runs());
        let runs = engines.chain(self.app.runs());
        runs.filter(|run| run.mark == mark).count()
    }

    /// Kills all nodes and engines and stops the service and the platform.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            if let Some(handle) = node.handle.take() {
                handle.kill();
            }
        }
        for engine in &self.engines {
            engine.handle.kill();
        }
        self.app.stop();
        self.platform.stop();
    }

    async fn start_nodes(&mut self) -> Result<(), String> {
        let mut bound = Vec::new();
        for domain in ["thapathali", "balaju"] {
            for number in 1..=2 {
                let name: NodeName = parse(&format!("{domain}-{number}"))?;
                let domain: DomainName = parse(domain)?;
                let server = self
                    .bind_node(&name, &domain, [loopback_any_port(); 3])
                    .await?;
                bound.push((name, domain, server));
            }
        }
        for (name, domain, server) in bound {
            let (callers, operators, peers) = (
                server.caller_address(),
                server.operator_address(),
                server.peer_address(),
            );
            self.platform.put_vm(ListedVm {
                service: "agatemoor-node".into(),
                name: name.as_str().into(),
                domain: domain.as_str().into(),
                address: peers.to_string().into(),
                leaving: false,
            });
            let handle = server
                .start(Box::new(make_policy))
                .map_err(|error| error.to_string())?;
            self.nodes.push(DemoNode {
                name,
                domain,
                callers,
                operators,
                peers,
                handle: Some(handle),
            });
        }
        Ok(())
    }

    async fn bind_node(
        &self,
        name: &NodeName,
        domain: &DomainName,
        listen: [SocketAddr; 3],
    ) -> Result<NodeServer, String> {
        let [callers, operators, peers] = listen;
        let platform = self.platform.address();
        let text = format!(
            "[node]\nname = {name}\ndomain = {domain}\n\
             [callers]\nlisten = {callers}\nkey_lifetime_ms = {KEY_LIFETIME_MS}\n\
             [operators]\nlisten = {operators}\n\
             [peers]\nlisten = {peers}\nkey = {PEER_SECRET}\n\
             [platform]\naddress = {platform}\nprefix = {KEY_PREFIX}\n"
        );
        let settings = schema::read_settings("demo.ini", &text);
        let settings = settings.map_err(|mistakes| format!("{mistakes:?}"))?;
        NodeServer::bind(settings)
            .await
            .map_err(|error| error.to_string())
    }

    /// Returns the text of the current declaration.
    pub fn declaration(&self) -> String {
        let mut text = String::from("[fleet]\nweight_rate = 40000000000\n");
        // Writing to a String can't fail.
        for domain in ["thapathali", "balaju"] {
            let _ = writeln!(text, "[domain {domain}]");
        }
        for node in &self.nodes {
            let (name, domain, peers) = (&node.name, &node.domain, node.peers);
            let _ = writeln!(
                text,
                "[node {name}]\ndomain = {domain}\npeer_address = {peers}"
            );
        }
        for engine in &self.engines {
            let (name, domain) = (&engine.name, &engine.domain);
            let address = engine.handle.address();
            let _ = writeln!(
                text,
                "[target {name}]\nkind = engine\ndomain = {domain}\naddress = {address}\n\
                 labels = pool=main"
            );
        }
        let app = self.app.address();
        let _ = writeln!(
            text,
            "[target orders-1]\nkind = service\ndomain = thapathali\naddress = {app}\n\
             service = orders"
        );
        text.push_str("[model quill]\nrepeatable = true\nweight_bytes = 1000000000\n");
        text.push_str("[service orders]\nrepeatable = GET, HEAD\nuncancellable = true\n");
        let hash = hex_hash(CALLER_KEY);
        let _ = writeln!(
            text,
            "[workspace demo]\nkey_sha256 = {hash}\nlabels = tier=demo"
        );
        text.push_str("[route generations]\nrequests = model\ntargets = kind=engine,pool=main\n");
        text.push_str("[route orders]\nrequests = service=orders\ntargets = service=orders\n");
        let version = self.version;
        let _ = writeln!(
            text,
            "[rollout quill]\nmodel = quill\nversion = {version}\ntargets = pool=main\n\
             least_capacity = 50"
        );
        text
    }
}

async fn start_engine(
    name: &str,
    domain: &str,
    seed: u64,
    version: u64,
) -> Result<DemoEngine, String> {
    let target: TargetName = parse(name)?;
    let weights = format!("quill:{version}");
    let weights = parse_weight_key(&weights).ok_or("not a model version")?;
    let broken = parse_weight_key(BROKEN_VERSION).ok_or("not a model version")?;
    let settings = EngineSettings::new(target.clone())
        .with_seed(seed)
        .with_loaded(weights)
        .with_failing_weights(broken);
    // The engine starts its own runtime, which cannot be done on a thread of this one.
    let started =
        tokio::task::spawn_blocking(move || EngineServer::start(loopback_any_port(), settings));
    let handle = started.await.map_err(|error| error.to_string())?;
    Ok(DemoEngine {
        name: target,
        domain: parse(domain)?,
        handle: handle.map_err(|error| error.to_string())?,
    })
}

fn parse<T: std::str::FromStr<Err = base::ParseError>>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|error: base::ParseError| error.to_string())
}

fn hex_hash(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
