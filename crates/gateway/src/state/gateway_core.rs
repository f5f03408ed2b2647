use std::sync::{Arc, Mutex, PoisonError};

use base::{ClockTime, ErrorKind, EventKind, NodeName, ServiceName, TargetName, TimeSpan};
use entry::{PlaceChoice, PlaceNeed, ServeConfig};
use node::SystemClock;
use tokio::sync::{oneshot, watch};
use web::{ConnectionPool, PoolSettings};

use super::gateway_state::LineWaiter;
use super::line_place::LinePlace;
use super::{GatewayState, PlaceHold, PlaceRefusal};
use crate::{GatewayPorts, GatewaySettings, ItemBatch, ViewArea};

/// Advice to callers of a service that has no target: new ones register within seconds.
const ABSENT_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// Version of the own loads on engines, and whether calls wait for engines.
type LoadMark = (u64, bool);

/// What all tasks of a gateway share.
pub struct GatewayCore {
    /// Settings at the start.
    pub settings: GatewaySettings,
    /// What the platform supplies.
    pub ports: GatewayPorts,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Connections to peers.
    pub peer_pool: ConnectionPool,
    clock: SystemClock,
    state: Mutex<GatewayState>,
    leaving: watch::Sender<u64>,
    loads: watch::Sender<LoadMark>,
    settings_failure: Mutex<Option<String>>,
}

impl GatewayCore {
    /// Creates the core of a process; `seed` varies the choices among equal targets.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts, seed: u64) -> Self {
        Self {
            state: Mutex::new(GatewayState::new(&settings, seed)),
            clock: SystemClock::new(),
            leaving: watch::Sender::new(0),
            loads: watch::Sender::new((0, false)),
            settings,
            ports,
            pool: ConnectionPool::new(PoolSettings::new()),
            peer_pool: ConnectionPool::new(PoolSettings::new()),
            settings_failure: Mutex::new(None),
        }
    }

    /// Returns this core with other connections to targets and peers.
    #[must_use]
    pub fn with_pools(mut self, targets: ConnectionPool, peers: ConnectionPool) -> Self {
        self.pool = targets;
        self.peer_pool = peers;
        self
    }

    /// Logs that the settings can't be read, once for each reason.
    pub fn note_settings_failure(&self, reason: &str) {
        let mut known = self
            .settings_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if known.as_deref() == Some(reason) {
            return;
        }
        log::warn!(
            event = EventKind::SettingsReloaded.number(),
            node = self.node().as_str();
            "settings stay as they are: {reason}"
        );
        *known = Some(reason.to_owned());
    }

    /// Name of this node.
    pub fn node(&self) -> &NodeName {
        &self.settings.node
    }

    /// Time since the start of the process.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Runs `work` on the state; it must not wait.
    pub fn with_state<T>(&self, work: impl FnOnce(&mut GatewayState, ClockTime) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = work(&mut state, now);
        let mark = (state.board.own_version(), state.is_waiting());
        self.loads
            .send_if_modified(|known| std::mem::replace(known, mark) != mark);
        result
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<ServeConfig>> {
        self.with_state(|state, _| state.view.config.clone())
    }

    /// Whether callers should come to this node.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.with_state(|state, _| {
                state.view.config.is_some() && state.view.target_items.revision().is_some()
            })
    }

    /// Stops taking new callers; calls that are over by `end` are still served.
    pub fn begin_stop(&self, end: ClockTime) {
        self.with_state(|state, _| state.stop_end = Some(end));
    }

    /// Serves no call any more; those that arrive are refused.
    pub fn close(&self) {
        self.with_state(|state, now| state.stop_end = Some(now));
    }

    /// Whether a call that takes `span` can end before this process does.
    pub fn can_finish(&self, span: TimeSpan) -> bool {
        self.with_state(|state, now| state.stop_end.is_none_or(|end| now + span < end))
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.with_state(|state, _| state.stop_end.is_some())
    }

    /// Takes one second send to a service from this node's share; `false` if there is none.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        self.with_state(|state, now| state.take_retry(now, service))
    }

    /// Changes with each target that starts to leave and with each turn that ends.
    pub fn watch_leaving(&self) -> watch::Receiver<u64> {
        self.leaving.subscribe()
    }

    /// Changes with what peers are told at once: loads on engines, and whether calls wait for them.
    pub fn watch_loads(&self) -> watch::Receiver<LoadMark> {
        self.loads.subscribe()
    }

    /// Gets room for a call, waiting in the line for at most `patience`.
    ///
    /// # Errors
    /// If there is no target, or none has room in time; the call was not sent.
    pub async fn acquire(
        self: &Arc<Self>,
        need: PlaceNeed,
        priority: u8,
        patience: TimeSpan,
    ) -> Result<PlaceHold, PlaceRefusal> {
        let load = need.load;
        let entered = self.with_state(|state, now| {
            let is_first = state.line.count(&need.service) == 0;
            let choice = match is_first {
                true => state.board.place(now, &need),
                false => PlaceChoice::Full,
            };
            match choice {
                PlaceChoice::Target(name) => {
                    state.board.add(&name, load);
                    Ok(name)
                }
                PlaceChoice::Absent => Err(None),
                PlaceChoice::Full => {
                    let ticket = state.line.join(now, &need.service, priority);
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.push(LineWaiter {
                        ticket,
                        need,
                        sender,
                    });
                    Err(Some((ticket, receiver)))
                }
            }
        });
        let target = match entered {
            Ok(target) => Some(target),
            Err(None) => None,
            Err(Some((ticket, receiver))) => {
                let place = LinePlace::new(self, ticket, load, receiver);
                place.wait(patience).await?
            }
        };
        let hold = target.and_then(|target| PlaceHold::new(self.clone(), target, load));
        hold.ok_or(PlaceRefusal {
            kind: ErrorKind::NoTarget,
            retry_after: ABSENT_RETRY,
        })
    }

    /// Gets room for a call at once or not at all.
    pub fn try_acquire(self: &Arc<Self>, need: &PlaceNeed) -> Option<PlaceHold> {
        let target = self.with_state(|state, now| match state.board.place(now, need) {
            PlaceChoice::Target(name) => {
                state.board.add(&name, need.load);
                Some(name)
            }
            PlaceChoice::Full | PlaceChoice::Absent => None,
        })?;
        PlaceHold::new(self.clone(), target, need.load)
    }

    /// Takes changes of published items; `from` tells who sent them.
    ///
    /// Returns whether anything changed.
    pub fn take_batch(&self, area: ViewArea, batch: ItemBatch, from: &str) -> bool {
        let changed = self.with_state(|state, now| {
            state.view.confirm(area, now);
            let mirror = state.view.mirror_mut(area);
            mirror.apply(batch.revision, batch.changes)
        });
        if changed {
            self.adopt(area, from);
        }
        changed
    }

    /// Takes all items of an area; `from` tells who sent them.
    pub fn take_items(
        &self,
        area: ViewArea,
        revision: u64,
        items: Vec<entry::PublishedItem>,
        from: &str,
    ) {
        let changed = self.with_state(|state, now| {
            state.view.confirm(area, now);
            state.view.mirror_mut(area).replace(revision, items)
        });
        if changed {
            self.adopt(area, from);
        }
    }

    /// Lets time pass.
    pub fn on_tick(&self) {
        let leaving = self.with_state(|state, now| {
            let leaving = state.board.on_tick(now);
            state.crashes.expire(now);
            state.serve_line(now);
            leaving
        });
        self.announce_leaving(&leaving, "entry did not come back");
    }

    fn adopt(&self, area: ViewArea, from: &str) {
        match area {
            ViewArea::Config => self.adopt_config(from),
            ViewArea::Targets => self.adopt_targets(from),
        }
    }

    fn adopt_config(&self, from: &str) {
        let (adopted, revision) = self.with_state(|state, _| {
            let adopted = state.view.adopt_config(&*self.ports.items);
            (adopted, state.view.config_items.revision())
        });
        match adopted {
            Ok(Some(config)) => log::info!(
                event = EventKind::RevisionAccepted.number(),
                node = self.node().as_str(),
                version = config.version.0,
                revision = revision.unwrap_or_default(),
                routes = config.route_count(),
                from = from;
                "configuration in force"
            ),
            Ok(None) => log::info!(
                event = EventKind::RevisionIgnored.number(),
                node = self.node().as_str(),
                revision = revision.unwrap_or_default(),
                from = from;
                "published configuration is not newer"
            ),
            Err(failure) => log::warn!(
                event = EventKind::RevisionRejected.number(),
                node = self.node().as_str(),
                revision = revision.unwrap_or_default(),
                from = from;
                "configuration stays as it is: {failure}"
            ),
        }
    }

    fn adopt_targets(&self, from: &str) {
        let (leaving, failures, known) = self.with_state(|state, now| {
            let (records, failures) = state.view.read_targets(&*self.ports.items);
            let guard = state.view.guard;
            let leaving = state.board.take_records(now, records, &guard);
            state.serve_line(now);
            let known = state.board.targets().len();
            (leaving, failures, known)
        });
        for failure in failures {
            log::warn!(
                event = EventKind::TargetUnreadable.number(),
                node = self.node().as_str(),
                from = from;
                "entry is passed over: {failure}"
            );
        }
        log::debug!(
            event = EventKind::TargetsRead.number(),
            node = self.node().as_str(),
            targets = known,
            from = from;
            "targets read"
        );
        self.announce_leaving(&leaving, from);
    }

    fn announce_leaving(&self, leaving: &[TargetName], from: &str) {
        for target in leaving {
            log::info!(
                event = EventKind::TargetLeaving.number(),
                node = self.node().as_str(),
                target = target.as_str(),
                from = from;
                "target gets no new work"
            );
        }
        if !leaving.is_empty() {
            self.with_state(|state, now| state.open_turns(now, leaving));
            self.wake_pumps();
        }
    }

    /// Takes the word of targets themselves that they leave.
    pub fn take_leaving(&self, target: &TargetName) {
        if self.with_state(|state, _| state.board.mark_leaving(target)) {
            self.announce_leaving(std::slice::from_ref(target), "target");
        }
    }

    /// Lets the relays of generations look again whether to move.
    pub fn wake_pumps(&self) {
        self.leaving.send_modify(|count| *count += 1);
    }
}
