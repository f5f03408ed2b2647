use base::{ClockTime, IncarnationNumber, NodeName, TargetName, TimeSpan};

use super::engine_pace::decay;
use super::target_pace::{UNEVEN_RATIO, late_probability};
use super::{DomainPace, EnginePace, PaceReport, TargetPace};

/// Weight in gaps of the assumption that an engine is average.
const AVERAGE_WEIGHT: f64 = 4.0;
/// Gaps from which on an engine is judged.
const KNOWN_WEIGHT: f64 = 6.0;
/// Engines from which on they are compared.
const COMPARED_ENGINES: usize = 2;
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
/// Largest factor by which one more call on an engine is taken to lengthen its gaps.
const BATCH_SLOPE_LIMIT: f64 = 0.05;
/// Weight of the assumption that the number of calls does not matter, in gaps times the square of
/// their number.
const NO_SLOPE_WEIGHT: f64 = 500.0;
/// Time for which the pace that another failure domain reported of an engine holds; there may be
/// more such engines than one digest names, so each is reported again only after some seconds.
const REMOTE_LIFETIME: TimeSpan = TimeSpan::from_secs(12);
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

/// How the typical gap of an engine changes with the number of its calls, by regression over the
/// deviations of each engine from its own averages, as decaying sums.
#[derive(Clone, Copy, Debug, Default)]
struct BatchSlope {
    updated_at: ClockTime,
    products: f64,
    squares: f64,
}

impl BatchSlope {
    fn add(&mut self, now: ClockTime, gaps: f64, batch: f64, log_gap: f64) {
        let factor = decay(now.since(self.updated_at), CLASS_HALF_LIFE);
        self.updated_at = self.updated_at.max(now);
        self.products = self.products * factor + gaps * batch * log_gap;
        self.squares = self.squares * factor + gaps * batch * batch;
    }

    /// Change of the logarithm of the typical gap for one more call.
    fn value(self) -> f64 {
        let slope = self.products / (self.squares + NO_SLOPE_WEIGHT);
        slope.clamp(0.0, BATCH_SLOPE_LIMIT)
    }
}

/// Pace of an engine as its own failure domain reported it.
#[derive(Clone, Debug)]
struct RemotePace {
    pace: DomainPace,
    until: ClockTime,
}

/// Paces of all engines, sorted by name.
///
/// Engines are compared by their typical gaps. A node that is short of processor time sees longer
/// and later gaps at all of its engines, so each node's samples are corrected by the difference
/// between them and the estimates of its engines.
///
/// Handles some 100 samples a second of 300 engines and 300 nodes.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
/// use entry::{PaceReport, PaceSample, PaceTable, TargetPace};
/// let names: [TargetName; 3] = ["e1", "e2", "e3"].map(|name| name.parse().unwrap());
/// let run = IncarnationNumber(1);
/// let now = ClockTime::new(1_000);
/// let mut table = PaceTable::default();
/// for (name, gap) in names.iter().zip([30, 30, 60]) {
///     let sample = PaceSample { gaps: 60, late_gaps: 0, typical_gap: TimeSpan::new(gap) };
///     let report = PaceReport { target: name.clone(), incarnation: run, sample };
///     table.add(now, &"n1".parse().unwrap(), &report, TargetPace::default(), 8);
/// }
/// let runs: Vec<_> = names.iter().map(|name| (name, run)).collect();
/// let paces = table.compare(now, &runs);
/// assert!(paces[0].ratio < 1.1 && paces[2].ratio > 1.8);
/// ```
#[derive(Clone, Debug)]
pub struct PaceTable {
    engines: Vec<EnginePace>,
    nodes: Vec<NodeBias>,
    /// Late shares of engines of about the median pace or faster, and of slower ones.
    classes: [LateCount; 2],
    slope: BatchSlope,
    /// Sorted by name.
    remote: Vec<RemotePace>,
    long_events: f64,
}

impl Default for PaceTable {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            nodes: Vec::new(),
            classes: [LateCount::default(); 2],
            slope: BatchSlope::default(),
            remote: Vec::new(),
            long_events: DEFAULT_LONG_EVENTS,
        }
    }
}

impl PaceTable {
    /// Adds a sample that `node` reported of an engine whose pace was `known` to be so, and on which
    /// `batch` calls run.
    pub fn add(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        report: &PaceReport,
        known: TargetPace,
        batch: u32,
    ) {
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
        let batch = f64::from(batch);
        let difference = match is_judged {
            true => log_gap - engine.log_gap(),
            false => 0.0,
        };
        if is_judged {
            let more = batch - engine.batch();
            self.slope.add(now, gaps, more, difference);
        }
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
        self.engines[at].add(now, gaps, late, log_gap - correction, batch);
        let class = usize::from(known.ratio > UNEVEN_RATIO);
        self.classes[class].add(now, late, gaps);
    }

    /// Whether there are no observations at all.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.remote.is_empty()
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
        let slope = self.slope.value();
        let judged = found.iter().flatten();
        let judged = judged.filter(|one| one.weight(now) >= KNOWN_WEIGHT);
        let mut logs: Vec<_> = judged
            .map(|one| one.log_gap() - slope * one.batch())
            .collect();
        logs.sort_by(f64::total_cmp);
        let median = match logs.len() >= COMPARED_ENGINES {
            true => logs.get((logs.len() - 1) / 2).copied(),
            false => None,
        };
        let mut paces: Vec<_> = found
            .iter()
            .zip(runs)
            .map(|(engine, (target, incarnation))| {
                let own = engine.zip(median);
                let own =
                    own.map(|(one, median)| self.pace(now, one, median + slope * one.batch()));
                let remote = self.remote_pace(now, target, *incarnation);
                remote.or(own).unwrap_or_default()
            })
            .collect();
        let known = || paces.iter().filter(|pace| pace.is_known);
        let is_uneven = known().any(TargetPace::is_unusual);
        let long_events = self.long_events();
        // Engines that aren't known are taken for usual ones in the average over all.
        let usual = self.classes[0].share();
        let shares = paces.iter().map(|pace| match pace.is_known {
            true => pace.late_share,
            false => usual,
        });
        let sum: f64 = shares
            .clone()
            .map(|share| late_probability(share, long_events))
            .sum();
        let mean = sum / paces.len().max(1) as f64;
        // The share by which an unknown engine is late as often as an average one.
        let average = -(1.0 - mean).max(f64::MIN_POSITIVE).ln() / f64::from(long_events.max(1));
        let least = shares.reduce(f64::min);
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

    /// Records the paces that the coordinator of another failure domain reported of its engines.
    pub fn record_remote(&mut self, now: ClockTime, paces: &[DomainPace]) {
        for pace in paces {
            let found = self
                .remote
                .binary_search_by(|one| one.pace.target.cmp(&pace.target));
            let remote = RemotePace {
                pace: pace.clone(),
                until: now + REMOTE_LIFETIME,
            };
            match found {
                Ok(at) => self.remote[at] = remote,
                Err(at) => self.remote.insert(at, remote),
            }
        }
    }

    fn remote_pace(
        &self,
        now: ClockTime,
        target: &TargetName,
        incarnation: IncarnationNumber,
    ) -> Option<TargetPace> {
        let found = self
            .remote
            .binary_search_by(|one| one.pace.target.cmp(target));
        let remote = &self.remote[found.ok()?];
        let is_valid = remote.pace.incarnation == incarnation && now < remote.until;
        is_valid.then(|| remote.pace.pace())
    }

    /// Drops engines for which `keep` is false, and nodes without recent samples.
    pub fn retain(
        &mut self,
        now: ClockTime,
        mut keep: impl FnMut(&TargetName, IncarnationNumber) -> bool,
    ) {
        self.engines
            .retain(|one| keep(&one.target, one.incarnation));
        self.remote.retain(|one| now < one.until);
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
