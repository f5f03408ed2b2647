/// Returns the latest of the store revisions after `after` up to `until` that is not in `covered`.
///
/// Each change of the store takes a revision of its own. A revision that none of the changes of one
/// area has therefore belongs to a change of another area, or to one that was overwritten.
///
/// ```
/// assert_eq!(entry::latest_gap(5, 8, [8, 6]), Some(7));
/// assert_eq!(entry::latest_gap(5, 7, [6, 7]), None);
/// assert_eq!(entry::latest_gap(5, 5, []), None);
/// ```
pub fn latest_gap(after: u64, until: u64, covered: impl IntoIterator<Item = u64>) -> Option<u64> {
    let mut covered: Vec<u64> = covered.into_iter().filter(|one| *one <= until).collect();
    covered.sort_unstable_by(|left, right| right.cmp(left));
    covered.dedup();
    let mut latest = until;
    for revision in covered {
        if revision != latest {
            break;
        }
        latest = latest.checked_sub(1)?;
    }
    (latest > after).then_some(latest)
}
