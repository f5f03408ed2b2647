use std::fmt;
use std::path::PathBuf;

use crate::AnyError;

/// Most nodes of one run, which are as many processes.
const NODE_LIMIT: usize = 64;
/// Longest measurement in seconds.
const SECOND_LIMIT: u64 = 120;
/// Most published changes.
const BURST_LIMIT: u64 = 200;

/// What is measured.
pub struct CostPlan {
    /// Numbers of nodes.
    pub nodes: Vec<usize>,
    /// Numbers of targets for each node.
    pub targets: Vec<usize>,
    /// Failure domains.
    pub domains: usize,
    /// Seconds of a measurement.
    pub seconds: u64,
    /// Seconds between readiness and measurement.
    pub settle: u64,
    /// Builds to compare.
    pub programs: Vec<PathBuf>,
    /// Published changes.
    pub burst: u64,
    /// Seconds in which all nodes are restarted.
    pub storm: u64,
    /// Whether the figures of the engines vary.
    pub varied: bool,
}

impl CostPlan {
    /// Reads arguments of the form `KEY=VALUE`.
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
        plan.domains = plan.domains.clamp(1, NODE_LIMIT);
        plan.nodes
            .iter_mut()
            .for_each(|nodes| *nodes = (*nodes).clamp(1, NODE_LIMIT));
        plan.seconds = plan.seconds.clamp(1, SECOND_LIMIT);
        plan.settle = plan.settle.min(SECOND_LIMIT);
        plan.storm = plan.storm.min(SECOND_LIMIT);
        plan.burst = plan.burst.min(BURST_LIMIT);
        Ok(plan)
    }
}

impl fmt::Display for CostPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let load = if self.varied { "varied" } else { "steady" };
        write!(
            f,
            "{} domains, {} s measured after {} s, {load} load figures, no calls",
            self.domains, self.seconds, self.settle
        )
    }
}

fn parse_list(text: &str) -> Result<Vec<usize>, AnyError> {
    let numbers = text.split(',').map(str::parse);
    Ok(numbers.collect::<Result<_, _>>()?)
}

/// The program that cargo put beside the folder of this example.
fn built_program() -> Result<PathBuf, AnyError> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    Ok(folder.ok_or("no folder")?.join("agatemoor"))
}
