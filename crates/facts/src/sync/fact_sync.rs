use base::ClockTime;

use super::bucket_digest::bucket_of;
use super::{BucketDigest, FactBucket, FactRequest};
use crate::{FactId, FactSet, SharedFact};

/// Largest number of facts in one message; a fact takes some 80 bytes.
pub(super) const EXCHANGE_FACTS: usize = 48;

/// Builds the requests by which a node synchronizes its facts with those of a peer.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use facts::{FactResponse, FactSet, FactSync, SharedFact, answer_fact_request};
/// #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
/// struct Closed(u32);
/// impl SharedFact for Closed {
///     fn lifetime(&self) -> TimeSpan {
///         TimeSpan::from_secs(60)
///     }
/// }
/// let now = ClockTime::new(1_000);
/// let (mut here, mut there) = (FactSet::default(), FactSet::default());
/// here.insert(now, Closed(1));
/// there.insert(now, Closed(2));
/// let request = FactSync::compare(&here, now);
/// let (response, _) = answer_fact_request(&mut there, now, request);
/// let FactResponse::Differs(buckets) = response else { unreachable!() };
/// let request = FactSync::exchange(&here, now, &buckets).unwrap();
/// let (response, new_facts) = answer_fact_request(&mut there, now, request);
/// assert_eq!(new_facts.len(), 1);
/// let FactResponse::Facts(facts) = response else { unreachable!() };
/// assert!(here.merge(now, facts.into_iter().next().unwrap()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FactSync;

impl FactSync {
    /// First request: asks in which buckets the sets differ.
    pub fn compare<F: SharedFact>(set: &FactSet<F>, now: ClockTime) -> FactRequest<F> {
        FactRequest::Compare(BucketDigest::of(set, now))
    }

    /// Second request: sends the facts that the peer lacks and asks for those that this node lacks;
    /// `None` if there are none of either.
    pub fn exchange<F: SharedFact>(
        set: &FactSet<F>,
        now: ClockTime,
        buckets: &[FactBucket],
    ) -> Option<FactRequest<F>> {
        let peer_bucket = |id: FactId| buckets.iter().find(|one| one.bucket == bucket_of(id));
        let peer_lacks = |id: FactId| {
            peer_bucket(id).is_some_and(|bucket| bucket.ids.binary_search(&id).is_err())
        };
        let sent = set.select(now, EXCHANGE_FACTS, peer_lacks);
        let mut known: Vec<_> = set.ids(now).map(|(id, _)| id).collect();
        known.sort();
        let ids = buckets.iter().flat_map(|bucket| &bucket.ids);
        let wanted = ids.filter(|id| known.binary_search(id).is_err());
        let wanted: Vec<_> = wanted.take(EXCHANGE_FACTS).copied().collect();
        let is_empty = sent.is_empty() && wanted.is_empty();
        (!is_empty).then_some(FactRequest::Exchange { sent, wanted })
    }
}
