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

/// Longest wait for an operator page.
const PAGE_WAIT: Duration = Duration::from_secs(10);
/// Times that a page is asked for.
const PAGE_TRIES: usize = 20;
/// Time between two of them.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// A node in a process of its own, which is ended by its id with this value.
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Counters of runs that have ended.
    pub earlier: NodeCount,
    child: Option<Child>,
}

/// What one node has used so far.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
    /// Messages and bytes of their bodies by kind.
    pub kinds: BTreeMap<String, (u64, u64)>,
    /// Processor time in ticks of 10 ms.
    pub ticks: u64,
}

impl NodeCount {
    /// Adds or takes away what another one counted.
    pub fn combine(&self, other: &Self, change: impl Fn(u64, u64) -> u64) -> Self {
        let mut kinds = self.kinds.clone();
        for (kind, (messages, bytes)) in &other.kinds {
            let entry = kinds.entry(kind.clone()).or_default();
            *entry = (change(entry.0, *messages), change(entry.1, *bytes));
        }
        let ticks = change(self.ticks, other.ticks);
        Self { kinds, ticks }
    }
}

impl NodeProcess {
    /// Describes a node that does not run yet.
    pub fn new(name: String, operators: SocketAddr, peers: SocketAddr) -> Self {
        Self {
            name,
            operators,
            peers,
            earlier: NodeCount::default(),
            child: None,
        }
    }

    /// Starts the node with settings in `file`.
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

    /// Ends the node and keeps what it counted.
    pub async fn kill(&mut self, caller: &DemoCaller) -> Result<(), AnyError> {
        self.earlier = self.count(caller).await?;
        self.end();
        Ok(())
    }

    /// Reads a page for operators.
    pub async fn page(&self, caller: &DemoCaller, path: &str) -> Result<Bytes, AnyError> {
        for _ in 0..PAGE_TRIES {
            let call = caller.call(self.operators, Method::GET, path, &[], Bytes::new());
            let answer = timeout(PAGE_WAIT, call).await.unwrap_or_default();
            if answer.status == 200 {
                return Ok(answer.body);
            }
            sleep(PAGE_PAUSE).await;
        }
        Err(format!("{} does not answer", self.name).into())
    }

    /// Reads what the node has used so far, with earlier runs.
    pub async fn count(&self, caller: &DemoCaller) -> Result<NodeCount, AnyError> {
        let page = self.page(caller, "/ops/metrics").await?;
        let mut count = NodeCount {
            ticks: self.ticks()?,
            ..NodeCount::default()
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
            let entry = count.kinds.entry(kind.to_owned()).or_default();
            *entry = (entry.0 + add.0, entry.1 + add.1);
        }
        Ok(count.combine(&self.earlier, |own, earlier| own + earlier))
    }

    /// Resident memory in KiB.
    pub fn resident(&self) -> Result<u64, AnyError> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id()?))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let figure = line.and_then(|line| line.trim().split(' ').next());
        Ok(figure.ok_or("no VmRSS")?.parse()?)
    }

    /// Processor time in user mode and in the kernel, in ticks of 10 ms.
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
        // A process that has already ended can't be killed, which is fine.
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.end();
    }
}
