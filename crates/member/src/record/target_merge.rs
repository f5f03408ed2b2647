use schema::member::{TargetDrain, TargetRecord};
use strum::{Display, EnumString};

/// State of a target as its users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    Alive,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Ends at short notice; takes no new work.
    Reclaimed,
    /// Does not run.
    Dead,
}

/// State that a record stands for.
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

/// Joins two records of one target.
///
/// The later run wins. Within one run a drain is never taken back, while the latest version tells
/// whether the run is dead: a target that was only unreachable comes back without losing its drain.
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
