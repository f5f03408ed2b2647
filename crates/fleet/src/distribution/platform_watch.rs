use base::{ClockTime, TimeSpan};
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use super::call_budget::CallBudget;
use super::retry_backoff::RetryBackoff;
use super::{ReadScope, RevisionAction, RevisionSettings};

/// One platform call in flight.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    call: u64,
    sent_at: ClockTime,
    timeout: TimeSpan,
}

/// Schedules the platform calls of this node: reads and watches of `head`, and reads of other keys.
///
/// A watch is a read that the platform answers once `head` changes or the wait is over. At most one
/// call of each kind is in flight.
#[derive(Clone, Debug)]
pub struct PlatformWatch {
    budget: CallBudget,
    head_backoff: RetryBackoff,
    key_read_backoff: RetryBackoff,
    watch_wait: TimeSpan,
    watch_grace: TimeSpan,
    read_timeout: TimeSpan,
    single_read_limit: usize,
    is_reader: bool,
    head_read_requested: bool,
    head_call: Option<OpenCall>,
    key_call: Option<OpenCall>,
    next_head_read_at: ClockTime,
    next_key_read_at: ClockTime,
    index: u64,
    is_unreachable: bool,
    last_call: u64,
    calls_made: u64,
}

impl PlatformWatch {
    /// Creates a watch for a node that is no reader.
    pub fn new(settings: &RevisionSettings) -> Self {
        let least = settings.backoff_min;
        Self {
            budget: CallBudget::new(settings.calls_per_second, settings.call_burst),
            head_backoff: RetryBackoff::new(least, settings.backoff_max),
            key_read_backoff: RetryBackoff::new(least, settings.incomplete_backoff_max),
            watch_wait: settings.watch_wait,
            watch_grace: settings.watch_grace,
            read_timeout: settings.read_timeout,
            single_read_limit: settings.single_read_limit,
            is_reader: false,
            head_read_requested: false,
            head_call: None,
            key_call: None,
            next_head_read_at: ClockTime::ZERO,
            next_key_read_at: ClockTime::ZERO,
            index: 0,
            is_unreachable: false,
            last_call: 0,
            calls_made: 0,
        }
    }

    /// Returns whether this node is a reader, which watches the platform.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns whether the last call failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the number of calls made so far.
    pub fn calls(&self) -> u64 {
        self.calls_made
    }

    /// Starts watching if this node became a reader, or stops if it no longer is one.
    pub fn set_reader(&mut self, is_reader: bool, actions: &mut Vec<RevisionAction>) {
        if self.is_reader == is_reader {
            return;
        }
        self.is_reader = is_reader;
        self.index = 0;
        if !is_reader {
            self.cancel_calls(actions);
            self.is_unreachable = false;
        }
    }

    /// Requests one read of `head` at a node that is no reader.
    pub fn request_head_read(&mut self) {
        self.head_read_requested = true;
    }

    /// Cancels all calls, whose answers may be outdated after a pause, and reads `head` again.
    pub fn restart(&mut self, actions: &mut Vec<RevisionAction>) {
        self.cancel_calls(actions);
        self.index = 0;
        self.head_backoff.reset();
        self.next_head_read_at = ClockTime::ZERO;
    }

    fn cancel_calls(&mut self, actions: &mut Vec<RevisionAction>) {
        let open = [self.head_call.take(), self.key_call.take()];
        for call in open.into_iter().flatten() {
            actions.push(RevisionAction::CancelCall { call: call.call });
        }
    }

    /// Starts the next read or watch of `head` if one is due and the budget allows it.
    pub fn start_head_read(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        let is_wanted = self.is_reader || self.head_read_requested;
        if !is_wanted || self.head_call.is_some() || now < self.next_head_read_at {
            return;
        }
        if !self.budget.take(now, 1) {
            return;
        }
        let index = if self.is_reader { self.index } else { 0 };
        let wait = match index {
            0 => TimeSpan::ZERO,
            _ => self.watch_wait,
        };
        let timeout = match index {
            0 => self.read_timeout,
            _ => wait + self.watch_grace,
        };
        let call = self.open(now, timeout, 1);
        self.head_call = Some(call);
        let call = call.call;
        actions.push(RevisionAction::ReadHead { call, index, wait });
    }

    /// Reads the missing keys of a pending set if the budget allows it.
    pub fn start_key_read(
        &mut self,
        now: ClockTime,
        missing: Vec<SmolStr>,
        actions: &mut Vec<RevisionAction>,
    ) {
        if missing.is_empty() || self.key_call.is_some() || now < self.next_key_read_at {
            return;
        }
        let (scope, calls) = match missing.len() {
            count if count <= self.single_read_limit => (ReadScope::Keys(missing), count as u64),
            _ => (ReadScope::All, 1),
        };
        if !self.budget.take(now, calls) {
            return;
        }
        let call = self.open(now, self.read_timeout, calls);
        self.key_call = Some(call);
        let call = call.call;
        actions.push(RevisionAction::ReadKeys { call, scope });
    }

    fn open(&mut self, now: ClockTime, timeout: TimeSpan, calls: u64) -> OpenCall {
        self.last_call += 1;
        self.calls_made += calls;
        OpenCall {
            call: self.last_call,
            sent_at: now,
            timeout,
        }
    }

    /// Records the answer to a read of `head`; returns false if that read is not in flight.
    pub fn on_head_answer(
        &mut self,
        call: u64,
        index: u64,
        actions: &mut Vec<RevisionAction>,
    ) -> bool {
        if self.head_call.is_none_or(|open| open.call != call) {
            return false;
        }
        self.head_call = None;
        self.head_read_requested = false;
        // The index decreases if the platform lost state. Consul then requires a restart from 0.
        self.index = if index < self.index { 0 } else { index };
        self.record_success(actions);
        true
    }

    /// Records the answer to a read of keys; returns false if that read is not in flight.
    pub fn on_keys_answer(&mut self, call: u64, actions: &mut Vec<RevisionAction>) -> bool {
        if self.key_call.is_none_or(|open| open.call != call) {
            return false;
        }
        self.key_call = None;
        self.record_success(actions);
        true
    }

    fn record_success(&mut self, actions: &mut Vec<RevisionAction>) {
        self.head_backoff.reset();
        if std::mem::take(&mut self.is_unreachable) {
            actions.push(RevisionAction::PlatformFound);
        }
    }

    /// Delays the next read of keys after one that failed or did not complete the set.
    pub fn delay_key_read(&mut self, now: ClockTime, rng: &mut Pcg64Mcg) {
        self.next_key_read_at = now + self.key_read_backoff.next_delay(rng);
    }

    /// Cancels the read of keys in flight and allows the next one at once, as for a new head.
    pub fn reset_key_reads(&mut self, actions: &mut Vec<RevisionAction>) {
        self.key_read_backoff.reset();
        self.next_key_read_at = ClockTime::ZERO;
        if let Some(open) = self.key_call.take() {
            actions.push(RevisionAction::CancelCall { call: open.call });
        }
    }

    /// Records that a call failed and delays the next one.
    pub fn on_failure(
        &mut self,
        now: ClockTime,
        call: u64,
        rng: &mut Pcg64Mcg,
        actions: &mut Vec<RevisionAction>,
    ) {
        let is_call = |open: &Option<OpenCall>| open.is_some_and(|open| open.call == call);
        if is_call(&self.head_call) {
            self.head_call = None;
            self.head_read_requested = false;
            self.next_head_read_at = now + self.head_backoff.next_delay(rng);
        } else if is_call(&self.key_call) {
            self.key_call = None;
            self.delay_key_read(now, rng);
        } else {
            return;
        }
        if !std::mem::replace(&mut self.is_unreachable, true) {
            actions.push(RevisionAction::PlatformLost);
        }
    }

    /// Cancels calls that are not answered within their timeout, and records them as failed.
    pub fn expire(
        &mut self,
        now: ClockTime,
        rng: &mut Pcg64Mcg,
        actions: &mut Vec<RevisionAction>,
    ) {
        let open = [self.head_call, self.key_call];
        let is_late = |open: &OpenCall| now - open.sent_at >= open.timeout;
        for late in open.into_iter().flatten().filter(is_late) {
            actions.push(RevisionAction::CancelCall { call: late.call });
            self.on_failure(now, late.call, rng, actions);
        }
    }
}
