use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::{PaceReport, PaceSample};

/// Gaps of one sample that are kept for its typical gap.
const KEPT_GAPS: usize = 64;
/// Closed samples are kept for this long for receivers that were not sent them.
const KEEP_TIME: TimeSpan = TimeSpan::new(1_500);
/// Largest number of closed samples that are kept.
const KEPT_SAMPLES: usize = 64;

#[derive(Clone, Debug)]
struct OpenSample {
    target: TargetName,
    incarnation: IncarnationNumber,
    late_gaps: u32,
    gaps: u32,
    /// The first gaps of the sample.
    kept: Vec<TimeSpan>,
}

#[derive(Clone, Debug)]
struct ClosedSample {
    number: u64,
    closed_at: ClockTime,
    report: PaceReport,
}

/// Collects the gaps of the streams of one node by engine, and closes them as samples to be
/// reported.
#[derive(Clone, Debug, Default)]
pub struct GapCollector {
    open: Vec<OpenSample>,
    closed: Vec<ClosedSample>,
    last_number: u64,
}

impl GapCollector {
    /// Records a gap of a stream at a run of an engine; `is_late` if it began a stretch of gaps
    /// over the pause limit.
    pub fn record(
        &mut self,
        target: &TargetName,
        incarnation: IncarnationNumber,
        gap: TimeSpan,
        is_late: bool,
    ) {
        let found = self
            .open
            .binary_search_by(|one| (&one.target, one.incarnation).cmp(&(target, incarnation)));
        let at = found.unwrap_or_else(|at| {
            let sample = OpenSample {
                target: target.clone(),
                incarnation,
                late_gaps: 0,
                gaps: 0,
                kept: Vec::new(),
            };
            self.open.insert(at, sample);
            at
        });
        let sample = &mut self.open[at];
        sample.gaps += 1;
        sample.late_gaps += u32::from(is_late);
        if sample.kept.len() < KEPT_GAPS {
            sample.kept.push(gap);
        }
    }

    /// Closes the open samples and returns them.
    pub fn close(&mut self, now: ClockTime) -> Vec<PaceReport> {
        self.closed
            .retain(|one| now.since(one.closed_at) < KEEP_TIME);
        let mut reports = Vec::new();
        for mut sample in self.open.drain(..) {
            sample.kept.sort();
            let report = PaceReport {
                target: sample.target,
                incarnation: sample.incarnation,
                sample: PaceSample {
                    gaps: sample.gaps,
                    late_gaps: sample.late_gaps,
                    typical_gap: sample.kept[sample.kept.len() / 4],
                },
            };
            self.last_number += 1;
            self.closed.push(ClosedSample {
                number: self.last_number,
                closed_at: now,
                report: report.clone(),
            });
            reports.push(report);
        }
        let excess = self.closed.len().saturating_sub(KEPT_SAMPLES);
        self.closed.drain(..excess);
        reports
    }

    /// Number of the last closed sample; samples are numbered in the order in which they close.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Closed samples with a number above `number`.
    pub fn closed_after(&self, number: u64) -> Vec<PaceReport> {
        let newer = self.closed.iter().filter(|one| one.number > number);
        newer.map(|one| one.report.clone()).collect()
    }
}
