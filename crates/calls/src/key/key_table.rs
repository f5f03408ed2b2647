use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use base::{ClockTime, RanState, TimeSpan};

use crate::{BodyHash, CallOutcome, KeyId, KeyInquiry, OwnerId, RetainedAnswer};

/// State of one key at its home.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// An inquiry decides whether it may run.
    Inquiring(BodyHash, KeyInquiry),
    /// It runs.
    InFlight(BodyHash),
    /// It ended with this answer.
    Answered(BodyHash, Arc<RetainedAnswer>),
    /// It ended and there is no answer.
    Finished(BodyHash, RanState),
    /// It certainly did not run; a resend may.
    Released(BodyHash),
    /// Only this process may run it.
    Given(OwnerId),
}

/// Keys of a home, bounded in number and bytes.
#[derive(Clone, Debug)]
pub(super) struct KeyTable {
    limit: usize,
    byte_limit: usize,
    lifetime: TimeSpan,
    states: HashMap<KeyId, (ClockTime, KeyState)>,
    /// Every key by its expiry.
    expiries: BTreeSet<(ClockTime, KeyId)>,
    /// Keys with a retained answer by their expiry.
    answers: BTreeSet<(ClockTime, KeyId)>,
    answer_bytes: usize,
}

impl KeyTable {
    pub fn new(limit: usize, byte_limit: usize, lifetime: TimeSpan) -> Self {
        Self {
            limit,
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
        if self.states.len() >= self.limit {
            return false;
        }
        let expiry = now + self.lifetime;
        self.states.insert(key, (expiry, state));
        self.expiries.insert((expiry, key));
        true
    }

    /// Forgets a key that certainly was not run here.
    pub fn remove(&mut self, key: KeyId) {
        self.drop_answer(key);
        if let Some((expiry, _)) = self.states.remove(&key) {
            self.expiries.remove(&(expiry, key));
        }
    }

    pub fn finish(&mut self, key: KeyId, outcome: CallOutcome) {
        let Some((expiry, state)) = self.states.get_mut(&key) else {
            return;
        };
        let KeyState::InFlight(body) = *state else {
            return;
        };
        *state = match outcome {
            CallOutcome::NotRun => KeyState::Released(body),
            CallOutcome::Unanswered(ran) => KeyState::Finished(body, ran),
            CallOutcome::Answered(answer) if answer.body.len() > self.byte_limit => {
                KeyState::Finished(body, RanState::Yes)
            }
            CallOutcome::Answered(answer) => {
                self.answer_bytes += answer.body.len();
                self.answers.insert((*expiry, key));
                KeyState::Answered(body, answer)
            }
        };
        while self.answer_bytes > self.byte_limit {
            let Some((_, oldest)) = self.answers.first().copied() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    /// Forgets keys whose lifetime is over; one that is in flight gets another lifetime.
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

    /// Drops a retained answer; that the key ran is not forgotten.
    fn drop_answer(&mut self, key: KeyId) {
        let Some((expiry, state)) = self.states.get_mut(&key) else {
            return;
        };
        let KeyState::Answered(body, answer) = state else {
            return;
        };
        self.answer_bytes -= answer.body.len();
        self.answers.remove(&(*expiry, key));
        *state = KeyState::Finished(*body, RanState::Yes);
    }
}
