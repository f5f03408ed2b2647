use base::{IncarnationNumber, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

/// Gaps between events that one node observed at one engine within a short time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceSample {
    /// Number of gaps.
    pub gaps: u32,
    /// Number of gaps that began a stretch of gaps over the pause limit.
    pub late_gaps: u32,
    /// Lower quartile of the gaps: gaps in which the engine also reads a prompt are about twice as
    /// long, and how many these are depends on its load and not on its speed.
    pub typical_gap: TimeSpan,
}

/// Encoded form of a report.
type ReportTuple = (TargetName, IncarnationNumber, u32, u32, TimeSpan);

/// Sample of one run of an engine, as a node reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportTuple", into = "ReportTuple")]
pub struct PaceReport {
    /// The engine.
    pub target: TargetName,
    /// Run of the engine.
    pub incarnation: IncarnationNumber,
    /// What the node observed.
    pub sample: PaceSample,
}

impl From<ReportTuple> for PaceReport {
    fn from((target, incarnation, gaps, late_gaps, typical_gap): ReportTuple) -> Self {
        let sample = PaceSample {
            gaps,
            late_gaps,
            typical_gap,
        };
        Self {
            target,
            incarnation,
            sample,
        }
    }
}

impl From<PaceReport> for ReportTuple {
    fn from(report: PaceReport) -> Self {
        let sample = report.sample;
        let (gaps, late_gaps) = (sample.gaps, sample.late_gaps);
        let run = (report.target, report.incarnation);
        (run.0, run.1, gaps, late_gaps, sample.typical_gap)
    }
}
