use base::{ByteCount, TargetName};
use engine::{EngineProfile, WeightKey};

/// Settings of a stand-in engine.
///
/// ```
/// let settings = standin::EngineSettings::new("e1".parse().unwrap()).with_seed(7);
/// assert_eq!(settings.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the engine in its run log.
    pub name: TargetName,
    /// Simulated speed, memory size and limits.
    pub profile: EngineProfile,
    /// Seed of the simulator.
    pub seed: u64,
    /// Weights in memory at the start.
    pub loaded: Vec<WeightKey>,
    /// Size of the weights of one version.
    pub weight_size: ByteCount,
    /// Whether orders with an older fencing number than the highest seen are refused.
    pub fencing: bool,
    /// Weights that fail to load.
    pub failing_weights: Vec<WeightKey>,
    /// Text that crashes the engine if a prompt contains it.
    pub crash_text: Option<String>,
}

impl EngineSettings {
    /// Creates the settings of an engine with the default profile and without weights.
    pub fn new(name: TargetName) -> Self {
        Self {
            name,
            profile: EngineProfile::default(),
            seed: 1,
            loaded: Vec::new(),
            weight_size: ByteCount(1_000_000_000),
            fencing: false,
            failing_weights: Vec::new(),
            crash_text: None,
        }
    }

    /// Returns these settings with another seed; a restarted engine needs a new one.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns these settings with one more version or adapter loaded at the start.
    #[must_use]
    pub fn with_loaded(mut self, key: WeightKey) -> Self {
        self.loaded.push(key);
        self
    }

    /// Returns these settings with another profile.
    #[must_use]
    pub fn with_profile(mut self, profile: EngineProfile) -> Self {
        self.profile = profile;
        self
    }

    /// Returns these settings with one more version or adapter that fails to load.
    #[must_use]
    pub fn with_failing_weights(mut self, key: WeightKey) -> Self {
        self.failing_weights.push(key);
        self
    }

    /// Returns these settings with a text that crashes the engine if a prompt contains it.
    #[must_use]
    pub fn with_crash_text(mut self, text: &str) -> Self {
        self.crash_text = Some(text.to_owned());
        self
    }

    /// Returns these settings with fencing: orders with an older fencing number are refused.
    #[must_use]
    pub fn with_fencing(mut self) -> Self {
        self.fencing = true;
        self
    }
}
