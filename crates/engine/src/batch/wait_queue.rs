use std::collections::BTreeMap;

use base::{GenerationId, RequestId};

use super::SequenceState;
use crate::EnginePriority;

/// Waiting sequences ordered by priority, then by arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    sequences: BTreeMap<(u8, u64), SequenceState>,
}

impl WaitQueue {
    /// Number of sequences.
    pub fn len(&self) -> usize {
        self.sequences.len()
    }

    /// Adds a sequence.
    pub fn push(&mut self, sequence: SequenceState) {
        self.sequences.insert(sequence.scheduling_key(), sequence);
    }

    /// The sequence to run next.
    pub fn first(&self) -> Option<&SequenceState> {
        self.sequences
            .first_key_value()
            .map(|(_, sequence)| sequence)
    }

    /// Removes and returns the sequence to run next.
    pub fn pop_first(&mut self) -> Option<SequenceState> {
        self.sequences.pop_first().map(|(_, sequence)| sequence)
    }

    /// Removes and returns the sequence of a request.
    pub fn remove(&mut self, request: &RequestId) -> Option<SequenceState> {
        let sequence = self
            .iter()
            .find(|sequence| &sequence.request.id == request)?;
        let key = sequence.scheduling_key();
        self.sequences.remove(&key)
    }

    /// Returns the sequence of a generation.
    pub fn find(&self, generation: &GenerationId) -> Option<&SequenceState> {
        self.iter()
            .find(|sequence| &sequence.generation == generation)
    }

    /// Changes the priority of a request; false if the request is not in the queue.
    pub fn set_priority(&mut self, request: &RequestId, priority: EnginePriority) -> bool {
        let Some(mut sequence) = self.remove(request) else {
            return false;
        };
        sequence.request.priority = priority;
        self.push(sequence);
        true
    }

    /// Iterates over the sequences in the order in which they will run.
    pub fn iter(&self) -> impl Iterator<Item = &SequenceState> {
        self.sequences.values()
    }
}
