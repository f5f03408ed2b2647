use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Milliseconds since the start of a soak.
pub type Millis = u64;

/// Kind of a call; each has its own route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Not idempotent, served by a plain service.
    Order,
    /// Idempotent, served by a plain service.
    Read,
    /// Not idempotent, streamed by a model engine.
    Stream,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptEnd {
    pub at: Millis,
    /// `None` if the connection ended without a whole answer.
    pub status: Option<u16>,
    /// Whether a target gave this answer to this attempt: its seal, attempt identifier and whole
    /// body are as expected.
    pub is_correct: bool,
    /// Whether the caller stopped waiting for the answer.
    pub has_timed_out: bool,
    /// Instance number of the target that answered, if the answer says that the target is leaving.
    pub leaving_instance: Option<u64>,
}

/// One attempt of a caller to make a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    pub kind: CallKind,
    /// Number of the call if it crashes its targets; all attempts at one call share it.
    pub crashing_call: Option<u32>,
    /// Whether its prompt has the part that crashes targets.
    pub has_deadly_part: bool,
    pub gateway: usize,
    /// When the caller began to send it.
    pub sent: Millis,
    pub end: Option<AttemptEnd>,
}

/// Arrival of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Instance number of the target; each start of each target has a new one.
    pub instance: u64,
    pub at: Millis,
    pub outcome: ArrivalOutcome,
}

/// What the target did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// The target executed the call and answered.
    Ran,
    /// The target executed the call, at least in part, and closed the connection before the end of
    /// its answer.
    BrokeOff,
    /// The call crashed the target.
    Crashed,
    /// The target refused the call without executing it.
    Refused,
    /// The target refused the call and asked for no further calls for this time.
    AskedBackoff(Millis),
    /// The call was meant for this other instance.
    WrongInstance(u64),
}

impl ArrivalOutcome {
    /// Whether the target executed the call, at least in part.
    pub fn was_executed(self) -> bool {
        matches!(self, Self::Ran | Self::BrokeOff | Self::Crashed)
    }
}

/// What the soak did to a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayEvent {
    Started,
    Terminated,
    Killed,
    Paused,
    Resumed,
}

/// A change of the rate of calls that a target names in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    pub at: Millis,
    /// Instance number of the target.
    pub instance: u64,
    /// Calls a second from all gateways together; `None` if it names no rate from then on.
    pub rate: Option<f64>,
}

/// Everything that callers and targets observed and that was done to the gateways.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Attempts by identifier.
    pub attempts: BTreeMap<String, AttemptRecord>,
    /// Arrivals of each attempt, by its identifier.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    pub gateways: Vec<(Millis, usize, GatewayEvent)>,
    /// Changes of the rates that targets name, in order of time.
    pub rates: Vec<RateChange>,
    /// Attempts that gateways have read, by the logs of these.
    pub read: BTreeSet<String>,
    /// Attempts that a gateway sent for another one which forwarded them, as of the one that sent them; by
    /// identifier, from the logs.
    pub forwarded: BTreeMap<String, AttemptRecord>,
}

/// Records a history while the soak runs; its clones share the history.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
}

impl Recorder {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            history: Arc::default(),
        }
    }

    /// Time since the start of the soak.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    pub fn record_attempt(&self, id: &str, record: AttemptRecord) {
        let mut history = self.history.lock().unwrap();
        history.attempts.insert(id.to_owned(), record);
    }

    pub fn record_end(&self, id: &str, end: AttemptEnd) {
        let mut history = self.history.lock().unwrap();
        history.attempts.get_mut(id).unwrap().end = Some(end);
    }

    /// Records an arrival; returns its index among those of the attempt.
    pub fn record_arrival(&self, id: &str, instance: u64, outcome: ArrivalOutcome) -> usize {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        let arrivals = history.arrivals.entry(id.to_owned()).or_default();
        arrivals.push(Arrival {
            instance,
            at,
            outcome,
        });
        arrivals.len() - 1
    }

    /// Records what became of a call that the target had begun to execute.
    pub fn record_outcome(&self, id: &str, index: usize, outcome: ArrivalOutcome) {
        let mut history = self.history.lock().unwrap();
        let arrivals = history.arrivals.get_mut(id).unwrap();
        arrivals[index].outcome = outcome;
    }

    /// Records that an instance of a target names another rate of calls from now on.
    pub fn record_rate(&self, instance: u64, rate: Option<f64>) {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        history.rates.push(RateChange { at, instance, rate });
    }

    pub fn record_gateway_event(&self, gateway: usize, event: GatewayEvent) {
        let at = self.now();
        self.history
            .lock()
            .unwrap()
            .gateways
            .push((at, gateway, event));
    }

    pub fn history(&self) -> History {
        self.history.lock().unwrap().clone()
    }
}
