use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

use super::TargetPace;

/// Encoded form of a pace, which is sent to other failure domains once a second.
type PaceTuple = (TargetName, IncarnationNumber, u32, u32);

/// Pace of an engine that differs from the others of its service, as the coordinator of its failure
/// domain tells those of other domains. Engines that are not named count as average.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PaceTuple", into = "PaceTuple")]
pub struct DomainPace {
    /// The engine.
    pub target: TargetName,
    /// Run of the engine.
    pub incarnation: IncarnationNumber,
    /// Time between events as a percentage of that of the median engine.
    pub percent: u32,
    /// Share of gaps that begin a stretch over the pause limit, in units of 1 / 10,000.
    pub late_share: u32,
}

/// Units of `percent` and `late_share`.
const PERCENT: f64 = 100.0;
const LATE_SHARE_UNITS: f64 = 10_000.0;

impl DomainPace {
    /// Creates the report of a run with its pace.
    pub fn new(target: &TargetName, incarnation: IncarnationNumber, pace: TargetPace) -> Self {
        Self {
            target: target.clone(),
            incarnation,
            percent: (pace.ratio * PERCENT) as u32,
            late_share: (pace.late_share * LATE_SHARE_UNITS) as u32,
        }
    }

    /// Pace that was reported.
    pub fn pace(&self) -> TargetPace {
        TargetPace {
            ratio: f64::from(self.percent.max(1)) / PERCENT,
            late_share: f64::from(self.late_share) / LATE_SHARE_UNITS,
            is_known: true,
            ..TargetPace::default()
        }
    }
}

impl From<PaceTuple> for DomainPace {
    fn from((target, incarnation, percent, late_share): PaceTuple) -> Self {
        Self {
            target,
            incarnation,
            percent,
            late_share,
        }
    }
}

impl From<DomainPace> for PaceTuple {
    fn from(pace: DomainPace) -> Self {
        (pace.target, pace.incarnation, pace.percent, pace.late_share)
    }
}
