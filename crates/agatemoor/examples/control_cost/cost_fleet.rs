use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agatemoor::DemoCaller;
use fleet::{KeyText, make_head};
use serde_json::Value;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use standin::{ListedVm, PlatformHandle, PlatformServer};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::AnyError;
use crate::fake_engine::{self, ProbeCounters};
use crate::node_process::{NodeCounters, NodeProcess};

/// Key prefix of the declaration.
const PREFIX: &str = "agatemoor/";
/// First port of the nodes; below the ephemeral ports, so that no outgoing connection can hold the
/// port of a node that is being restarted.
const FIRST_PORT: usize = 21_000;
/// First port of the engines.
const FIRST_TARGET_PORT: usize = 22_000;
/// Workspaces per node, about 3,400 for 440 nodes.
const WORKSPACES_PER_NODE: usize = 8;
/// Number of models, as in the fleet of section 1.5 of the design.
const MODELS: usize = 40;
/// Longest wait until all nodes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two polls of a state that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A stand-in platform and fake engines in this process, and nodes in their own processes.
pub struct CostFleet {
    /// The stand-in platform.
    pub platform: PlatformHandle,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
    /// Counts the probes of all engines.
    pub probes: Arc<ProbeCounters>,
    /// Client that reads the operator pages of the nodes.
    pub caller: DemoCaller,
    engines: Vec<JoinHandle<()>>,
    program: PathBuf,
    folder: PathBuf,
    domains: usize,
    targets: usize,
}

impl CostFleet {
    /// Starts all parts and waits until all nodes are ready and see their targets up.
    pub async fn start(
        program: &Path,
        domains: usize,
        nodes: usize,
        targets: usize,
        varied: bool,
    ) -> Result<Self, AnyError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (platform, _task) = PlatformServer::bind(any).await?.start();
        let probes = Arc::new(ProbeCounters::default());
        let mut engines = Vec::new();
        for target in 0..nodes * targets {
            let address = loopback_port(FIRST_TARGET_PORT + target)?;
            let seed = target as u64;
            engines.push(fake_engine::start(address, seed, varied, probes.clone()).await?);
        }
        let folder = std::env::temp_dir().join(format!("control-cost-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            platform,
            nodes: Vec::new(),
            engines,
            probes,
            caller: DemoCaller::new("unused"),
            program: program.to_owned(),
            folder,
            domains,
            targets,
        };
        for number in 0..nodes {
            let name = format!("d{}-n{number:02}", number % domains);
            let (operators, peers) = (
                loopback_port(FIRST_PORT + 3 * number)?,
                loopback_port(FIRST_PORT + 3 * number + 1)?,
            );
            fleet.nodes.push(NodeProcess::new(name, operators, peers));
        }
        fleet.publish(0);
        for number in 0..nodes {
            fleet.start_node(number)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts a node that is not running.
    pub fn start_node(&mut self, number: usize) -> Result<(), AnyError> {
        let domain = number % self.domains;
        let callers = loopback_port(FIRST_PORT + 3 * number + 2)?;
        let platform = self.platform.address();
        let node = &mut self.nodes[number];
        let (name, operators, peers) = (&node.name, node.operators, node.peers);
        let text = format!(
            "[node]\nname = {name}\ndomain = d{domain}\n\
             [callers]\nlisten = {callers}\n\
             [operators]\nlisten = {operators}\n\
             [peers]\nlisten = {peers}\nkey = peer secret of the measurement\n\
             [platform]\naddress = {platform}\nprefix = {PREFIX}\n"
        );
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, text)?;
        self.platform.put_vm(ListedVm {
            service: "agatemoor-node".into(),
            name: name.as_str().into(),
            domain: format!("d{domain}").into(),
            address: peers.to_string().into(),
            leaving: false,
        });
        node.start(&self.program, &file)
    }

    /// Publishes the declaration; `change` sets the weight of one workspace and changes one key.
    pub fn publish(&self, change: u64) {
        let fixed = self.fixed_part();
        let changed = self.workspaces(change);
        let keys = [
            KeyText::new("fleet.ini", fixed.as_str()),
            KeyText::new("workspaces.ini", changed.as_str()),
        ];
        let head = make_head(1, &keys);
        let entries = [
            ("fleet.ini", fixed),
            ("workspaces.ini", changed),
            ("head", head),
        ];
        self.platform.put_keys(entries.map(|(name, text)| {
            let key = SmolStr::from(format!("{PREFIX}{name}"));
            (key, text.into_bytes().into())
        }));
    }

    /// Returns the size of the declaration in bytes.
    pub fn declaration_bytes(&self) -> usize {
        self.fixed_part().len() + self.workspaces(0).len()
    }

    /// Reads the counters of all nodes.
    pub async fn counters(&self) -> Result<Vec<NodeCounters>, AnyError> {
        let mut counters = Vec::new();
        for node in &self.nodes {
            counters.push(node.read_counters(&self.caller).await?);
        }
        Ok(counters)
    }

    /// Waits until all nodes are ready and see all targets of their domains up.
    ///
    /// Returns the time that this took.
    pub async fn wait_ready(&self) -> Result<Duration, AnyError> {
        let start = Instant::now();
        for node in &self.nodes {
            loop {
                let page = node.page(&self.caller, "/ops/status").await?;
                let page: Value = serde_json::from_slice(&page)?;
                let targets = page["targets"].as_array().map_or(0, |targets| {
                    let up = targets.iter().filter(|target| target["phase"] == "up");
                    up.count()
                });
                if page["ready"] == true && targets >= self.domain_target_count(&node.name) {
                    break;
                }
                if start.elapsed() > READY_TIMEOUT {
                    return Err(format!("{} is not ready: {page}", node.name).into());
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(start.elapsed())
    }

    fn domain_target_count(&self, node: &str) -> usize {
        let total = self.nodes.len() * self.targets;
        let number = (0..self.domains).find(|number| node.starts_with(&format!("d{number}-")));
        let own = (0..total).filter(|target| Some(target % self.domains) == number);
        own.count()
    }

    fn fixed_part(&self) -> String {
        let mut text = String::from("[fleet]\nweight_rate = 40000000000\n");
        // Writing to a String can't fail.
        for domain in 0..self.domains {
            let _ = writeln!(text, "[domain d{domain}]");
        }
        for (number, node) in self.nodes.iter().enumerate() {
            let (name, peers, domain) = (&node.name, node.peers, number % self.domains);
            let _ = writeln!(
                text,
                "[node {name}]\ndomain = d{domain}\npeer_address = {peers}"
            );
        }
        for target in 0..self.nodes.len() * self.targets {
            let (domain, port) = (target % self.domains, FIRST_TARGET_PORT + target);
            let _ = writeln!(
                text,
                "[target d{domain}-quill-{target}]\nkind = engine\ndomain = d{domain}\n\
                 address = 127.0.0.1:{port}\nlabels = pool=main"
            );
        }
        for model in 0..MODELS {
            let _ = writeln!(text, "[model quill-{model}]\nweight_bytes = 1000000000");
        }
        text.push_str("[model quill]\nrepeatable = true\n");
        text.push_str("[route all]\nrequests = model\ntargets = kind=engine\n");
        text.push_str(
            "[rollout quill]\nmodel = quill\nversion = 2\ntargets = pool=main\n\
             least_capacity = 50\n",
        );
        text
    }

    fn workspaces(&self, change: u64) -> String {
        let mut text = String::new();
        for number in 0..self.nodes.len() * WORKSPACES_PER_NODE {
            let hash = Sha256::digest(format!("key {number}"));
            let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
            let weight = if number == 0 { 1 + change % 1_000 } else { 1 };
            // Writing to a String can't fail.
            let _ = writeln!(
                text,
                "[workspace w{number}]\nkey_sha256 = {hash}\nweight = {weight}"
            );
        }
        text
    }
}

impl Drop for CostFleet {
    fn drop(&mut self) {
        self.engines.iter().for_each(JoinHandle::abort);
        self.platform.stop();
        // If the folder cannot be removed, only settings files are left in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch, as in events.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn loopback_port(number: usize) -> Result<SocketAddr, AnyError> {
    Ok(SocketAddr::from(([127, 0, 0, 1], u16::try_from(number)?)))
}
