use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use base::{ClockTime, RanState, TimeSpan};

use crate::{CallOutcome, KeyId, KeyInquiry, ProcessId, RequestHash, RetainedAnswer};

/// State of one key at its home.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// The request waits for an inquiry to decide whether it may run.
    Inquiring(RequestHash, KeyInquiry),
    /// The request is running.
    InFlight(RequestHash),
    /// The request ended with this answer.
    Answered(RequestHash, Arc<RetainedAnswer>),
    /// The request ended and no answer is retained.
    Finished(RequestHash, RanState),
    /// The request certainly did not run; a resend may run it.
    NotRun(RequestHash),
    /// The key was handed over; only this process may run it.
    HandedOver(ProcessId),
}

/// States of the keys at one process, limited in number and in bytes of retained answers.
#[derive(Clone, Debug)]
pub(super) struct KeyTable {
    key_limit: usize,
    byte_limit: usize,
    lifetime: TimeSpan,
    states: HashMap<KeyId, (ClockTime, KeyState)>,
    /// All keys, ordered by expiry.
    expiries: BTreeSet<(ClockTime, KeyId)>,
    /// Keys with a retained answer, ordered by expiry.
    answers: BTreeSet<(ClockTime, KeyId)>,
    answer_bytes: usize,
}

impl KeyTable {
    pub fn new(key_limit: usize, byte_limit: usize, lifetime: TimeSpan) -> Self {
        Self {
            key_limit,
            byte_limit,
            lifetime,
            states: HashMap::new(),
            expiries: BTreeSet::new(),
            answers: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.states.len()
    }

    pub fn get(&self, key: KeyId) -> Option<&KeyState> {
        self.states.get(&key).map(|(_, state)| state)
    }

    pub fn get_mut(&mut self, key: KeyId) -> Option<&mut KeyState> {
        self.states.get_mut(&key).map(|(_, state)| state)
    }

    /// Inserts a new key; `false` if the table is full.
    pub fn insert(&mut self, now: ClockTime, key: KeyId, state: KeyState) -> bool {
        if self.states.len() >= self.key_limit {
            return false;
        }
        let expiry = now + self.lifetime;
        self.states.insert(key, (expiry, state));
        self.expiries.insert((expiry, key));
        true
    }

    /// Forgets a key, either expired or certainly not run by this process.
    pub fn remove(&mut self, key: KeyId) {
        self.evict_answer(key);
        if let Some((expiry, _)) = self.states.remove(&key) {
            self.expiries.remove(&(expiry, key));
        }
    }

    /// Records how the request under `key` ended; does nothing unless it is in flight.
    pub fn finish(&mut self, key: KeyId, outcome: CallOutcome) {
        let Some((expiry, state)) = self.states.get_mut(&key) else {
            return;
        };
        let KeyState::InFlight(request) = *state else {
            return;
        };
        *state = match outcome {
            CallOutcome::NotRun => KeyState::NotRun(request),
            CallOutcome::Unanswered(ran) => KeyState::Finished(request, ran),
            CallOutcome::Answered(answer) if answer.body.len() > self.byte_limit => {
                KeyState::Finished(request, RanState::Yes)
            }
            CallOutcome::Answered(answer) => {
                self.answer_bytes += answer.body.len();
                self.answers.insert((*expiry, key));
                KeyState::Answered(request, answer)
            }
        };
        while self.answer_bytes > self.byte_limit {
            let Some((_, oldest)) = self.answers.first().copied() else {
                return;
            };
            self.evict_answer(oldest);
        }
    }

    /// Forgets keys whose lifetime is over; a key in flight is kept for another lifetime.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some((at, key)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            let state = self.states.get_mut(&key);
            match state {
                Some((expiry, KeyState::InFlight(_))) => {
                    *expiry = now + self.lifetime;
                    self.expiries.remove(&(at, key));
                    self.expiries.insert((*expiry, key));
                }
                _ => self.remove(key),
            }
        }
    }

    /// Removes a retained answer; that the key ran stays recorded.
    fn evict_answer(&mut self, key: KeyId) {
        let Some((expiry, state)) = self.states.get_mut(&key) else {
            return;
        };
        let KeyState::Answered(request, answer) = state else {
            return;
        };
        self.answer_bytes -= answer.body.len();
        self.answers.remove(&(*expiry, key));
        *state = KeyState::Finished(*request, RanState::Yes);
    }
}
