use std::collections::BTreeMap;

use base::{GenerationId, RequestId};

use super::SequenceState;
use crate::EnginePriority;

/// Waiting sequences in the order of priority, then age.
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
        self.sequences.insert(sequence.rank(), sequence);
    }

    /// The sequence to run next.
    pub fn first(&self) -> Option<&SequenceState> {
        self.sequences
            .first_key_value()
            .map(|(_, sequence)| sequence)
    }

    /// Takes out the sequence to run next.
    pub fn pop_first(&mut self) -> Option<SequenceState> {
        self.sequences.pop_first().map(|(_, sequence)| sequence)
    }

    /// Takes out the sequence of a request.
    pub fn remove(&mut self, request: &RequestId) -> Option<SequenceState> {
        let sequence = self
            .iter()
            .find(|sequence| &sequence.request.id == request)?;
        let rank = sequence.rank();
        self.sequences.remove(&rank)
    }

    /// Finds the sequence of a generation.
    pub fn find(&self, generation: &GenerationId) -> Option<&SequenceState> {
        self.iter()
            .find(|sequence| &sequence.generation == generation)
    }

    /// Changes the priority of a request; false if it doesn't wait.
    pub fn set_priority(&mut self, request: &RequestId, priority: EnginePriority) -> bool {
        let Some(mut sequence) = self.remove(request) else {
            return false;
        };
        sequence.request.priority = priority;
        self.push(sequence);
        true
    }

    /// The sequences in their order.
    pub fn iter(&self) -> impl Iterator<Item = &SequenceState> {
        self.sequences.values()
    }
}
