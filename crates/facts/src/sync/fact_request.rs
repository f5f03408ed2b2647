use base::ClockTime;
use serde::{Deserialize, Serialize};

use super::BucketDigest;
use super::bucket_digest::bucket_of;
use super::fact_sync::EXCHANGE_FACTS;
use crate::{FactId, FactSet, SentFact, SharedFact};

/// Largest number of identifiers in a response; the rest follows in later comparisons.
const RESPONSE_IDS: usize = 256;

/// Request of one node to another to synchronize their facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FactRequest<F> {
    /// Asks for the identifiers in the buckets that differ from those of the requesting node.
    Compare(BucketDigest),
    /// Sends facts and asks for others.
    #[serde(rename = "Trade")]
    Exchange {
        /// Facts that the receiver lacks.
        #[serde(rename = "told")]
        sent: Vec<SentFact<F>>,
        /// Identifiers of facts that the sender lacks.
        wanted: Vec<FactId>,
    },
}

/// Identifiers of the facts in one bucket of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactBucket {
    /// Index of the bucket.
    pub bucket: usize,
    /// Identifiers of all its facts, sorted.
    pub ids: Vec<FactId>,
}

/// Response to a [`FactRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FactResponse<F> {
    /// Buckets that differ, as many as fit in one response.
    Differs(Vec<FactBucket>),
    /// Requested facts, as many as fit in one response.
    #[serde(rename = "Told")]
    Facts(Vec<SentFact<F>>),
}

/// Answers the request of a peer and merges the facts that it sent; returns the response and the
/// facts that were new to this node.
pub fn answer_fact_request<F: SharedFact>(
    set: &mut FactSet<F>,
    now: ClockTime,
    request: FactRequest<F>,
) -> (FactResponse<F>, Vec<F>) {
    match request {
        FactRequest::Compare(digest) => {
            let buckets = differing_buckets(set, now, &digest);
            (FactResponse::Differs(buckets), Vec::new())
        }
        FactRequest::Exchange { sent, wanted } => {
            let facts = set.select(now, EXCHANGE_FACTS, |id| wanted.contains(&id));
            let sent = sent.into_iter().take(EXCHANGE_FACTS);
            let new_facts = sent.filter_map(|sent| {
                let fact = sent.fact.clone();
                set.merge(now, sent).then_some(fact)
            });
            let new_facts = new_facts.collect();
            (FactResponse::Facts(facts), new_facts)
        }
    }
}

/// Buckets in which a set differs from the digest of a peer, as many as fit in one response.
fn differing_buckets<F: SharedFact>(
    set: &FactSet<F>,
    now: ClockTime,
    digest: &BucketDigest,
) -> Vec<FactBucket> {
    let mut differing = Vec::new();
    let mut count = 0;
    for bucket in BucketDigest::of(set, now).differing(digest) {
        let ids = set.ids(now).map(|(id, _)| id);
        let mut ids: Vec<_> = ids.filter(|id| bucket_of(*id) == bucket).collect();
        ids.sort();
        count += ids.len();
        // The first differing bucket is always sent, so that each comparison makes progress.
        if count > RESPONSE_IDS && !differing.is_empty() {
            break;
        }
        differing.push(FactBucket { bucket, ids });
    }
    differing
}
