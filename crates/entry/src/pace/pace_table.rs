use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan};

use super::engine_pace::decay;
use super::{EnginePace, PaceReport, TargetPace};

/// Weight in gaps of the assumption that an engine is average.
const AVERAGE_WEIGHT: f64 = 4.0;
/// Gaps from which on an engine is judged.
const KNOWN_WEIGHT: f64 = 6.0;
/// Engines from which on they are compared.
const COMPARED_ENGINES: usize = 2;
/// An engine whose pace differs from the median by more than this factor makes the service uneven.
const UNEVEN_RATIO: f64 = 1.25;
/// Weight in gaps of the late share of the engines of about the same pace, which is known sooner
/// than that of one engine.
const CLASS_WEIGHT: f64 = 150.0;
/// Time in which the weight of an observation of the engines of a pace class halves.
const CLASS_HALF_LIFE: TimeSpan = TimeSpan::from_secs(30);
/// Time in which the weight of an observation of the samples of one node halves.
const NODE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(8);
/// Late gaps that a node may have beyond those expected of its engines before they are discounted.
const NODE_LATE_SLACK: f64 = 3.0;
/// Gaps from which on the bias of a node is corrected.
const NODE_WEIGHT: f64 = 30.0;
/// Estimates without observations for so long are dropped.
const PACE_EXPIRY_WEIGHT: f64 = 0.05;
/// Events of a long call before any was seen.
const DEFAULT_LONG_EVENTS: f64 = 100.0;
/// Weight of one long call in the average of their events.
const LONG_CALL_WEIGHT: f64 = 0.02;

/// Late gaps and all gaps of a group of engines, as decaying counts.
#[derive(Clone, Copy, Debug, Default)]
struct LateCount {
    late: f64,
    gaps: f64,
    updated_at: ClockTime,
}

impl LateCount {
    fn add(&mut self, now: ClockTime, late: f64, gaps: f64) {
        let factor = decay(now.since(self.updated_at), CLASS_HALF_LIFE);
        self.updated_at = self.updated_at.max(now);
        self.late = self.late * factor + late;
        self.gaps = self.gaps * factor + gaps;
    }

    fn share(&self) -> f64 {
        self.late / (self.gaps + CLASS_WEIGHT)
    }
}

/// How the samples of one node differ from what other nodes see at the same engines.
#[derive(Clone, Debug)]
struct NodeBias {
    node: NodeName,
    updated_at: ClockTime,
    late: f64,
    expected_late: f64,
    gaps: f64,
    /// Sum over the gaps of the difference of logarithms.
    difference: f64,
}

/// Paces of all engines, sorted by name.
///
/// Engines are compared by their typical gaps. A node that is short of processor time sees longer
/// and later gaps at all of its engines, so each node's samples are corrected by the difference
/// between them and the estimates of its engines.
///
/// Handles some 100 samples a second of 300 engines and 300 nodes.
#[derive(Clone, Debug)]
pub struct PaceTable {
    engines: Vec<EnginePace>,
    nodes: Vec<NodeBias>,
    /// Late shares of engines of about the median pace or faster, and of slower ones.
    classes: [LateCount; 2],
    long_events: f64,
}

impl Default for PaceTable {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            nodes: Vec::new(),
            classes: [LateCount::default(); 2],
            long_events: DEFAULT_LONG_EVENTS,
        }
    }
}

impl PaceTable {
    /// Adds a sample that `node` reported of an engine whose pace was `known` to be so.
    pub fn add(&mut self, now: ClockTime, node: &NodeName, report: &PaceReport, known: TargetPace) {
        let sample = &report.sample;
        if sample.gaps == 0 {
            return;
        }
        let gaps = f64::from(sample.gaps);
        let late = f64::from(sample.late_gaps.min(sample.gaps));
        let at = self.engine_at(now, &report.target, report.incarnation);
        let log_gap = (sample.typical_gap.as_millis().max(1) as f64).ln();
        let engine = &self.engines[at];
        let is_judged = engine.weight(now) >= KNOWN_WEIGHT;
        let difference = match is_judged {
            true => log_gap - engine.log_gap(),
            false => 0.0,
        };
        let bias = self.bias_of(now, node);
        bias.gaps += gaps;
        bias.late += late;
        bias.expected_late += gaps * known.late_share;
        bias.difference += gaps * difference;
        let correction = match bias.gaps >= NODE_WEIGHT {
            true => (bias.difference / bias.gaps).max(0.0),
            false => 0.0,
        };
        let allowed = bias.expected_late + NODE_LATE_SLACK;
        let late_factor = (allowed / bias.late.max(allowed)).min(1.0);
        let late = late * late_factor;
        self.engines[at].add(now, sample, log_gap - correction, late);
        let class = usize::from(known.ratio > UNEVEN_RATIO);
        self.classes[class].add(now, late, gaps);
    }

    /// Records the number of events of a long call to be placed.
    pub fn record_long_call(&mut self, events: u32) {
        self.long_events += (f64::from(events) - self.long_events) * LONG_CALL_WEIGHT;
    }

    /// Average number of events of a long call.
    pub fn long_events(&self) -> u32 {
        self.long_events as u32
    }

    /// Estimate of one run of an engine, if it has observations.
    pub fn engine(
        &self,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Option<&EnginePace> {
        let at = self.find(target).ok()?;
        Some(&self.engines[at]).filter(|one| one.incarnation == incarnation)
    }

    /// Paces of the runs of one service beside each other, in the order of `runs`.
    pub fn compare(
        &self,
        now: ClockTime,
        runs: &[(&TargetName, IncarnationNumber)],
    ) -> Vec<TargetPace> {
        let found: Vec<_> = runs
            .iter()
            .map(|(target, incarnation)| self.engine(target, *incarnation))
            .map(|engine| engine.filter(|one| one.weight(now) > PACE_EXPIRY_WEIGHT))
            .collect();
        let judged = found.iter().flatten();
        let judged = judged.filter(|one| one.weight(now) >= KNOWN_WEIGHT);
        let mut logs: Vec<_> = judged.map(|one| one.log_gap()).collect();
        if logs.len() < COMPARED_ENGINES {
            return vec![TargetPace::default(); runs.len()];
        }
        logs.sort_by(f64::total_cmp);
        let median = logs[(logs.len() - 1) / 2];
        let mut paces: Vec<_> = found
            .iter()
            .map(|engine| {
                engine.map_or_else(TargetPace::default, |one| self.pace(now, one, median))
            })
            .collect();
        let known = || paces.iter().filter(|pace| pace.is_known);
        let is_uneven =
            known().any(|pace| pace.ratio > UNEVEN_RATIO || pace.ratio < UNEVEN_RATIO.recip());
        let count = known().count().max(1) as f64;
        let long_events = self.long_events();
        let mean = known()
            .map(|pace| pace.late_probability(long_events))
            .sum::<f64>()
            / count;
        // The share by which an unknown engine is late as often as an average one.
        let average = -(1.0 - mean).max(f64::MIN_POSITIVE).ln() / f64::from(long_events.max(1));
        let least = known().map(|pace| pace.late_share).reduce(f64::min);
        for pace in &mut paces {
            if !pace.is_known {
                pace.late_share = average;
            }
            pace.least_late_share = least.unwrap_or(0.0);
            pace.is_uneven = is_uneven;
            pace.is_avoided = is_uneven && pace.is_late_for(long_events);
        }
        paces
    }

    /// Drops engines for which `keep` is false, and nodes without recent samples.
    pub fn retain(
        &mut self,
        now: ClockTime,
        mut keep: impl FnMut(&TargetName, IncarnationNumber) -> bool,
    ) {
        self.engines
            .retain(|one| keep(&one.target, one.incarnation));
        self.nodes.retain(|one| {
            one.gaps * decay(now.since(one.updated_at), NODE_HALF_LIFE) > PACE_EXPIRY_WEIGHT
        });
    }

    fn pace(&self, now: ClockTime, engine: &EnginePace, median: f64) -> TargetPace {
        let weight = engine.weight(now);
        let trust = weight / (weight + AVERAGE_WEIGHT);
        let ratio = (trust * (engine.log_gap() - median)).exp();
        let class = self.classes[usize::from(ratio > UNEVEN_RATIO)].share();
        let (late, gaps) = engine.late_gaps(now);
        TargetPace {
            ratio,
            late_share: (late + CLASS_WEIGHT * class) / (gaps + CLASS_WEIGHT),
            is_known: weight >= KNOWN_WEIGHT,
            ..TargetPace::default()
        }
    }

    fn engine_at(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> usize {
        let fresh = || EnginePace::new(now, target.clone(), incarnation);
        match self.find(target) {
            Ok(at) => {
                if self.engines[at].incarnation < incarnation {
                    self.engines[at] = fresh();
                }
                at
            }
            Err(at) => {
                self.engines.insert(at, fresh());
                at
            }
        }
    }

    fn bias_of(&mut self, now: ClockTime, node: &NodeName) -> &mut NodeBias {
        let found = self.nodes.binary_search_by(|one| one.node.cmp(node));
        let at = found.unwrap_or_else(|at| {
            let bias = NodeBias {
                node: node.clone(),
                updated_at: now,
                late: 0.0,
                expected_late: 0.0,
                gaps: 0.0,
                difference: 0.0,
            };
            self.nodes.insert(at, bias);
            at
        });
        let bias = &mut self.nodes[at];
        let factor = decay(now.since(bias.updated_at), NODE_HALF_LIFE);
        bias.updated_at = bias.updated_at.max(now);
        bias.late *= factor;
        bias.expected_late *= factor;
        bias.gaps *= factor;
        bias.difference *= factor;
        bias
    }

    fn find(&self, target: &TargetName) -> Result<usize, usize> {
        self.engines.binary_search_by(|one| one.target.cmp(target))
    }
}
