use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};

/// Time in which the weight of an observed gap halves. Engines are slow for moments of half a
/// second, which must not count as their pace, and change or leave within some ten seconds.
const PACE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Time in which the weight of an observation of late gaps halves; late gaps are rare.
const LATE_HALF_LIFE: TimeSpan = TimeSpan::from_secs(8);
/// Largest weight of the typical gap, so that it decays within seconds whatever the load was.
const WEIGHT_LIMIT: f64 = 64.0;

/// Estimated pace of one run of an engine: exponentially weighted averages.
#[derive(Clone, Debug)]
pub struct EnginePace {
    /// The engine.
    pub target: TargetName,
    /// Run of the engine.
    pub incarnation: IncarnationNumber,
    updated_at: ClockTime,
    /// Logarithm of the typical gap in milliseconds.
    log_gap: f64,
    /// Calls that ran on the engine.
    batch: f64,
    /// Gaps that `log_gap` and `batch` stand for.
    weight: f64,
    /// Gaps that began a late stretch.
    late: f64,
    /// Gaps of which `late` were late.
    gaps: f64,
}

impl EnginePace {
    /// Creates the estimate of a run without observations.
    pub fn new(now: ClockTime, target: TargetName, incarnation: IncarnationNumber) -> Self {
        Self {
            target,
            incarnation,
            updated_at: now,
            log_gap: 0.0,
            batch: 0.0,
            weight: 0.0,
            late: 0.0,
            gaps: 0.0,
        }
    }

    /// Adds `gaps` gaps, of which `late` were late; `log_gap` is the logarithm of their typical gap,
    /// and `batch` the number of calls that ran on the engine.
    pub fn add(&mut self, now: ClockTime, gaps: f64, late: f64, log_gap: f64, batch: f64) {
        let age = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.weight *= decay(age, PACE_HALF_LIFE);
        self.log_gap = (self.log_gap * self.weight + log_gap * gaps) / (self.weight + gaps);
        self.batch = (self.batch * self.weight + batch * gaps) / (self.weight + gaps);
        self.weight = (self.weight + gaps).min(WEIGHT_LIMIT);
        let late_decay = decay(age, LATE_HALF_LIFE);
        self.late = self.late * late_decay + late;
        self.gaps = self.gaps * late_decay + gaps;
    }

    /// Logarithm of the typical gap in milliseconds.
    pub fn log_gap(&self) -> f64 {
        self.log_gap
    }

    /// Average number of calls that ran on the engine.
    pub fn batch(&self) -> f64 {
        self.batch
    }

    /// Number of gaps that the typical gap still stands for.
    pub fn weight(&self, now: ClockTime) -> f64 {
        self.weight * decay(now.since(self.updated_at), PACE_HALF_LIFE)
    }

    /// Late gaps and all gaps, by their weight now.
    pub fn late_gaps(&self, now: ClockTime) -> (f64, f64) {
        let factor = decay(now.since(self.updated_at), LATE_HALF_LIFE);
        (self.late * factor, self.gaps * factor)
    }
}

/// Factor by which a weight shrinks within `age`.
pub(super) fn decay(age: TimeSpan, half_life: TimeSpan) -> f64 {
    (-(age.as_millis() as f64) / half_life.as_millis() as f64).exp2()
}
