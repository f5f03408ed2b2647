use strum::{Display, EnumIter, EnumString};

/// How nodes that share engines take each other into account.
///
/// ```
/// let mode: sched::CoordinationMode = "two_choices".parse().unwrap();
/// assert_eq!(mode, sched::CoordinationMode::TwoChoices);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CoordinationMode {
    /// The best target by own streams and late reports.
    Reports,
    /// The better of two random targets by the same knowledge.
    ///
    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    TwoChoices,
    /// The best among recently probed targets, else the better of two random ones.
    ///
    /// Source: Wydrowski et al., "Load is not what you should balance: Introducing Prequal", 2024.
    #[default]
    Probes,
    /// The best target by own streams, late reports and digests of the peers in the domain.
    Digests,
}
