use std::fmt;
use std::path::PathBuf;

use crate::AnyError;

/// Most nodes of one run; each is a process.
const MAX_NODES: usize = 64;
/// Longest measurement in seconds.
const MAX_SECONDS: u64 = 120;
/// Most published changes of a burst.
const MAX_BURST: u64 = 200;

/// Parameters of the measurement.
pub struct CostPlan {
    /// Numbers of nodes to measure.
    pub nodes: Vec<usize>,
    /// Numbers of targets per node to measure.
    pub targets: Vec<usize>,
    /// Number of failure domains.
    pub domains: usize,
    /// Length of a measurement in seconds.
    pub seconds: u64,
    /// Seconds between readiness and measurement.
    pub settle: u64,
    /// Paths of the `agatemoor` builds to compare.
    pub programs: Vec<PathBuf>,
    /// Number of changes of the declaration in a burst; 0 leaves the burst out.
    pub burst: u64,
    /// Seconds in which all nodes are restarted one after the other; 0 leaves the restarts out.
    pub storm: u64,
    /// Whether the load that the engines report varies between probes.
    pub varied: bool,
}

impl CostPlan {
    /// Parses `KEY=VALUE` arguments; numbers that are too large are clamped.
    pub fn parse(args: &[String]) -> Result<Self, AnyError> {
        let mut plan = Self {
            nodes: vec![8],
            targets: vec![11],
            domains: 4,
            seconds: 15,
            settle: 8,
            programs: Vec::new(),
            burst: 0,
            storm: 0,
            varied: true,
        };
        for arg in args {
            let (key, value) = arg.split_once('=').ok_or("expected KEY=VALUE")?;
            match key {
                "nodes" => plan.nodes = parse_list(value)?,
                "targets" => plan.targets = parse_list(value)?,
                "domains" => plan.domains = value.parse()?,
                "seconds" => plan.seconds = value.parse()?,
                "settle" => plan.settle = value.parse()?,
                "programs" => plan.programs = value.split(',').map(PathBuf::from).collect(),
                "burst" => plan.burst = value.parse()?,
                "storm" => plan.storm = value.parse()?,
                "load" => plan.varied = value != "steady",
                _ => return Err(format!("unknown key {key}").into()),
            }
        }
        if plan.programs.is_empty() {
            plan.programs.push(built_program()?);
        }
        plan.domains = plan.domains.clamp(1, MAX_NODES);
        plan.nodes
            .iter_mut()
            .for_each(|nodes| *nodes = (*nodes).clamp(1, MAX_NODES));
        plan.seconds = plan.seconds.clamp(1, MAX_SECONDS);
        plan.settle = plan.settle.min(MAX_SECONDS);
        plan.storm = plan.storm.min(MAX_SECONDS);
        plan.burst = plan.burst.min(MAX_BURST);
        Ok(plan)
    }
}

impl fmt::Display for CostPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let load = if self.varied { "varied" } else { "steady" };
        write!(
            f,
            "{} domains, {} s measured after {} s, {load} engine load, no calls",
            self.domains, self.seconds, self.settle
        )
    }
}

fn parse_list(text: &str) -> Result<Vec<usize>, AnyError> {
    let numbers = text.split(',').map(str::parse);
    Ok(numbers.collect::<Result<_, _>>()?)
}

/// Returns the path of the `agatemoor` binary that cargo built, in the parent of this example's
/// folder.
fn built_program() -> Result<PathBuf, AnyError> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    Ok(folder.ok_or("no folder")?.join("agatemoor"))
}
