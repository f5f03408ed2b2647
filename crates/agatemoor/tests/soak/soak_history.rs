use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Milliseconds since the start of a soak.
pub type Millis = u64;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Not idempotent, at a plain service.
    Order,
    /// Idempotent, at a plain service.
    Read,
    /// A stream, at an engine.
    Plan,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallEnd {
    pub at: Millis,
    /// `None` if the connection ended without a whole answer.
    pub status: Option<u16>,
    /// Whether the answer is that of a target to this attempt, with its seal and its whole body.
    pub is_own: bool,
    /// Whether the caller stopped waiting.
    pub has_given_up: bool,
    /// Run of the target that answered, if the answer says that it leaves.
    pub leaving_run: Option<u64>,
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    pub kind: CallKind,
    /// Number of a call that crashes its targets, the same for all its attempts.
    pub crasher: Option<u32>,
    pub gateway: usize,
    /// When its last byte was sent.
    pub sent: Millis,
    pub end: Option<CallEnd>,
}

/// An attempt as a target saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Run of the target; each start of each target is another one.
    pub run: u64,
    pub at: Millis,
    pub outcome: ArrivalOutcome,
}

/// What the target did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// It began to work on it and answered.
    Ran,
    /// It ran it and broke the answer off.
    Broke,
    /// It died of it.
    Died,
    /// It turned it away.
    TurnedAway,
    /// It turned it away and wants nothing for so long.
    WantsQuiet(Millis),
    /// It is not the target that the call names.
    Other,
}

impl ArrivalOutcome {
    pub fn has_run(self) -> bool {
        matches!(self, Self::Ran | Self::Broke | Self::Died)
    }
}

/// What was done to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayEvent {
    Started,
    Terminated,
    Killed,
    Frozen,
    Woken,
}

/// All that callers, targets and the operator saw.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: BTreeMap<String, CallRecord>,
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    pub gateways: Vec<(Millis, usize, GatewayEvent)>,
}

/// A history that is being written.
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

    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    pub fn sent(&self, id: &str, record: CallRecord) {
        let mut history = self.history.lock().unwrap();
        history.calls.insert(id.to_owned(), record);
    }

    pub fn ended(&self, id: &str, end: CallEnd) {
        let mut history = self.history.lock().unwrap();
        history.calls.get_mut(id).unwrap().end = Some(end);
    }

    /// Notes an arrival; returns its place among those of the attempt.
    pub fn arrived(&self, id: &str, run: u64, outcome: ArrivalOutcome) -> usize {
        let at = self.now();
        let mut history = self.history.lock().unwrap();
        let arrivals = history.arrivals.entry(id.to_owned()).or_default();
        arrivals.push(Arrival { run, at, outcome });
        arrivals.len() - 1
    }

    /// Notes that the target broke off what it had begun.
    pub fn broke(&self, id: &str, place: usize) {
        let mut history = self.history.lock().unwrap();
        let arrivals = history.arrivals.get_mut(id).unwrap();
        arrivals[place].outcome = ArrivalOutcome::Broke;
    }

    pub fn gateway(&self, gateway: usize, event: GatewayEvent) {
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
