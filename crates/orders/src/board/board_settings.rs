use base::{DomainName, IncarnationNumber, NodeName};

use crate::{GuardSwitches, LoopTiming};

/// What a board needs to know of its node.
///
/// ```
/// use base::IncarnationNumber;
/// use orders::BoardSettings;
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let settings = BoardSettings::new(node, IncarnationNumber(1), domain).with_seed(7);
/// assert_eq!(settings.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct BoardSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
    /// Domain of the node.
    pub domain: DomainName,
    /// Seed of the jitter.
    pub seed: u64,
    /// Wall clock in milliseconds since the Unix epoch at the start of the clock, so that fencing
    /// numbers of nodes that never met still rise with time; safety does not depend on it.
    pub wall_offset: u64,
    /// Times and limits.
    pub timing: LoopTiming,
    /// Mechanisms; all are on outside tests.
    pub guards: GuardSwitches,
}

impl BoardSettings {
    /// Creates settings with the default times.
    pub fn new(node: NodeName, run: IncarnationNumber, domain: DomainName) -> Self {
        Self {
            node,
            incarnation: run,
            domain,
            seed: run.0,
            wall_offset: 0,
            timing: LoopTiming::default(),
            guards: GuardSwitches::default(),
        }
    }

    /// Returns these settings with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns these settings with the wall clock at the start of the clock.
    #[must_use]
    pub fn with_wall_offset(mut self, millis: u64) -> Self {
        self.wall_offset = millis;
        self
    }

    /// Returns these settings with other times.
    #[must_use]
    pub fn with_timing(mut self, timing: LoopTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns these settings with some mechanisms switched off; for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.guards = guards;
        self
    }
}
