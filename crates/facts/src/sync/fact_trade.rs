use base::ClockTime;

use super::fact_summary::bucket_of;
use super::{FactBucket, FactQuestion, FactSummary};
use crate::{FactId, FactSet, SharedFact};

/// Facts in one message at most: some 80 bytes each.
pub(super) const TRADE_FACTS: usize = 48;

/// One node's part in completing two sets.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use facts::{FactAnswer, FactSet, FactTrade, SharedFact, answer_facts};
/// #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
/// struct Closed(u32);
/// impl SharedFact for Closed {
///     fn lifetime(&self) -> TimeSpan {
///         TimeSpan::from_secs(60)
///     }
/// }
/// let now = ClockTime::new(1_000);
/// let (mut here, mut there) = (FactSet::default(), FactSet::default());
/// here.learn(now, Closed(1));
/// there.learn(now, Closed(2));
/// let question = FactTrade::compare(&here, now);
/// let (answer, _) = answer_facts(&mut there, now, question);
/// let FactAnswer::Differs(buckets) = answer else { unreachable!() };
/// let question = FactTrade::trade(&here, now, &buckets).unwrap();
/// let (answer, news) = answer_facts(&mut there, now, question);
/// assert_eq!(news.len(), 1);
/// let FactAnswer::Told(told) = answer else { unreachable!() };
/// assert!(here.take(now, told.into_iter().next().unwrap()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FactTrade;

impl FactTrade {
    /// First question: where the sets differ.
    pub fn compare<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> FactQuestion<F> {
        FactQuestion::Compare(FactSummary::of(set, now))
    }

    /// Second question: what the other node lacks and what this one does; `None` if the sets agree.
    pub fn trade<F: SharedFact>(
        set: &FactSet<F>,
        now: ClockTime,
        buckets: &[FactBucket],
    ) -> Option<FactQuestion<F>> {
        let in_buckets = |id: FactId| buckets.iter().find(|one| one.bucket == bucket_of(id));
        let lacks = |id: FactId| {
            in_buckets(id).is_some_and(|bucket| bucket.ids.binary_search(&id).is_err())
        };
        let told = set.tell(now, TRADE_FACTS, lacks);
        let mut known: Vec<_> = set.ids(now).map(|(id, _)| id).collect();
        known.sort();
        let ids = buckets.iter().flat_map(|bucket| &bucket.ids);
        let wanted = ids.filter(|id| known.binary_search(id).is_err());
        let wanted: Vec<_> = wanted.take(TRADE_FACTS).copied().collect();
        let is_empty = told.is_empty() && wanted.is_empty();
        (!is_empty).then_some(FactQuestion::Trade { told, wanted })
    }
}
