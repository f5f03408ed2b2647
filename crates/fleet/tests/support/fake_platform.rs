use std::collections::BTreeMap;
use std::sync::Arc;

use fleet::{
    KeySet, KeyText, PlatformHead, PlatformHeadAnswer, ReadScope, RevisionStamp, make_head,
};

/// One state of the configuration service.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    pub index: u64,
    pub values: BTreeMap<String, (Arc<str>, u64)>,
}

impl PlatformState {
    /// Writes a key and increases the index, unless the key has this value already.
    pub fn write(&mut self, name: &str, text: &str) {
        if self.values.get(name).is_some_and(|(old, _)| **old == *text) {
            return;
        }
        self.index += 1;
        self.values
            .insert(name.to_owned(), (Arc::from(text), self.index));
    }

    pub fn head(&self) -> PlatformHeadAnswer {
        let head = self.values.get("head").map(|(text, index)| PlatformHead {
            modify_index: *index,
            text: Arc::clone(text),
        });
        PlatformHeadAnswer {
            index: head.as_ref().map_or(1, |head| head.modify_index),
            head,
        }
    }

    pub fn read(&self, scope: &ReadScope) -> Vec<KeyText> {
        let wanted = |name: &str| match scope {
            ReadScope::Keys(names) => names.iter().any(|known| known == name),
            ReadScope::All => name != "head",
        };
        let found = self.values.iter().filter(|(name, _)| wanted(name));
        found
            .map(|(name, (text, _))| KeyText::new(name, Arc::clone(text)))
            .collect()
    }

    pub fn stamp(&self) -> Option<RevisionStamp> {
        let head = self.head().head?;
        RevisionStamp::of_head(&head.text, head.modify_index)
    }
}

/// A watch of `head` that waits for a change.
#[derive(Clone, Copy, Debug)]
pub struct FakeWatch {
    pub node: usize,
    pub incarnation: u32,
    pub call: u64,
    pub index: u64,
}

/// Simulated configuration service with faults to inject.
#[derive(Clone, Debug, Default)]
pub struct FakePlatform {
    pub state: PlatformState,
    /// Old state that a stale replica returns, and the domains that it answers.
    pub stale: Option<(PlatformState, Vec<usize>)>,
    pub is_down: bool,
    pub watches: Vec<FakeWatch>,
    pub calls: u64,
}

impl FakePlatform {
    /// Writes the keys and then the head; returns the stamp of the new revision.
    pub fn publish(&mut self, epoch: u64, keys: &[KeyText]) -> RevisionStamp {
        for key in keys {
            self.state.write(&key.name, &key.text);
        }
        self.state.write("head", &make_head(epoch, keys));
        self.state.stamp().unwrap()
    }

    /// Returns the state that nodes of `domain` read.
    pub fn seen_by(&self, domain: usize) -> &PlatformState {
        match &self.stale {
            Some((state, domains)) if domains.contains(&domain) => state,
            _ => &self.state,
        }
    }

    /// Returns all keys of the newest state.
    pub fn key_set(&self) -> KeySet {
        let head = self.state.head().head.unwrap();
        KeySet::new(head.text, self.state.read(&ReadScope::All))
    }
}
