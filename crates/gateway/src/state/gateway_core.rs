use std::sync::{Arc, Mutex, PoisonError};

use base::{ClockTime, EventKind, NodeName, ServiceName, TimeSpan};
use entry::{PlacementDecision, PlacementRequest, QueueTicket, QueuedCall, ServeConfig};
use node::SystemClock;
use tokio::sync::{oneshot, watch};
use web::{ConnectionPool, PoolSettings};

use super::gateway_state::{LineAnswer, LineWaiter};
use super::line_place::LinePlace;
use super::{GatewayState, LineGrant, PlaceHold, PlaceRefusal};
use crate::{GatewayPorts, GatewaySettings, ItemBatch, ViewArea};

/// Changes with what peers are told at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadMark {
    /// Version of the own loads on engines.
    pub loads: u64,
    /// Whether calls wait for engines.
    pub is_waiting: bool,
    /// Version of the moves off engines that leave.
    pub moves: u64,
}

/// A call that needs room on a target.
#[derive(Clone, Debug)]
pub struct RoomAsk {
    /// What it needs.
    pub need: PlacementRequest,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Time since it arrived.
    pub waited: TimeSpan,
    /// Time after its arrival within which it has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Time for which it can wait.
    pub patience: TimeSpan,
    /// Node that asks; `None` for a call of this node.
    pub asker: Option<NodeName>,
}

/// How a call came into the line.
enum LineEntry {
    Ended(LineAnswer),
    Joined(QueueTicket, oneshot::Receiver<LineAnswer>),
}

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
            loads: watch::Sender::new(LoadMark::default()),
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
        let mark = LoadMark {
            loads: state.board.own_load_version(),
            is_waiting: state.is_waiting(),
            moves: state.turns.version(),
        };
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
            && self.with_state(|state, now| {
                let has_view = state.view.config.is_some();
                has_view && state.view.target_items.revision().is_some() && state.is_informed(now)
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

    /// Gets room for a call by what this node knows, waiting in the line for at most its patience.
    ///
    /// # Errors
    /// If there is no target, none has room in time, or all want quiet; the call was not sent.
    pub async fn take_room(&self, ask: RoomAsk) -> LineAnswer {
        let load = ask.need.load;
        let patience = ask.patience;
        let entered = self.with_state(|state, now| enter_line(state, now, ask));
        match entered {
            LineEntry::Ended(answer) => answer,
            LineEntry::Joined(ticket, receiver) => {
                let place = LinePlace::new(self, ticket, load, receiver);
                place.wait(patience).await
            }
        }
    }

    /// Gets room for a call of this node by what it knows itself.
    ///
    /// # Errors
    /// Those of `take_room`.
    pub async fn acquire(self: &Arc<Self>, ask: RoomAsk) -> Result<PlaceHold, PlaceRefusal> {
        let load = ask.need.load;
        let grant = self.take_room(ask).await?;
        PlaceHold::new(self.clone(), grant.target, load).ok_or(PlaceRefusal::Absent)
    }

    /// Takes changes of published items; `from` tells who sent them.
    ///
    /// Returns whether anything changed.
    pub fn take_batch(self: &Arc<Self>, area: ViewArea, batch: ItemBatch, from: &str) -> bool {
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
    ///
    /// Returns whether anything changed.
    pub fn take_items(
        self: &Arc<Self>,
        area: ViewArea,
        revision: u64,
        items: Vec<entry::PublishedItem>,
        from: &str,
    ) -> bool {
        let changed = self.with_state(|state, now| {
            state.view.confirm(area, now);
            state.view.mirror_mut(area).replace(revision, items)
        });
        if changed {
            self.adopt(area, from);
        }
        changed
    }

    /// Lets time pass.
    pub fn on_tick(self: &Arc<Self>) {
        let changes = self.with_state(|state, now| {
            let changes = state.board.on_tick(now);
            state.facts.set.expire(now);
            state.attempts.expire(now);
            state.expire_grants(now);
            state.serve_line(now);
            changes
        });
        self.announce(&changes, "entry did not come back");
    }

    fn adopt(self: &Arc<Self>, area: ViewArea, from: &str) {
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

    fn adopt_targets(self: &Arc<Self>, from: &str) {
        let (changes, failures, known) = self.with_state(|state, now| {
            let (records, failures) = state.view.read_targets(&*self.ports.items);
            let guard = state.view.guard;
            let mut changes = state.board.update_records(now, records, &guard);
            for (target, incarnation) in &changes.no_longer_leaving {
                state.facts.note_stayed(now, target, *incarnation);
            }
            for (target, incarnation) in state.facts.leaving(now) {
                if state.board.mark_leaving(&target, incarnation) {
                    changes.leaving.push(target);
                }
            }
            state.serve_line(now);
            let known = state.board.targets().len();
            (changes, failures, known)
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
        self.announce(&changes, from);
    }

    /// Lets the relays of generations look again whether to move.
    pub fn wake_pumps(&self) {
        self.leaving.send_modify(|count| *count += 1);
    }
}

fn enter_line(state: &mut GatewayState, now: ClockTime, ask: RoomAsk) -> LineEntry {
    let service = ask.need.service.clone();
    let arrived = ClockTime::new(now.as_millis().saturating_sub(ask.waited.as_millis()));
    let is_quick = ask.need.is_quick;
    let is_move = ask.need.move_source.is_some();
    let is_next = match is_move {
        true => state.may_move(now, ask.asker.as_ref(), &ask.need),
        false => state.line.count_ahead(now, &service, is_quick) == 0,
    };
    let choice = match is_next {
        true => state.board.choose_target(now, &ask.need),
        false => PlacementDecision::Full,
    };
    match choice {
        PlacementDecision::Target(target) => {
            let id = state.take_room(now, ask.asker.as_ref(), &ask.need, &target);
            LineEntry::Ended(Ok(LineGrant { target, id }))
        }
        PlacementDecision::NoTarget => LineEntry::Ended(Err(PlaceRefusal::Absent)),
        PlacementDecision::Backoff(left) => LineEntry::Ended(Err(PlaceRefusal::Quiet(left))),
        PlacementDecision::Full => {
            let ticket = state.line.push(QueuedCall {
                service,
                priority: ask.priority,
                arrived,
                start_by: arrived + ask.start_within,
                is_quick,
                is_move,
            });
            let (sender, receiver) = oneshot::channel();
            state.waiters.push(LineWaiter {
                ticket,
                need: ask.need,
                asker: ask.asker,
                sender,
            });
            LineEntry::Joined(ticket, receiver)
        }
    }
}
