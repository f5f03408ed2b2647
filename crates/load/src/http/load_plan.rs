use std::net::SocketAddr;

use base::{ModelName, TimeSpan, WorkspaceName};
use smol_str::SmolStr;
use strum::{Display, EnumString};

use crate::failure::{InvalidPlanSnafu, NotLoopbackSnafu};
use crate::{LoadError, WorkloadMix};

const MAX_CALLS: usize = 1_000_000;
const MAX_OPEN_CALLS: usize = 20_000;
const MAX_RATE: f64 = 20_000.0;
const MAX_RUN_TIME: TimeSpan = TimeSpan::from_secs(3_600);

/// Bearer key with which calls of a workspace authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    /// Workspace of the key; informative only, since nodes look it up by the key.
    pub workspace: WorkspaceName,
    /// Bearer key.
    pub key: SmolStr,
}

/// How calls tell the target the output length that the workload asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LengthHint {
    /// As `max_tokens`. Any engine generates at most so many tokens, but the system under test
    /// sees the length too.
    #[default]
    MaxTokens,
    /// In the body's field `stand_in_tokens`, which only a stand-in engine reads. The system
    /// under test sees only the `max_tokens` of the class of calls.
    StandInField,
}

/// Parameters of an open-loop run over HTTP, bounded in calls and time.
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
    /// Addresses on which nodes listen for callers; each call is sent to one at random.
    pub nodes: Vec<SocketAddr>,
    /// Bearer keys; calls of the workspace with index `i` in the mix use the key with index `i`
    /// modulo the number of keys.
    pub keys: Vec<CallerKey>,
    /// Classes of calls and workspaces.
    pub mix: WorkloadMix,
    /// Model that calls ask for.
    pub model: ModelName,
    /// Mean arrivals each second over all nodes.
    pub rate: f64,
    /// Time in which calls arrive.
    pub duration: TimeSpan,
    /// Most calls in the whole run.
    pub call_limit: usize,
    /// Most calls that are open at once; further ones are not sent and count as refused with
    /// `load_tool_limit`.
    pub open_limit: usize,
    /// Time from the due arrival after which an open call is cancelled and counts as unfinished.
    pub call_timeout: TimeSpan,
    /// How calls tell the target the output length.
    pub length_hint: LengthHint,
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
            length_hint: LengthHint::default(),
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
            plan if !(plan.rate > 0.0 && plan.rate <= MAX_RATE) => "rate: above 0 to 20000",
            plan if plan.call_limit == 0 || plan.call_limit > MAX_CALLS => "calls: 1 to 1000000",
            plan if plan.open_limit == 0 || plan.open_limit > MAX_OPEN_CALLS => "open: 1 to 20000",
            plan if plan.duration > MAX_RUN_TIME => "duration: at most 1 h",
            plan if plan.call_timeout > MAX_RUN_TIME => "call timeout: at most 1 h",
            _ => return Ok(()),
        };
        InvalidPlanSnafu { reason: problem }.fail()
    }
}
