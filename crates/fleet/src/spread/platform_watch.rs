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

/// The platform calls of this node: the watch of `head` and reads of other keys.
#[derive(Clone, Debug)]
pub struct PlatformWatch {
    budget: CallBudget,
    backoff: RetryBackoff,
    read_backoff: RetryBackoff,
    wait: TimeSpan,
    grace: TimeSpan,
    read_timeout: TimeSpan,
    single_reads: usize,
    is_reader: bool,
    check_wanted: bool,
    head_call: Option<OpenCall>,
    key_call: Option<OpenCall>,
    retry_at: ClockTime,
    read_at: ClockTime,
    index: u64,
    is_lost: bool,
    next_call: u64,
    calls: u64,
}

impl PlatformWatch {
    /// Creates a watch that is off.
    pub fn new(settings: &RevisionSettings) -> Self {
        let least = settings.backoff_least;
        Self {
            budget: CallBudget::new(settings.calls_per_second, settings.call_burst),
            backoff: RetryBackoff::new(least, settings.backoff_most),
            read_backoff: RetryBackoff::new(least, settings.incomplete_backoff_most),
            wait: settings.watch_wait,
            grace: settings.watch_grace,
            read_timeout: settings.read_timeout,
            single_reads: settings.single_reads,
            is_reader: false,
            check_wanted: false,
            head_call: None,
            key_call: None,
            retry_at: ClockTime::ZERO,
            read_at: ClockTime::ZERO,
            index: 0,
            is_lost: false,
            next_call: 0,
            calls: 0,
        }
    }

    /// Whether this node watches the platform.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Starts or stops watching.
    pub fn set_reader(&mut self, is_reader: bool, actions: &mut Vec<RevisionAction>) {
        if self.is_reader == is_reader {
            return;
        }
        self.is_reader = is_reader;
        self.index = 0;
        if !is_reader {
            self.stop_calls(actions);
            self.is_lost = false;
        }
    }

    /// Asks for one read of `head`, which a node makes that is no reader.
    pub fn want_check(&mut self) {
        self.check_wanted = true;
    }

    /// Gives up all calls, since their answers may be old, and reads `head` afresh.
    pub fn restart(&mut self, actions: &mut Vec<RevisionAction>) {
        self.stop_calls(actions);
        self.index = 0;
        self.backoff.reset();
        self.retry_at = ClockTime::ZERO;
    }

    fn stop_calls(&mut self, actions: &mut Vec<RevisionAction>) {
        let open = [self.head_call.take(), self.key_call.take()];
        for call in open.into_iter().flatten() {
            actions.push(RevisionAction::StopCall { call: call.call });
        }
    }

    /// Starts the next read of `head` if one is due and the budget allows it.
    pub fn start_head(&mut self, now: ClockTime, actions: &mut Vec<RevisionAction>) {
        let is_wanted = self.is_reader || self.check_wanted;
        if !is_wanted || self.head_call.is_some() || now < self.retry_at {
            return;
        }
        if !self.budget.take(now, 1) {
            return;
        }
        let index = if self.is_reader { self.index } else { 0 };
        let timeout = match index {
            0 => self.read_timeout,
            _ => self.wait + self.grace,
        };
        let call = self.open(now, timeout, 1);
        self.head_call = Some(call);
        let call = call.call;
        actions.push(RevisionAction::ReadHead { call, index });
    }

    /// Reads the missing keys of a pending set if the budget allows it.
    pub fn start_keys(
        &mut self,
        now: ClockTime,
        missing: Vec<SmolStr>,
        actions: &mut Vec<RevisionAction>,
    ) {
        if missing.is_empty() || self.key_call.is_some() || now < self.read_at {
            return;
        }
        let (scope, calls) = match missing.len() {
            count if count <= self.single_reads => (ReadScope::Keys(missing), count as u64),
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
        self.next_call += 1;
        self.calls += calls;
        OpenCall {
            call: self.next_call,
            sent_at: now,
            timeout,
        }
    }

    /// Notes the answer to a read of `head`; tells whether it is the one waited for.
    pub fn take_head(&mut self, call: u64, index: u64, actions: &mut Vec<RevisionAction>) -> bool {
        if self.head_call.is_none_or(|open| open.call != call) {
            return false;
        }
        self.head_call = None;
        self.check_wanted = false;
        // A smaller index means that the platform lost state; Consul asks to start again at 0.
        self.index = if index < self.index { 0 } else { index };
        self.note_success(actions);
        true
    }

    /// Notes the answer to a read of keys; tells whether it is the one waited for.
    pub fn take_keys(&mut self, call: u64, actions: &mut Vec<RevisionAction>) -> bool {
        if self.key_call.is_none_or(|open| open.call != call) {
            return false;
        }
        self.key_call = None;
        self.note_success(actions);
        true
    }

    fn note_success(&mut self, actions: &mut Vec<RevisionAction>) {
        self.backoff.reset();
        if std::mem::take(&mut self.is_lost) {
            actions.push(RevisionAction::PlatformFound);
        }
    }

    /// Delays the next read of keys after one that did not complete the set.
    pub fn delay_keys(&mut self, now: ClockTime, rng: &mut Pcg64Mcg) {
        self.read_at = now + self.read_backoff.next_delay(rng);
    }

    /// Reads keys without delay again, as for a new head.
    pub fn reset_keys(&mut self, actions: &mut Vec<RevisionAction>) {
        self.read_backoff.reset();
        self.read_at = ClockTime::ZERO;
        if let Some(open) = self.key_call.take() {
            actions.push(RevisionAction::StopCall { call: open.call });
        }
    }

    /// Notes that a call failed.
    pub fn take_failure(
        &mut self,
        now: ClockTime,
        call: u64,
        rng: &mut Pcg64Mcg,
        actions: &mut Vec<RevisionAction>,
    ) {
        let is_call = |open: &Option<OpenCall>| open.is_some_and(|open| open.call == call);
        if is_call(&self.head_call) {
            self.head_call = None;
            self.check_wanted = false;
            self.retry_at = now + self.backoff.next_delay(rng);
        } else if is_call(&self.key_call) {
            self.key_call = None;
            self.delay_keys(now, rng);
        } else {
            return;
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            actions.push(RevisionAction::PlatformLost);
        }
    }

    /// Treats calls without an answer as failed.
    pub fn expire(
        &mut self,
        now: ClockTime,
        rng: &mut Pcg64Mcg,
        actions: &mut Vec<RevisionAction>,
    ) {
        let open = [self.head_call, self.key_call];
        let is_late = |open: &OpenCall| now - open.sent_at >= open.timeout;
        for late in open.into_iter().flatten().filter(is_late) {
            actions.push(RevisionAction::StopCall { call: late.call });
            self.take_failure(now, late.call, rng, actions);
        }
    }
}
