use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{
    DomainName, EventKind, EventRecord, EventRing, HybridClock, HybridTime, NodeName, RequestId,
};
use log::Level;

use crate::SystemClock;

/// Clock and ring buffer, which are changed together.
struct JournalState {
    clock: HybridClock,
    ring: EventRing,
}

/// Records events with hybrid logical timestamps, in memory and in the log. Clones share the state.
#[derive(Clone)]
pub struct EventJournal {
    clock: SystemClock,
    node: NodeName,
    domain: DomainName,
    state: Arc<Mutex<JournalState>>,
}

impl EventJournal {
    /// Creates a journal that keeps the latest `limit` events in memory.
    ///
    /// ```
    /// use node::{EventJournal, SystemClock};
    /// let node = "balaju-1".parse().unwrap();
    /// let domain = "balaju".parse().unwrap();
    /// let journal = EventJournal::new(SystemClock::new(), node, domain, 16);
    /// journal.record(base::EventKind::NodeStarted, "listening");
    /// assert_eq!(journal.events_since(Default::default()).len(), 1);
    /// ```
    pub fn new(clock: SystemClock, node: NodeName, domain: DomainName, limit: usize) -> Self {
        let state = JournalState {
            clock: HybridClock::new(),
            ring: EventRing::new(limit),
        };
        Self {
            clock,
            node,
            domain,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records an event of the process.
    pub fn record(&self, kind: EventKind, detail: impl AsRef<str>) {
        self.push(kind, None, detail.as_ref());
    }

    /// Records an event of a request.
    pub fn record_for_request(
        &self,
        kind: EventKind,
        request: &RequestId,
        detail: impl AsRef<str>,
    ) {
        self.push(kind, Some(request), detail.as_ref());
    }

    /// Returns the timestamp for a message to a peer; advances the clock.
    pub fn message_time(&self) -> HybridTime {
        self.lock().clock.tick(self.clock.unix_millis())
    }

    /// Advances the clock by the timestamp of a message from a peer.
    pub fn observe_time(&self, remote: HybridTime) {
        self.lock().clock.observe(self.clock.unix_millis(), remote);
    }

    /// Returns the events after `time`, oldest first.
    pub fn events_since(&self, time: HybridTime) -> Vec<EventRecord> {
        self.lock().ring.since(time).cloned().collect()
    }

    /// Returns how many events were dropped from memory to make room for later ones.
    pub fn dropped_events(&self) -> u64 {
        self.lock().ring.dropped()
    }

    fn push(&self, kind: EventKind, request: Option<&RequestId>, detail: &str) {
        let mut state = self.lock();
        let time = state.clock.tick(self.clock.unix_millis());
        let text: &'static str = kind.into();
        metrics::counter!("agatemoor_events_total", "kind" => text).increment(1);
        let mut record = EventRecord::new(kind, time, self.node.clone(), self.domain.clone());
        record.request = request.cloned();
        let record = record.with_detail(detail);
        write_log(&record);
        state.ring.push(record);
    }

    fn lock(&self) -> MutexGuard<'_, JournalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the level at which an event is logged. Events of single requests are frequent and are
/// logged at debug level.
///
/// ```
/// use base::EventKind;
/// assert_eq!(node::event_level(EventKind::TargetDown), log::Level::Warn);
/// ```
pub fn event_level(kind: EventKind) -> Level {
    use EventKind::{
        AttemptSent, CallerGone, GenerationStarted, RequestAccepted, RequestFinished, TicketIssued,
    };
    use EventKind::{
        CrashCondemned, ListenerFailed, OrderFailed, PeerRefused, PlatformLost, RevisionRejected,
        RolloutHalted, TargetDown,
    };
    match kind {
        RequestAccepted | AttemptSent | GenerationStarted | RequestFinished | TicketIssued
        | CallerGone => Level::Debug,
        CrashCondemned | ListenerFailed | OrderFailed | PeerRefused | PlatformLost
        | RevisionRejected | RolloutHalted | TargetDown => Level::Warn,
        _ => Level::Info,
    }
}

fn write_log(record: &EventRecord) {
    let level = event_level(record.kind);
    if level > log::max_level() {
        return;
    }
    let request = record.request.as_ref().map_or("", RequestId::as_str);
    log::log!(
        target: "event",
        level,
        event = record.kind.number(),
        kind:% = record.kind,
        time:% = record.time,
        node = record.node.as_str(),
        domain = record.domain.as_str(),
        request = request;
        "{}",
        record.detail
    );
}
