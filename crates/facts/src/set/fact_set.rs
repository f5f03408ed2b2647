use base::{ClockTime, TimeSpan};

use super::{FactId, FactValue, SentFact, SharedFact};

/// Largest number of facts in a set; beyond it, the facts that tell least are removed, and of those
/// the ones that expire first.
const FACT_LIMIT: usize = 512;
/// Facts with less remaining time are neither compared nor merged. Nodes remove a fact at slightly
/// different moments and would otherwise send it back and forth forever.
const MIN_REMAINING: TimeSpan = TimeSpan::from_secs(2);

/// Fact with its identifier and expiry time.
#[derive(Clone, Debug)]
struct FactEntry<F> {
    fact: F,
    id: FactId,
    expires_at: ClockTime,
}

/// Bounded set of facts that expire.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use facts::{FactSet, SharedFact};
/// #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
/// struct Closed(u32);
/// impl SharedFact for Closed {
///     fn lifetime(&self) -> TimeSpan {
///         TimeSpan::from_secs(60)
///     }
/// }
/// let now = ClockTime::new(1_000);
/// let (mut here, mut there) = (FactSet::default(), FactSet::default());
/// assert!(here.insert(now, Closed(7)));
/// assert!(!here.insert(now, Closed(7)));
/// for fact in here.most_valuable(now, 10) {
///     there.merge(now, fact);
/// }
/// assert!(there.contains(&Closed(7)));
/// ```
#[derive(Clone, Debug)]
pub struct FactSet<F> {
    /// Sorted by fact; each fact occurs once.
    entries: Vec<FactEntry<F>>,
}

impl<F> Default for FactSet<F> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<F: SharedFact> FactSet<F> {
    /// Number of facts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the set has no facts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the set has a fact.
    pub fn contains(&self, fact: &F) -> bool {
        self.find(fact).is_ok()
    }

    /// Adds a fact that this node observed, with its full lifetime; returns whether it is new.
    pub fn insert(&mut self, now: ClockTime, fact: F) -> bool {
        let expires_at = now + fact.lifetime();
        self.insert_until(now, fact, expires_at)
    }

    /// Adds a fact that this node observed and that holds for a shorter time than others of its kind;
    /// returns whether it is new.
    pub fn insert_for(&mut self, now: ClockTime, fact: F, time: TimeSpan) -> bool {
        let expires_at = now + time.min(fact.lifetime());
        self.insert_until(now, fact, expires_at)
    }

    /// Adds a fact that a peer sent; returns whether it is new.
    ///
    /// A fact that is already in the set keeps its expiry time. Otherwise facts that several nodes
    /// send one another would never expire.
    pub fn merge(&mut self, now: ClockTime, sent: SentFact<F>) -> bool {
        if sent.remaining < MIN_REMAINING {
            return false;
        }
        let remaining = sent.remaining.min(sent.fact.lifetime());
        self.insert_until(now, sent.fact, now + remaining)
    }

    /// Removes expired facts.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|entry| entry.expires_at > now);
    }

    /// Unexpired facts in order, each with its remaining time, starting at the first fact for which
    /// `is_before` is false. `is_before` has to be true for a prefix of the sorted facts only.
    pub fn iter_from(
        &self,
        now: ClockTime,
        is_before: impl Fn(&F) -> bool,
    ) -> impl Iterator<Item = (&F, TimeSpan)> {
        let at = self.entries.partition_point(|entry| is_before(&entry.fact));
        let entries = self.entries[at..].iter();
        let unexpired = entries.filter(move |entry| entry.expires_at > now);
        unexpired.map(move |entry| (&entry.fact, entry.expires_at - now))
    }

    /// All facts in order, including expired facts that were not removed yet.
    pub fn facts(&self) -> impl Iterator<Item = &F> {
        self.entries.iter().map(|entry| &entry.fact)
    }

    /// Up to `limit` facts to send to a peer; the facts that tell most come first, and of those the
    /// ones that expire last.
    pub fn most_valuable(&self, now: ClockTime, limit: usize) -> Vec<SentFact<F>> {
        self.select(now, limit, |_| true)
    }

    /// Up to `limit` facts to send to a peer, out of those whose identifier `is_wanted` accepts; the
    /// facts that tell most come first, and of those the ones that expire last.
    pub(crate) fn select(
        &self,
        now: ClockTime,
        limit: usize,
        is_wanted: impl Fn(FactId) -> bool,
    ) -> Vec<SentFact<F>> {
        let mut selected: Vec<_> = (0..self.entries.len())
            .map(|at| (at, &self.entries[at]))
            .filter(|(_, entry)| is_comparable(entry, now) && is_wanted(entry.id))
            .map(|(at, entry)| (self.value(at), entry.expires_at, entry))
            .collect();
        selected.sort_by_key(|(value, expires_at, _)| std::cmp::Reverse((*value, *expires_at)));
        let selected = selected.into_iter().take(limit);
        selected
            .map(|(_, _, entry)| SentFact {
                fact: entry.fact.clone(),
                remaining: entry.expires_at - now,
            })
            .collect()
    }

    /// Identifiers and expiry times of the facts that are compared with those of peers.
    pub(crate) fn ids(&self, now: ClockTime) -> impl Iterator<Item = (FactId, ClockTime)> {
        self.comparable(now)
            .map(|entry| (entry.id, entry.expires_at))
    }

    /// Facts with enough remaining time to be compared with those of peers.
    fn comparable(&self, now: ClockTime) -> impl Iterator<Item = &FactEntry<F>> {
        let entries = self.entries.iter();
        entries.filter(move |entry| is_comparable(entry, now))
    }

    /// Adds a fact unless the set has it; a full set drops the fact that tells least. Returns
    /// whether the fact is new and was kept.
    fn insert_until(&mut self, now: ClockTime, fact: F, expires_at: ClockTime) -> bool {
        let Err(at) = self.find(&fact) else {
            return false;
        };
        let id = FactId::of(&fact);
        self.entries.insert(
            at,
            FactEntry {
                fact,
                id,
                expires_at,
            },
        );
        if self.entries.len() <= FACT_LIMIT {
            return true;
        }
        self.expire(now);
        let is_full = self.entries.len() > FACT_LIMIT;
        let least = (0..self.entries.len())
            .min_by_key(|at| (self.value(*at), self.entries[*at].expires_at));
        match least.filter(|_| is_full) {
            Some(least) => self.entries.remove(least).id != id,
            None => true,
        }
    }

    /// How much the fact at a position tells.
    fn value(&self, at: usize) -> FactValue {
        let fact_at = |at: usize| self.entries.get(at).map(|entry| &entry.fact);
        let before = at.checked_sub(1).and_then(fact_at);
        self.entries[at].fact.value([before, fact_at(at + 1)])
    }

    fn find(&self, fact: &F) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.fact.cmp(fact))
    }
}

/// Whether a fact has enough remaining time to be compared with those of peers.
fn is_comparable<F>(entry: &FactEntry<F>, now: ClockTime) -> bool {
    entry.expires_at - now >= MIN_REMAINING
}
