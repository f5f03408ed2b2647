use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use agatemoor::DemoCaller;
use bytes::Bytes;
use hyper::Method;
use tokio::time::{sleep, timeout};

use crate::AnyError;

/// Timeout of one request for an operator page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts to read a page.
const PAGE_ATTEMPTS: usize = 20;
/// Pause between two attempts.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A node in its own process, which is killed when this value is dropped.
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Counters of earlier processes of the node, before it was restarted.
    pub earlier: NodeCounters,
    child: Option<Child>,
}

/// Control traffic and CPU time of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeCounters {
    /// Number of messages and bytes of their bodies, by kind of message.
    pub kinds: BTreeMap<String, (u64, u64)>,
    /// CPU time in ticks of 10 ms.
    pub ticks: u64,
}

impl NodeCounters {
    /// Combines each counter with that of `other` by `operation`, such as addition or subtraction.
    pub fn combine(&self, other: &Self, operation: impl Fn(u64, u64) -> u64) -> Self {
        let mut kinds = self.kinds.clone();
        for (kind, (messages, bytes)) in &other.kinds {
            let entry = kinds.entry(kind.clone()).or_default();
            *entry = (operation(entry.0, *messages), operation(entry.1, *bytes));
        }
        let ticks = operation(self.ticks, other.ticks);
        Self { kinds, ticks }
    }
}

impl NodeProcess {
    /// Creates a node that has not been started.
    pub fn new(name: String, operators: SocketAddr, peers: SocketAddr) -> Self {
        Self {
            name,
            operators,
            peers,
            earlier: NodeCounters::default(),
            child: None,
        }
    }

    /// Starts the binary `program` as this node, with the settings in `file`.
    pub fn start(&mut self, program: &Path, file: &Path) -> Result<(), AnyError> {
        let child = Command::new(program)
            .arg("node")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the node and adds its counters to `earlier`.
    pub async fn kill(&mut self, caller: &DemoCaller) -> Result<(), AnyError> {
        self.earlier = self.read_counters(caller).await?;
        self.end();
        Ok(())
    }

    /// Reads an operator page, with several attempts.
    pub async fn page(&self, caller: &DemoCaller, path: &str) -> Result<Bytes, AnyError> {
        for _ in 0..PAGE_ATTEMPTS {
            let call = caller.call(self.operators, Method::GET, path, &[], Bytes::new());
            let answer = timeout(PAGE_TIMEOUT, call).await.unwrap_or_default();
            if answer.status == 200 {
                return Ok(answer.body);
            }
            sleep(PAGE_RETRY_DELAY).await;
        }
        Err(format!("{} does not respond", self.name).into())
    }

    /// Reads the counters of the node, including those of its earlier processes.
    pub async fn read_counters(&self, caller: &DemoCaller) -> Result<NodeCounters, AnyError> {
        let page = self.page(caller, "/ops/metrics").await?;
        let mut counters = NodeCounters {
            ticks: self.ticks()?,
            ..NodeCounters::default()
        };
        for line in String::from_utf8_lossy(&page).lines() {
            let (name, value) = line.rsplit_once(' ').unwrap_or((line, ""));
            let (metric, labels) = name.split_once('{').unwrap_or((name, ""));
            let kind = labels.split("kind=\"").nth(1);
            let kind = kind.and_then(|rest| rest.split('"').next());
            let (Some(kind), Ok(value)) = (kind, value.parse::<u64>()) else {
                continue;
            };
            let add = match metric {
                "control_messages_total" => (value, 0),
                "control_bytes_total" => (0, value),
                _ => continue,
            };
            let entry = counters.kinds.entry(kind.to_owned()).or_default();
            *entry = (entry.0 + add.0, entry.1 + add.1);
        }
        Ok(counters.combine(&self.earlier, |own, earlier| own + earlier))
    }

    /// Returns the resident memory in KiB.
    pub fn resident(&self) -> Result<u64, AnyError> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id()?))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let figure = line.and_then(|line| line.trim().split(' ').next());
        Ok(figure.ok_or("no VmRSS")?.parse()?)
    }

    /// Returns the CPU time in user mode and in the kernel, in ticks of 10 ms.
    fn ticks(&self) -> Result<u64, AnyError> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()?))?;
        let (_, rest) = text.rsplit_once(") ").ok_or("no state")?;
        let fields = rest.split(' ').skip(11).take(2);
        let ticks = fields.map(str::parse::<u64>);
        Ok(ticks.sum::<Result<u64, _>>()?)
    }

    fn id(&self) -> Result<u32, AnyError> {
        let child = self.child.as_ref().ok_or("the node does not run")?;
        Ok(child.id())
    }

    fn end(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        // Fails only if the process has already ended.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.end();
    }
}
