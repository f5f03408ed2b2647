use std::collections::{HashMap, VecDeque};

use base::{ClockTime, TimeSpan};

use crate::{KeyId, PriorUse, ProcessId};

/// Answer of a witness to a home that asks for consent to run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ConsentVerdict {
    /// The witness recorded its consent. The home may still need an inquiry before it runs the key.
    Granted,
    /// The witness consented to another process, which may have run the key; the home must ask
    /// every witness.
    Contested,
    /// The node has not been a witness of the key for long enough to rule out earlier consent; the
    /// home should ask another witness.
    Unsure,
    /// The witness can't remember more keys.
    Full,
    /// By the node list in effect at this node, it is no witness of the key or another node is
    /// home.
    NotWitness,
}

/// Table in which a witness records, for each key, the one process that it consented to.
///
/// A witness consents to a single process: the first that asks. This is decided locally at the
/// witness, so no clock is needed to order the requests of two homes.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use calls::{ConsentTable, ConsentVerdict, KeyId, ProcessId};
/// let mut table = ConsentTable::new(100, TimeSpan::from_secs(60));
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let old = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(1));
/// let new = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(2));
/// assert_eq!(table.consent(ClockTime::ZERO, key, &old), ConsentVerdict::Granted);
/// assert_eq!(table.consent(ClockTime::ZERO, key, &new), ConsentVerdict::Contested);
/// ```
#[derive(Clone, Debug)]
pub struct ConsentTable {
    limit: usize,
    lifetime: TimeSpan,
    holders: HashMap<KeyId, ProcessId>,
    expiries: VecDeque<(ClockTime, KeyId)>,
}

impl ConsentTable {
    /// Creates a table of at most `limit` keys, each kept for `lifetime`.
    pub fn new(limit: usize, lifetime: TimeSpan) -> Self {
        Self {
            limit,
            lifetime,
            holders: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Consents that `home` runs `key`, unless another process has the consent already.
    pub fn consent(&mut self, now: ClockTime, key: KeyId, home: &ProcessId) -> ConsentVerdict {
        self.expire(now);
        match self.holders.get(&key) {
            Some(holder) if holder == home => ConsentVerdict::Granted,
            Some(_) => ConsentVerdict::Contested,
            None if self.holders.len() >= self.limit => ConsentVerdict::Full,
            None => {
                self.holders.insert(key, home.clone());
                self.expiries.push_back((now + self.lifetime, key));
                ConsentVerdict::Granted
            }
        }
    }

    /// Answers an inquiry of `asker`; `Unseen` records consent to `asker` as well.
    pub fn answer_inquiry(&mut self, now: ClockTime, key: KeyId, asker: &ProcessId) -> PriorUse {
        match self.consent(now, key, asker) {
            ConsentVerdict::Granted => PriorUse::Unseen,
            ConsentVerdict::Contested => PriorUse::Seen,
            _ => PriorUse::Unsure,
        }
    }

    /// Forgets keys whose lifetime is over.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((at, key)) = self.expiries.front() {
            if *at > now {
                return;
            }
            self.holders.remove(key);
            self.expiries.pop_front();
        }
    }
}
