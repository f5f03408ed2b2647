use base::{ByteCount, TargetName};
use engine::{EngineProfile, WeightKey};

/// What a stand-in engine is like.
///
/// ```
/// let settings = standin::EngineSettings::new("e1".parse().unwrap()).with_seed(7);
/// assert_eq!(settings.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the engine in its history.
    pub name: TargetName,
    /// Speed and size.
    pub profile: EngineProfile,
    /// Seed of the model.
    pub seed: u64,
    /// Weights in memory at the start.
    pub loaded: Vec<WeightKey>,
    /// Size of the weights of one version.
    pub weight_size: ByteCount,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Weights that fail to load.
    pub broken: Vec<WeightKey>,
    /// A prompt that contains this text ends the engine's process.
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
            broken: Vec::new(),
            crash_text: None,
        }
    }

    /// Returns these settings with another seed; a restarted engine needs a new one.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns these settings with one more version in memory at the start.
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

    /// Returns these settings with a version that fails to load.
    #[must_use]
    pub fn with_broken(mut self, key: WeightKey) -> Self {
        self.broken.push(key);
        self
    }

    /// Returns these settings with a text that crashes the engine.
    #[must_use]
    pub fn with_crash_text(mut self, text: &str) -> Self {
        self.crash_text = Some(text.to_owned());
        self
    }

    /// Returns these settings with the check of fencing numbers switched on.
    #[must_use]
    pub fn with_fencing(mut self) -> Self {
        self.fencing = true;
        self
    }
}
