use sched::CallKind;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

use super::workload_mix::share_workspaces;
use super::{ArrivalLaw, CallClass, LengthLaw, WorkloadMix};

/// Longest output of both deployments in tokens.
const LONGEST_OUTPUT: u32 = 30_000;

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
    /// Long plans in a day shift, assessments and a few quick checks.
    Kanchan,
    /// Quick stock lookups in bursts beside long drafts of specifications.
    LanternaSul,
}

impl WorkloadKind {
    /// The classes and workspaces of this workload.
    pub fn mix(self) -> WorkloadMix {
        match self {
            Self::Kanchan => kanchan_mix(),
            Self::LanternaSul => lanterna_mix(),
        }
    }
}

fn kanchan_mix() -> WorkloadMix {
    let shift = ArrivalLaw::Shift {
        period: 600.0,
        swing: 0.1,
    };
    let plan = CallClass {
        name: "plan",
        share: 0.35,
        kind: CallKind::Chat,
        arrivals: shift,
        prompt: LengthLaw::new(600.0, 0.7, 16, 6_000),
        output: LengthLaw::new(1_000.0, 0.8, 65, LONGEST_OUTPUT).with_tail(0.04, 4_000.0, 1.2),
        max_tokens: None,
        scaled: true,
    };
    let assessment = CallClass {
        name: "assessment",
        share: 0.45,
        kind: CallKind::Completion,
        arrivals: ArrivalLaw::Poisson,
        prompt: LengthLaw::new(800.0, 0.6, 16, 6_000),
        output: LengthLaw::new(200.0, 0.7, 8, 2_000),
        max_tokens: Some(2_000),
        scaled: true,
    };
    let check = CallClass {
        name: "check",
        share: 0.2,
        kind: CallKind::Completion,
        arrivals: ArrivalLaw::Poisson,
        prompt: LengthLaw::new(200.0, 0.6, 8, 2_000),
        output: LengthLaw::new(20.0, 0.6, 2, 64),
        max_tokens: Some(64),
        scaled: false,
    };
    WorkloadMix {
        classes: vec![plan, assessment, check],
        workspaces: share_workspaces(),
        prefixes: 3,
        prefix_share: 0.7,
        client_delay: 3_000,
    }
}

fn lanterna_mix() -> WorkloadMix {
    let bursts = ArrivalLaw::Burst {
        period: 30.0,
        length: 3.0,
        factor: 3.0,
    };
    let lookup = CallClass {
        name: "lookup",
        share: 0.75,
        kind: CallKind::Completion,
        arrivals: bursts,
        prompt: LengthLaw::new(200.0, 0.6, 8, 2_000),
        output: LengthLaw::new(20.0, 0.6, 2, 64),
        max_tokens: Some(64),
        scaled: false,
    };
    let draft = CallClass {
        name: "draft",
        share: 0.25,
        kind: CallKind::Chat,
        arrivals: ArrivalLaw::Poisson,
        prompt: LengthLaw::new(800.0, 0.7, 16, 6_000),
        output: LengthLaw::new(1_200.0, 0.9, 65, LONGEST_OUTPUT).with_tail(0.05, 4_000.0, 1.2),
        max_tokens: None,
        scaled: true,
    };
    WorkloadMix {
        classes: vec![lookup, draft],
        workspaces: share_workspaces(),
        prefixes: 3,
        prefix_share: 0.7,
        client_delay: 1_000,
    }
}
