use base::{DomainName, IncarnationNumber, NodeName};

use crate::{GuardSwitches, ReconcileTiming};

/// Settings of a [`crate::DomainReconciler`].
///
/// ```
/// use base::IncarnationNumber;
/// use orders::ReconcilerSettings;
/// let (node, domain) = ("n1".parse().unwrap(), "patan".parse().unwrap());
/// let settings = ReconcilerSettings::new(node, IncarnationNumber(1), domain).with_seed(7);
/// assert_eq!(settings.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct ReconcilerSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
    /// Domain of the node.
    pub domain: DomainName,
    /// Seed of the back-off jitter.
    pub seed: u64,
    /// Wall-clock time, in milliseconds since the Unix epoch, at which the node's clock is zero. It
    /// makes fencing numbers rise with time even between nodes that never exchanged messages;
    /// safety does not depend on it.
    pub wall_offset: u64,
    /// Durations and limits.
    pub timing: ReconcileTiming,
    /// Safety mechanisms; all are on except in tests.
    pub guards: GuardSwitches,
}

impl ReconcilerSettings {
    /// Creates settings with the default durations and limits.
    pub fn new(node: NodeName, incarnation: IncarnationNumber, domain: DomainName) -> Self {
        Self {
            node,
            incarnation,
            domain,
            seed: incarnation.0,
            wall_offset: 0,
            timing: ReconcileTiming::default(),
            guards: GuardSwitches::default(),
        }
    }

    /// Returns these settings with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns these settings with the wall-clock time at which the node's clock is zero.
    #[must_use]
    pub fn with_wall_offset(mut self, millis: u64) -> Self {
        self.wall_offset = millis;
        self
    }

    /// Returns these settings with other durations and limits.
    #[must_use]
    pub fn with_timing(mut self, timing: ReconcileTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns these settings with other safety mechanisms; for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.guards = guards;
        self
    }
}
