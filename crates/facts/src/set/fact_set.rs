use base::{ClockTime, TimeSpan};

use super::{FactId, SharedFact, ToldFact};

/// Facts known at most; beyond it, those that end first are forgotten.
const FACT_LIMIT: usize = 512;
/// Facts with less time left are neither compared nor taken: nodes forget them at slightly different
/// moments, and would tell one another for ever.
const LEAST_LEFT: TimeSpan = TimeSpan::from_secs(2);

#[derive(Clone, Debug)]
struct FactEntry<F> {
    fact: F,
    id: FactId,
    expiry: ClockTime,
}

/// Bounded set of facts with a lifetime.
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
/// assert!(here.learn(now, Closed(7)));
/// assert!(!here.learn(now, Closed(7)));
/// for told in here.recent(now, 10) {
///     there.take(now, told);
/// }
/// assert!(there.contains(&Closed(7)));
/// ```
#[derive(Clone, Debug)]
pub struct FactSet<F> {
    /// Sorted by fact.
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
    /// Facts known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fact is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a fact is known.
    pub fn contains(&self, fact: &F) -> bool {
        self.find(fact).is_ok()
    }

    /// Takes a fact that this node found out; returns whether it is new.
    pub fn learn(&mut self, now: ClockTime, fact: F) -> bool {
        let expiry = now + fact.lifetime();
        self.insert(now, fact, expiry)
    }

    /// Takes a fact that a peer told; returns whether it is new.
    ///
    /// A known fact keeps its end, so that facts told in circles end.
    pub fn take(&mut self, now: ClockTime, told: ToldFact<F>) -> bool {
        if told.left < LEAST_LEFT {
            return false;
        }
        let left = told.left.min(told.fact.lifetime());
        self.insert(now, told.fact, now + left)
    }

    /// Forgets facts that are over.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|entry| entry.expiry > now);
    }

    /// Facts after those that `is_before` picks, which all come first in their order, with the time
    /// for which they still hold.
    pub fn after(
        &self,
        now: ClockTime,
        is_before: impl Fn(&F) -> bool,
    ) -> impl Iterator<Item = (&F, TimeSpan)> {
        let at = self.entries.partition_point(|entry| is_before(&entry.fact));
        let entries = self.entries[at..].iter();
        let holding = entries.filter(move |entry| entry.expiry > now);
        holding.map(move |entry| (&entry.fact, entry.expiry - now))
    }

    /// All facts, sorted.
    pub fn facts(&self) -> impl Iterator<Item = &F> {
        self.entries.iter().map(|entry| &entry.fact)
    }

    /// Facts to tell, latest end first, at most `most`.
    pub fn recent(&self, now: ClockTime, most: usize) -> Vec<ToldFact<F>> {
        self.tell(now, most, |_| true)
    }

    /// Facts to tell that `wants` picks by their identifier, latest end first, at most `most`.
    pub(crate) fn tell(
        &self,
        now: ClockTime,
        most: usize,
        wants: impl Fn(FactId) -> bool,
    ) -> Vec<ToldFact<F>> {
        let entries = self.comparable(now).filter(|entry| wants(entry.id));
        let mut told: Vec<_> = entries.collect();
        told.sort_by_key(|entry| std::cmp::Reverse(entry.expiry));
        let told = told.into_iter().take(most);
        told.map(|entry| ToldFact {
            fact: entry.fact.clone(),
            left: entry.expiry - now,
        })
        .collect()
    }

    /// Identifiers of the facts that are compared, with their ends.
    pub(crate) fn ids(&self, now: ClockTime) -> impl Iterator<Item = (FactId, ClockTime)> {
        self.comparable(now).map(|entry| (entry.id, entry.expiry))
    }

    fn comparable(&self, now: ClockTime) -> impl Iterator<Item = &FactEntry<F>> {
        let entries = self.entries.iter();
        entries.filter(move |entry| entry.expiry - now >= LEAST_LEFT)
    }

    fn insert(&mut self, now: ClockTime, fact: F, expiry: ClockTime) -> bool {
        let Err(at) = self.find(&fact) else {
            return false;
        };
        let id = FactId::of(&fact);
        self.entries.insert(at, FactEntry { fact, id, expiry });
        if self.entries.len() <= FACT_LIMIT {
            return true;
        }
        self.expire(now);
        let over = self.entries.len() > FACT_LIMIT;
        let first = (0..self.entries.len()).min_by_key(|at| self.entries[*at].expiry);
        match first.filter(|_| over) {
            Some(first) => self.entries.remove(first).id != id,
            None => true,
        }
    }

    fn find(&self, fact: &F) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.fact.cmp(fact))
    }
}
