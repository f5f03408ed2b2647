use sched::CallKind;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use super::workload_mix::create_workspaces;
use super::{ArrivalProcess, CallClass, LengthDistribution, WorkloadMix};

/// Longest output in tokens that both workloads draw.
const MAX_OUTPUT_TOKENS: u32 = 30_000;

/// A workload named after the deployment that it imitates.
///
/// ```
/// let kind: load::WorkloadKind = "lanterna_sul".parse().unwrap();
/// assert_eq!(kind.mix().workspaces.len(), 10);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum WorkloadKind {
    /// Long plans at a rate that varies over the shift, assessments and a few quick checks.
    Kanchan,
    /// Quick stock lookups in bursts beside long drafts of specifications.
    LanternaSul,
}

impl WorkloadKind {
    /// Creates the classes and workspaces of this workload.
    pub fn mix(self) -> WorkloadMix {
        match self {
            Self::Kanchan => kanchan_mix(),
            Self::LanternaSul => lanterna_mix(),
        }
    }
}

fn kanchan_mix() -> WorkloadMix {
    let shift = ArrivalProcess::Sinusoidal {
        period: 600.0,
        amplitude: 0.1,
    };
    let plan = CallClass {
        name: "plan",
        share: 0.35,
        kind: CallKind::Chat,
        arrivals: shift,
        prompt: LengthDistribution::new(600.0, 0.7, 16, 6_000),
        output: LengthDistribution::new(1_000.0, 0.8, 65, MAX_OUTPUT_TOKENS)
            .with_tail(0.04, 4_000.0, 1.2),
        max_tokens: None,
        scaled_by_workspace: true,
    };
    let assessment = CallClass {
        name: "assessment",
        share: 0.45,
        kind: CallKind::Completion,
        arrivals: ArrivalProcess::Poisson,
        prompt: LengthDistribution::new(800.0, 0.6, 16, 6_000),
        output: LengthDistribution::new(200.0, 0.7, 8, 2_000),
        max_tokens: Some(2_000),
        scaled_by_workspace: true,
    };
    let check = CallClass {
        name: "check",
        share: 0.2,
        kind: CallKind::Completion,
        arrivals: ArrivalProcess::Poisson,
        prompt: LengthDistribution::new(200.0, 0.6, 8, 2_000),
        output: LengthDistribution::new(20.0, 0.6, 2, 64),
        max_tokens: Some(64),
        scaled_by_workspace: false,
    };
    WorkloadMix {
        classes: vec![plan, assessment, check],
        workspaces: create_workspaces(),
        prefixes_per_workspace: 3,
        prefix_share: 0.7,
        client_delay: 3_000,
    }
}

fn lanterna_mix() -> WorkloadMix {
    let bursts = ArrivalProcess::Burst {
        period: 30.0,
        length: 3.0,
        factor: 3.0,
    };
    let lookup = CallClass {
        name: "lookup",
        share: 0.75,
        kind: CallKind::Completion,
        arrivals: bursts,
        prompt: LengthDistribution::new(200.0, 0.6, 8, 2_000),
        output: LengthDistribution::new(20.0, 0.6, 2, 64),
        max_tokens: Some(64),
        scaled_by_workspace: false,
    };
    let draft = CallClass {
        name: "draft",
        share: 0.25,
        kind: CallKind::Chat,
        arrivals: ArrivalProcess::Poisson,
        prompt: LengthDistribution::new(800.0, 0.7, 16, 6_000),
        output: LengthDistribution::new(1_200.0, 0.9, 65, MAX_OUTPUT_TOKENS)
            .with_tail(0.05, 4_000.0, 1.2),
        max_tokens: None,
        scaled_by_workspace: true,
    };
    WorkloadMix {
        classes: vec![lookup, draft],
        workspaces: create_workspaces(),
        prefixes_per_workspace: 3,
        prefix_share: 0.7,
        client_delay: 1_000,
    }
}
