use base::ClockTime;
use serde::{Deserialize, Serialize};

use super::FactSummary;
use super::fact_summary::bucket_of;
use super::fact_trade::TRADE_FACTS;
use crate::{FactId, FactSet, SharedFact, ToldFact};

/// Identifiers in one answer at most; the rest follows in later comparisons.
const ANSWER_IDS: usize = 256;

/// What one node asks another about its facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FactQuestion<F> {
    /// Which facts it knows where the two sets differ.
    Compare(FactSummary),
    /// Tells facts and asks for others.
    Trade {
        /// Facts that the other node lacks.
        told: Vec<ToldFact<F>>,
        /// Facts that this node lacks.
        wanted: Vec<FactId>,
    },
}

/// Facts of one part of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactBucket {
    /// Number of the part.
    pub bucket: usize,
    /// All its facts, sorted.
    pub ids: Vec<FactId>,
}

/// Answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FactAnswer<F> {
    /// The parts that differ, as far as they fit.
    Differs(Vec<FactBucket>),
    /// The facts that were asked for, as far as they fit.
    Told(Vec<ToldFact<F>>),
}

/// Answers a peer; returns the facts that were new to this node as well.
pub fn answer_facts<F: SharedFact>(
    set: &mut FactSet<F>,
    now: ClockTime,
    question: FactQuestion<F>,
) -> (FactAnswer<F>, Vec<F>) {
    match question {
        FactQuestion::Compare(summary) => {
            let buckets = differing_buckets(set, now, &summary);
            (FactAnswer::Differs(buckets), Vec::new())
        }
        FactQuestion::Trade { told, wanted } => {
            let facts = set.tell(now, TRADE_FACTS, |id| wanted.contains(&id));
            let told = told.into_iter().take(TRADE_FACTS);
            let news = told.filter_map(|told| {
                let fact = told.fact.clone();
                set.take(now, told).then_some(fact)
            });
            let news = news.collect();
            (FactAnswer::Told(facts), news)
        }
    }
}

fn differing_buckets<F: SharedFact>(
    set: &FactSet<F>,
    now: ClockTime,
    summary: &FactSummary,
) -> Vec<FactBucket> {
    let mut differing = Vec::new();
    let mut count = 0;
    for bucket in FactSummary::of(set, now).differing(summary) {
        let ids = set.ids(now).map(|(id, _)| id);
        let mut ids: Vec<_> = ids.filter(|id| bucket_of(*id) == bucket).collect();
        ids.sort();
        count += ids.len();
        // The first one always fits, so that each comparison leads on.
        if count > ANSWER_IDS && !differing.is_empty() {
            break;
        }
        differing.push(FactBucket { bucket, ids });
    }
    differing
}
