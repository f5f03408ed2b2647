use strum::{Display, EnumIter, EnumString};

/// How a node takes the load from other nodes into account when it selects among shared engines.
///
/// ```
/// let mode: sched::CoordinationMode = "two_choices".parse().unwrap();
/// assert_eq!(mode, sched::CoordinationMode::TwoChoices);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CoordinationMode {
    /// Selects the best target by own streams and late load reports.
    Reports,
    /// Selects the better of two random targets by own streams and late load reports.
    ///
    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    TwoChoices,
    /// Selects the best among recently probed targets, else the better of two random ones.
    ///
    /// Source: Wydrowski et al., "Load is not what you should balance: Introducing Prequal", 2024.
    #[default]
    Probes,
    /// Selects the best target by own streams, late load reports and digests of the peers in the
    /// failure domain.
    Digests,
}
