use std::collections::{HashMap, VecDeque};

use base::{ClockTime, TimeSpan};

use crate::{KeyId, KeyTrace, OwnerId};

/// Answer of a witness to a process that wants to run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ConsentVerdict {
    /// Noted; the home may run the key if nothing else stands against it.
    Granted,
    /// Another process may have run the key; the home must ask every witness.
    Contested,
    /// This node has not been a witness for long enough to know of earlier consent; ask another.
    Unsure,
    /// No more keys can be remembered.
    Full,
    /// By this node's list it is no witness of the key, or the home is another one.
    NotWitness,
}

/// What a witness remembers: for each key the one process that may run it.
///
/// Consent is given to a single process, and a local step decides which one comes first, so that
/// no clock is needed to keep two homes apart.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use calls::{ConsentLog, ConsentVerdict, KeyId, OwnerId};
/// let mut log = ConsentLog::new(100, TimeSpan::from_secs(60));
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let old = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(1));
/// let new = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(2));
/// assert_eq!(log.consent(ClockTime::ZERO, key, &old), ConsentVerdict::Granted);
/// assert_eq!(log.consent(ClockTime::ZERO, key, &new), ConsentVerdict::Contested);
/// ```
#[derive(Clone, Debug)]
pub struct ConsentLog {
    limit: usize,
    lifetime: TimeSpan,
    holders: HashMap<KeyId, OwnerId>,
    expiries: VecDeque<(ClockTime, KeyId)>,
}

impl ConsentLog {
    /// Creates a log of at most `limit` keys, each kept for `lifetime`.
    pub fn new(limit: usize, lifetime: TimeSpan) -> Self {
        Self {
            limit,
            lifetime,
            holders: HashMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Grants `key` to `home`, unless another process holds it.
    pub fn consent(&mut self, now: ClockTime, key: KeyId, home: &OwnerId) -> ConsentVerdict {
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

    /// Answers an inquiry; `Unseen` grants the key to `asker`.
    pub fn trace(&mut self, now: ClockTime, key: KeyId, asker: &OwnerId) -> KeyTrace {
        match self.consent(now, key, asker) {
            ConsentVerdict::Granted => KeyTrace::Unseen,
            ConsentVerdict::Contested => KeyTrace::Seen,
            _ => KeyTrace::Unsure,
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
