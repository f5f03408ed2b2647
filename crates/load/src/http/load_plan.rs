use std::net::SocketAddr;

use base::{ModelName, TimeSpan, WorkspaceName};
use smol_str::SmolStr;
use strum::{Display, EnumString};

use crate::failure::{InvalidPlanSnafu, NotLoopbackSnafu};
use crate::{LoadError, WorkloadMix};

const MOST_CALLS: usize = 1_000_000;
const MOST_OPEN: usize = 20_000;
const MOST_RATE: f64 = 20_000.0;
const LONGEST_RUN: TimeSpan = TimeSpan::from_secs(3_600);

/// A workspace with the bearer key of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    /// Workspace; informative, since the node finds it by the key.
    pub workspace: WorkspaceName,
    /// Bearer key.
    pub key: SmolStr,
}

/// How the target learns the length of the output that the workload asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LengthHint {
    /// `max_tokens` is the length; any engine keeps to it, and the system sees it as well.
    #[default]
    MaxTokens,
    /// The body's field `stand_in_tokens` tells it to a stand-in; the system sees only the bound
    /// that the class of calls gives.
    StandInField,
}

/// An open-loop run over HTTP, bounded in calls and time.
///
/// ```
/// use load::{LoadPlan, WorkloadKind};
/// let plan = LoadPlan::new(WorkloadKind::Kanchan.mix(), "quill".parse().unwrap())
///     .with_node("127.0.0.1:8080".parse().unwrap())
///     .with_key("ws-00".parse().unwrap(), "secret");
/// assert!(plan.check().is_ok());
/// assert!(plan.with_node("192.0.2.1:80".parse().unwrap()).check().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of the nodes' caller listeners; each call takes one at random.
    pub nodes: Vec<SocketAddr>,
    /// Keys; the calls of a workspace of the mix use the key at its place, in turn.
    pub keys: Vec<CallerKey>,
    /// Calls and workspaces.
    pub mix: WorkloadMix,
    /// Model that calls ask for.
    pub model: ModelName,
    /// Mean arrivals each second.
    pub rate: f64,
    /// Time in which calls arrive.
    pub duration: TimeSpan,
    /// Most calls in all.
    pub call_limit: usize,
    /// Most calls at once; those beyond it are counted as refused by the load tool.
    pub open_limit: usize,
    /// Time after which an open call is given up.
    pub call_timeout: TimeSpan,
    /// How the target learns the length of the output.
    pub hint: LengthHint,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

impl LoadPlan {
    /// Creates a plan of one call a second for 30 seconds without nodes and keys.
    pub fn new(mix: WorkloadMix, model: ModelName) -> Self {
        Self {
            nodes: Vec::new(),
            keys: Vec::new(),
            mix,
            model,
            rate: 1.0,
            duration: TimeSpan::from_secs(30),
            call_limit: 10_000,
            open_limit: 2_000,
            call_timeout: TimeSpan::from_secs(120),
            hint: LengthHint::default(),
            seed: 1,
        }
    }

    /// Returns this plan with one more node.
    #[must_use]
    pub fn with_node(mut self, address: SocketAddr) -> Self {
        self.nodes.push(address);
        self
    }

    /// Returns this plan with one more key.
    #[must_use]
    pub fn with_key(mut self, workspace: WorkspaceName, key: &str) -> Self {
        let key = SmolStr::new(key);
        self.keys.push(CallerKey { workspace, key });
        self
    }

    /// Checks the bounds of the plan.
    ///
    /// # Errors
    /// `NotLoopback` for an address of another machine, `InvalidPlan` for the first bound that
    /// is exceeded.
    pub fn check(&self) -> Result<(), LoadError> {
        let foreign = self
            .nodes
            .iter()
            .find(|address| !address.ip().is_loopback());
        if let Some(address) = foreign {
            return NotLoopbackSnafu { address: *address }.fail();
        }
        let problem = match self {
            plan if plan.nodes.is_empty() => "nodes: at least 1",
            plan if plan.keys.is_empty() => "keys: at least 1",
            plan if !(plan.rate > 0.0 && plan.rate <= MOST_RATE) => "rate: above 0 to 20000",
            plan if plan.call_limit == 0 || plan.call_limit > MOST_CALLS => "calls: 1 to 1000000",
            plan if plan.open_limit == 0 || plan.open_limit > MOST_OPEN => "open: 1 to 20000",
            plan if plan.duration > LONGEST_RUN => "duration: at most 1 h",
            plan if plan.call_timeout > LONGEST_RUN => "call timeout: at most 1 h",
            _ => return Ok(()),
        };
        InvalidPlanSnafu { reason: problem }.fail()
    }
}
