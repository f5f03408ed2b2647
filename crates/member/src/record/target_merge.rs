use schema::member::{TargetDrain, TargetRecord};
use strum::{Display, EnumString};

/// State of a target, derived from its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// Accepts new work.
    Alive,
    /// Finishes its work and accepts no new work.
    Leaving,
    /// Will be stopped at short notice; accepts no new work.
    Reclaimed,
    /// Does not run, or does not answer health checks.
    Dead,
}

/// Derives the state of a target from its record.
pub fn target_state(record: &TargetRecord) -> TargetState {
    if record.dead {
        return TargetState::Dead;
    }
    match record.drain {
        TargetDrain::Open => TargetState::Alive,
        TargetDrain::Leaving => TargetState::Leaving,
        TargetDrain::Reclaimed => TargetState::Reclaimed,
    }
}

/// Merges two records of one target.
///
/// The record of the later run wins. Within one run the drain only ever advances, while the latest
/// version decides whether the run is dead: a target that was only unreachable becomes alive again
/// and keeps its drain.
///
/// ```
/// use base::IncarnationNumber;
/// use schema::member::{TargetDrain, TargetRecord};
/// let leaving = TargetRecord {
///     target: "quill-1".parse().unwrap(),
///     domain: "balaju".parse().unwrap(),
///     incarnation: IncarnationNumber(7),
///     drain: TargetDrain::Leaving,
///     version: 0,
///     dead: false,
/// };
/// let open = TargetRecord { drain: TargetDrain::Open, ..leaving.clone() };
/// assert_eq!(member::merge_targets(&open, &leaving), leaving);
/// let next_run = TargetRecord { incarnation: IncarnationNumber(8), ..open };
/// assert_eq!(member::merge_targets(&next_run, &leaving), next_run);
/// ```
pub fn merge_targets(left: &TargetRecord, right: &TargetRecord) -> TargetRecord {
    if left.incarnation != right.incarnation {
        let newest = if left.incarnation > right.incarnation {
            left
        } else {
            right
        };
        return newest.clone();
    }
    let (version, dead) = (left.version, left.dead).max((right.version, right.dead));
    TargetRecord {
        drain: left.drain.max(right.drain),
        version,
        dead,
        ..left.clone()
    }
}
