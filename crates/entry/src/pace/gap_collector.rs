use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

use super::{PaceReport, PaceSample};

/// Gaps of one sample that are kept for its typical gap.
const KEPT_GAPS: usize = 64;
/// Closed samples are kept for this long for receivers that were not sent them.
const KEEP_TIME: TimeSpan = TimeSpan::new(1_500);
/// Largest number of closed samples that are kept.
const KEPT_SAMPLES: usize = 64;

/// How many samples a receiver is sent, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleBudget {
    /// Largest number of samples in one report.
    pub samples: usize,
    /// Shortest time between two reports with samples.
    pub interval: TimeSpan,
}

impl SampleBudget {
    /// For coordinators of the own failure domain. The interval is somewhat less than the half
    /// second in which samples are closed, as timers are late at times.
    pub const OWN_DOMAIN: Self = Self {
        samples: 6,
        interval: TimeSpan::new(450),
    };
    /// For coordinators of another failure domain, which few streams use.
    pub const OTHER_DOMAIN: Self = Self {
        samples: 1,
        interval: TimeSpan::new(900),
    };
}

/// Receivers for which it is remembered what they were sent: the coordinators of five domains.
const KEPT_RECEIVERS: usize = 16;

/// What a receiver of samples was sent.
#[derive(Clone, Copy, Debug)]
struct SampleReceiver {
    address: SocketAddr,
    /// Number of the last sample that it was sent, or that was not meant for it.
    number: u64,
    sent_at: ClockTime,
}

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
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use entry::{GapCollector, SampleBudget};
/// let (engine, run) = ("e1".parse().unwrap(), IncarnationNumber(1));
/// let receiver = "127.0.0.1:9".parse().unwrap();
/// let now = ClockTime::new(1_000);
/// let mut collector = GapCollector::default();
/// collector.record(&engine, run, TimeSpan::new(40), false);
/// collector.close(now);
/// let reports = collector.take_for(now, receiver, SampleBudget::OWN_DOMAIN, |_| true);
/// assert_eq!(reports[0].sample.typical_gap, TimeSpan::new(40));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GapCollector {
    open: Vec<OpenSample>,
    closed: Vec<ClosedSample>,
    last_number: u64,
    receivers: Vec<SampleReceiver>,
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

    /// Whether a receiver may get a report now and was not sent the last samples.
    pub fn has_news(&self, now: ClockTime, receiver: SocketAddr, budget: SampleBudget) -> bool {
        let known = self.receivers.iter().find(|one| one.address == receiver);
        known.map_or(self.last_number > 0, |one| {
            one.number < self.last_number && now.since(one.sent_at) >= budget.interval
        })
    }

    /// The oldest samples that a receiver was not sent yet, of the engines that `is_meant`
    /// selects, as far as its budget allows.
    pub fn take_for(
        &mut self,
        now: ClockTime,
        receiver: SocketAddr,
        budget: SampleBudget,
        is_meant: impl Fn(&TargetName) -> bool,
    ) -> Vec<PaceReport> {
        if !self.has_news(now, receiver, budget) {
            return Vec::new();
        }
        let at = self
            .receivers
            .iter()
            .position(|one| one.address == receiver);
        let sent = at.map_or(0, |at| self.receivers.remove(at).number);
        let mut number = self.last_number;
        let mut reports = Vec::new();
        for sample in self.closed.iter().filter(|one| one.number > sent) {
            if reports.len() == budget.samples {
                number = sample.number - 1;
                break;
            }
            if is_meant(&sample.report.target) {
                reports.push(sample.report.clone());
            }
        }
        if self.receivers.len() >= KEPT_RECEIVERS {
            self.receivers.remove(0);
        }
        self.receivers.push(SampleReceiver {
            address: receiver,
            number,
            sent_at: now,
        });
        reports
    }
}
