use std::sync::Arc;

use schema::fleet::{KeyPart, WantedPart};
use smol_str::SmolStr;

use super::parts::HEAD_NAME;
use super::{RevisionStamp, SetSource};
use crate::{HeadFile, KeySet, KeyText, TextHash};

/// The platform stores values of at most 1 MB.
const TEXT_LIMIT: u64 = 1024 * 1024;

/// A key set while its keys arrive.
#[derive(Clone, Debug)]
pub struct PendingSet {
    /// Revision of the set.
    pub stamp: RevisionStamp,
    /// Where its keys come from.
    pub source: SetSource,
    head: Option<Arc<str>>,
    keys: Vec<PendingKey>,
    /// The text of the key that is arriving in parts.
    partial: String,
}

#[derive(Clone, Debug)]
struct PendingKey {
    name: SmolStr,
    hash: TextHash,
    text: Option<Arc<str>>,
}

/// Why a part was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartFault {
    /// The part does not continue what is there.
    OutOfPlace,
    /// The whole text does not have the listed hash, or the head not the check of its stamp.
    HashDiffers,
    /// The text is larger than any key may be.
    TooLarge,
    /// The head can't be parsed.
    BadHead,
}

impl PendingSet {
    /// Creates a set of which nothing is there.
    pub fn new(stamp: RevisionStamp, source: SetSource) -> Self {
        Self {
            stamp,
            source,
            head: None,
            keys: Vec::new(),
            partial: String::new(),
        }
    }

    /// Takes the head and reuses those texts of `known` that did not change.
    pub fn take_head(&mut self, text: Arc<str>, known: &[&KeySet]) -> Result<(), PartFault> {
        if TextHash::of(&text).short() != self.stamp.head_check {
            return Err(PartFault::HashDiffers);
        }
        let file = HeadFile::parse(&text).map_err(|_| PartFault::BadHead)?;
        if file.epoch != self.stamp.revision.epoch {
            return Err(PartFault::HashDiffers);
        }
        let heads: Vec<_> = known
            .iter()
            .filter_map(|set| Some((*set, HeadFile::parse(set.head()).ok()?)))
            .collect();
        let reuse = |name: &str, hash: TextHash| {
            let (set, _) = heads
                .iter()
                .find(|(_, head)| head.hash(name) == Some(hash))?;
            set.text(name).cloned()
        };
        let keys = file.entries.into_iter().map(|entry| PendingKey {
            text: reuse(&entry.name, entry.hash),
            name: entry.name,
            hash: entry.hash,
        });
        self.keys = keys.collect();
        self.head = Some(text);
        Ok(())
    }

    /// Takes a whole text; one with another hash than listed is left out.
    pub fn take_text(&mut self, key: &KeyText) {
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

    /// Takes the texts that another set of pending keys has already.
    pub fn take_texts_of(&mut self, other: &Self) {
        for key in &other.present_keys() {
            self.take_text(key);
        }
    }

    /// Takes a part from a peer.
    pub fn take_part(&mut self, part: &KeyPart, known: &[&KeySet]) -> Result<(), PartFault> {
        let next = self.next_name().ok_or(PartFault::OutOfPlace)?;
        if part.name != next || part.offset != self.partial.len() as u64 {
            return Err(PartFault::OutOfPlace);
        }
        if part.total > TEXT_LIMIT || part.offset + part.text.len() as u64 > part.total {
            return Err(PartFault::TooLarge);
        }
        self.partial.push_str(&part.text);
        if (self.partial.len() as u64) < part.total {
            return Ok(());
        }
        let text: Arc<str> = std::mem::take(&mut self.partial).into();
        if self.head.is_none() {
            return self.take_head(text, known);
        }
        self.take_text(&KeyText::new(&part.name, text));
        if self.next_name().is_some_and(|next| next == part.name) {
            return Err(PartFault::HashDiffers);
        }
        Ok(())
    }

    /// The parts to ask a peer for next, at most `limit`.
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

    /// Keys that are not there yet, in the order of their names.
    pub fn missing(&self) -> impl Iterator<Item = &SmolStr> {
        let missing = self.keys.iter().filter(|key| key.text.is_none());
        missing.map(|key| &key.name)
    }

    /// Returns the set once all keys are there.
    pub fn complete_set(&self) -> Option<KeySet> {
        if self.missing().next().is_some() {
            return None;
        }
        Some(KeySet::new(self.head.clone()?, self.present_keys()))
    }

    /// Returns the keys that are there as if they were the whole set.
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
