use std::sync::Arc;

use schema::fleet::{KeyPart, WantedPart};
use smol_str::SmolStr;

use super::parts::HEAD_NAME;
use super::{RevisionStamp, SetSource};
use crate::{HeadManifest, KeySet, KeyText, TextHash};

/// Most bytes of one text; the platform stores values of at most 1 MB.
const TEXT_LIMIT: u64 = 1024 * 1024;

/// A key set that is being collected: the head, and the texts that have arrived so far.
#[derive(Clone, Debug)]
pub struct PendingSet {
    /// Revision of the set.
    pub stamp: RevisionStamp,
    /// Where its keys are read from.
    pub source: SetSource,
    head: Option<Arc<str>>,
    keys: Vec<PendingKey>,
    /// Text received so far of the key that arrives in parts.
    partial: String,
}

/// One key that the head lists; `text` is `None` until it arrives.
#[derive(Clone, Debug)]
struct PendingKey {
    name: SmolStr,
    hash: TextHash,
    text: Option<Arc<str>>,
}

/// Reason why a head or part is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartError {
    /// The part is not the next one of the key that is being received.
    OutOfSequence,
    /// The hash of the text differs from the one in the head, or the head differs from its stamp.
    HashDiffers,
    /// The text is larger than a key may be.
    TooLarge,
    /// The head can't be parsed.
    BadHead,
}

impl PendingSet {
    /// Creates a set without a head and without keys.
    pub fn new(stamp: RevisionStamp, source: SetSource) -> Self {
        Self {
            stamp,
            source,
            head: None,
            keys: Vec::new(),
            partial: String::new(),
        }
    }

    /// Adds the head, and the texts in the sets `known` whose hash it lists.
    pub fn add_head(&mut self, text: Arc<str>, known: &[&KeySet]) -> Result<(), PartError> {
        if TextHash::of(&text).prefix() != self.stamp.head_check {
            return Err(PartError::HashDiffers);
        }
        let manifest = HeadManifest::parse(&text).map_err(|_| PartError::BadHead)?;
        if manifest.epoch != self.stamp.revision.epoch {
            return Err(PartError::HashDiffers);
        }
        let heads: Vec<_> = known
            .iter()
            .filter_map(|set| Some((*set, HeadManifest::parse(set.head()).ok()?)))
            .collect();
        let reuse = |name: &str, hash: TextHash| {
            let (set, _) = heads
                .iter()
                .find(|(_, head)| head.hash(name) == Some(hash))?;
            set.text(name).cloned()
        };
        let keys = manifest.entries.into_iter().map(|entry| PendingKey {
            text: reuse(&entry.name, entry.hash),
            name: entry.name,
            hash: entry.hash,
        });
        self.keys = keys.collect();
        self.head = Some(text);
        Ok(())
    }

    /// Adds a whole text; it is ignored if the head does not list it with this hash.
    pub fn add_text(&mut self, key: &KeyText) {
        let at = self
            .keys
            .binary_search_by(|known| known.name.cmp(&key.name));
        let Ok(at) = at else {
            return;
        };
        let pending = &mut self.keys[at];
        if pending.text.is_none() && TextHash::of(&key.text) == pending.hash {
            pending.text = Some(Arc::clone(&key.text));
        }
    }

    /// Adds the texts that another pending set has received.
    pub fn add_texts_of(&mut self, other: &Self) {
        for key in &other.present_keys() {
            self.add_text(key);
        }
    }

    /// Adds a part that a peer sent.
    pub fn add_part(&mut self, part: &KeyPart, known: &[&KeySet]) -> Result<(), PartError> {
        let next = self.next_name().ok_or(PartError::OutOfSequence)?;
        if part.name != next || part.offset != self.partial.len() as u64 {
            return Err(PartError::OutOfSequence);
        }
        if part.total > TEXT_LIMIT || part.offset + part.text.len() as u64 > part.total {
            return Err(PartError::TooLarge);
        }
        self.partial.push_str(&part.text);
        if (self.partial.len() as u64) < part.total {
            return Ok(());
        }
        let text: Arc<str> = std::mem::take(&mut self.partial).into();
        if self.head.is_none() {
            return self.add_head(text, known);
        }
        self.add_text(&KeyText::new(&part.name, text));
        if self.next_name().is_some_and(|next| next == part.name) {
            return Err(PartError::HashDiffers);
        }
        Ok(())
    }

    /// Returns the parts to request from a peer next, at most `limit` of them.
    pub fn wanted_parts(&self, limit: usize) -> Vec<WantedPart> {
        if self.head.is_none() {
            return vec![self.wanted(HEAD_NAME, self.partial.len())];
        }
        let names = self.missing().take(limit).enumerate();
        names
            .map(|(at, name)| self.wanted(name, if at == 0 { self.partial.len() } else { 0 }))
            .collect()
    }

    fn wanted(&self, name: &str, offset: usize) -> WantedPart {
        WantedPart {
            name: name.to_owned(),
            offset: offset as u64,
        }
    }

    fn next_name(&self) -> Option<SmolStr> {
        if self.head.is_none() {
            return Some(SmolStr::new_static(HEAD_NAME));
        }
        self.missing().next().cloned()
    }

    /// Returns the names of the keys that have not arrived, in order.
    pub fn missing(&self) -> impl Iterator<Item = &SmolStr> {
        let missing = self.keys.iter().filter(|key| key.text.is_none());
        missing.map(|key| &key.name)
    }

    /// Returns the set if all of its keys have arrived.
    pub fn complete_set(&self) -> Option<KeySet> {
        if self.missing().next().is_some() {
            return None;
        }
        Some(KeySet::new(self.head.clone()?, self.present_keys()))
    }

    /// Returns the keys that have arrived as a set of their own, with a head that lists only them.
    ///
    /// Used only if [`MechanismSwitches::atomic`](super::MechanismSwitches::atomic) is off.
    pub fn partial_set(&self) -> Option<KeySet> {
        self.head.as_ref()?;
        let keys = self.present_keys();
        let epoch = self.stamp.revision.epoch;
        Some(KeySet::new(crate::make_head(epoch, &keys), keys))
    }

    fn present_keys(&self) -> Vec<KeyText> {
        let present = self.keys.iter().filter_map(|key| {
            let text = key.text.clone()?;
            Some(KeyText::new(&key.name, text))
        });
        present.collect()
    }
}
