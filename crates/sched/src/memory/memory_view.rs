use base::ClockTime;

use super::{GrowthCurve, ViewHistory};
use crate::{LoadReport, TargetDigest};

/// Estimate of one node of the memory use of one target.
///
/// Streams of this node (own streams) are counted as they change, those of peers as their digests
/// arrive. The unattributed part is what a load report shows beyond what the node knew at the time
/// of its measurement. It is negative where sequences share cached prefixes, since the sharing is
/// not known per stream.
///
/// ```
/// use sched::{GrowthCurve, MemoryView};
/// let view = MemoryView::default();
/// assert_eq!(view.predicted_peak(&GrowthCurve::default(), 1.2), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryView {
    /// Sum of the growth curves of the own streams.
    own: GrowthCurve,
    /// Tokens in memory of the own streams that have produced a token.
    own_started: u64,
    own_count: u32,
    /// Number of own streams that have produced a token.
    own_running: u32,
    /// Prompt tokens of the own streams that have not produced a token yet.
    own_prefill: u64,
    /// Tokens in memory according to the digests of peers.
    peer_held: u64,
    peer_count: u32,
    unattributed_tokens: i64,
    unattributed_count: u32,
    /// Memory size of the target, in tokens.
    total: u64,
    /// Preemptions of the engine according to the latest report.
    preemptions: u64,
    measured_at: Option<ClockTime>,
    history: ViewHistory,
}

impl MemoryView {
    /// Adds a stream that this node dispatched.
    pub fn add_stream(&mut self, growth: &GrowthCurve) {
        self.own += growth;
        self.own_count += 1;
        self.own_prefill += growth.held();
    }

    /// Records that the engine produced the first token of an own stream.
    pub fn mark_started(&mut self, now: ClockTime, growth: &GrowthCurve) {
        self.own_prefill = self.own_prefill.saturating_sub(growth.held());
        self.own_started += growth.held();
        self.own_running += 1;
        self.sample(now);
    }

    /// Replaces the prediction of a started own stream.
    pub fn update_stream(&mut self, now: ClockTime, old: &GrowthCurve, new: &GrowthCurve) {
        self.own -= old;
        self.own += new;
        self.own_started = (self.own_started + new.held()).saturating_sub(old.held());
        self.sample(now);
    }

    /// Removes an own stream.
    pub fn remove_stream(&mut self, now: ClockTime, growth: &GrowthCurve, started: bool) {
        self.own -= growth;
        self.own_count -= 1;
        if !started {
            self.own_prefill = self.own_prefill.saturating_sub(growth.held());
            return;
        }
        self.own_started = self.own_started.saturating_sub(growth.held());
        self.own_running -= 1;
        self.sample(now);
    }

    /// Replaces the digest of one peer for the target.
    pub fn update_peer(
        &mut self,
        now: ClockTime,
        old: Option<&TargetDigest>,
        new: Option<&TargetDigest>,
    ) {
        if let Some(old) = old {
            self.peer_held -= u64::from(old.held_tokens);
            self.peer_count -= old.in_flight;
        }
        if let Some(new) = new {
            self.peer_held += u64::from(new.held_tokens);
            self.peer_count += new.in_flight;
        }
        self.sample(now);
    }

    /// Applies a report unless a newer one was applied; returns the number of preemptions since the
    /// last one.
    pub fn apply_report(&mut self, report: &LoadReport) -> u64 {
        if self
            .measured_at
            .is_some_and(|last| last > report.measured_at)
        {
            return 0;
        }
        let page = u64::from(report.page_tokens);
        let used = u64::from(report.used_pages) * page;
        let (known, count) = self.history.at(report.measured_at);
        self.total = u64::from(report.total_pages) * page;
        self.unattributed_tokens = used as i64 - known as i64;
        self.unattributed_count = (report.running + report.waiting).saturating_sub(count);
        let first = self.measured_at.is_none();
        let restarted = report.preemptions < self.preemptions;
        let preempted = if first || restarted {
            0
        } else {
            report.preemptions - self.preemptions
        };
        self.preemptions = report.preemptions;
        self.measured_at = Some(report.measured_at);
        preempted
    }

    /// Largest expected number of tokens in memory if a request with the curve `extra` is added.
    ///
    /// Sequences of other nodes are assumed to grow by `growth_factor`.
    pub fn predicted_peak(&self, extra: &GrowthCurve, growth_factor: f64) -> u64 {
        let others = self.peer_held as i64 + self.unattributed_tokens;
        let own = self.own.peak_with(extra);
        if others < 0 {
            return own.saturating_sub(others.unsigned_abs());
        }
        own + (others as f64 * growth_factor) as u64
    }

    /// Memory size of the target, in tokens; 0 before its first report.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// When the latest report was measured.
    pub fn measured_at(&self) -> Option<ClockTime> {
        self.measured_at
    }

    /// Number of sequences on the target, running or waiting there.
    pub fn sequences(&self) -> u32 {
        self.own_count + self.peer_count + self.unattributed_count
    }

    /// Number of own streams on the target.
    pub fn own_count(&self) -> u32 {
        self.own_count
    }

    /// Prompt tokens of the own streams that have not produced a token yet.
    pub fn own_prefill(&self) -> u64 {
        self.own_prefill
    }

    /// Expected memory use of the own streams.
    pub fn own(&self) -> &GrowthCurve {
        &self.own
    }

    /// Adds the tokens and sequences that are known now to the history.
    fn sample(&mut self, now: ClockTime) {
        let tokens = self.own_started + self.peer_held;
        self.history
            .push(now, tokens, self.own_running + self.peer_count);
    }
}
