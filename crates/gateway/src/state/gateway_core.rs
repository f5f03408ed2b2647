use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{ClockTime, EventKind, NodeName, ServiceName, TargetName, TimeSpan};
use entry::{
    AnswerReport, BodyBudget, PlacementDecision, PlacementRequest, QueueTicket, QueuedCall,
    ServeConfig, StorePosition, TargetPace, TargetPhase,
};
use metrics::gauge;
use node::SystemClock;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;
use web::{ConnectionPool, PoolSettings};

use super::gateway_state::{QueueAnswer, QueueWaiter};
use super::queue_guard::QueueGuard;
use super::{CallTimes, CapacityReservation, GatewayState, PlacementRefusal, StopPlan};
use crate::{GatewayPorts, GatewaySettings, ItemBatch, ItemOrigin, ViewArea};

/// Version of what load reports to peers contain; a report is pushed whenever it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportVersion {
    /// Version of the load of this node's calls on engines.
    pub loads: u64,
    /// Whether calls of this node wait for engines.
    pub is_waiting: bool,
    /// Version of the list of engines off which this node copies generations.
    pub moves: u64,
}

/// Longest time that a call that other nodes may place stays in the queue before the request is made
/// anew: a coordinator then responds that the call has to wait. A node that gets no response for
/// longer can tell that its coordinator is gone.
pub const LONG_POLL_TIMEOUT: TimeSpan = TimeSpan::new(150);

/// Largest number of entries left out of a configuration that are logged.
const LOGGED_OMISSIONS: usize = 16;

/// Request to place a call on a target by what this node knows, after a wait in its queue if need
/// be.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// What the call requires of the target.
    pub placement: PlacementRequest,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Time since the call arrived.
    pub waited: TimeSpan,
    /// Time after its arrival within which the call has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Longest time that the call waits in the queue.
    pub max_wait: TimeSpan,
    /// Longest time that the call can wait from now on, over all requests for it.
    pub patience: TimeSpan,
    /// Whether the call may be refused at once if it is expected to wait for longer than that.
    pub accepts_refusal: bool,
    /// Node that requests the placement; `None` for a call of this node.
    pub requester: Option<NodeName>,
}

/// Outcome of the attempt to place a call without a wait.
enum EnqueueOutcome {
    /// The call was placed or refused.
    Answered(QueueAnswer),
    /// The call waits in the queue; the answer arrives on the receiver.
    Queued(QueueTicket, oneshot::Receiver<QueueAnswer>),
}

/// Core of a gateway process that all its tasks share: settings, ports, connections and state.
pub struct GatewayCore {
    /// Settings at the start of the process.
    pub settings: GatewaySettings,
    /// Interfaces to the platform and to targets.
    pub ports: GatewayPorts,
    /// Budget of the memory for bodies.
    pub bodies: BodyBudget,
    /// Pool of connections to targets.
    pub pool: ConnectionPool,
    /// Pool of connections to peers.
    pub peer_pool: ConnectionPool,
    clock: SystemClock,
    state: Mutex<GatewayState>,
    move_rechecks: watch::Sender<u64>,
    blame_changes: watch::Sender<u64>,
    report_version: watch::Sender<ReportVersion>,
    config_hints: watch::Sender<StorePosition>,
    stop_changes: watch::Sender<()>,
    config_changes: watch::Sender<()>,
    path_changes: watch::Sender<()>,
    /// Reason that was logged last why the settings could not be read.
    settings_failure: Mutex<Option<String>>,
    /// Whether the end of the process was logged.
    is_end_logged: Mutex<bool>,
}

impl GatewayCore {
    /// Creates the core of a process; `seed` varies the random choices, such as those among targets
    /// of about the same cost.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts, seed: u64) -> Self {
        Self {
            state: Mutex::new(GatewayState::new(&settings, seed)),
            clock: SystemClock::new(),
            move_rechecks: watch::Sender::new(0),
            blame_changes: watch::Sender::new(0),
            report_version: watch::Sender::new(ReportVersion::default()),
            config_hints: watch::Sender::new(StorePosition::default()),
            stop_changes: watch::Sender::new(()),
            config_changes: watch::Sender::new(()),
            path_changes: watch::Sender::new(()),
            bodies: BodyBudget::new(settings.memory),
            settings,
            ports,
            pool: ConnectionPool::new(PoolSettings::new()),
            peer_pool: ConnectionPool::new(PoolSettings::new()),
            settings_failure: Mutex::new(None),
            is_end_logged: Mutex::new(false),
        }
    }

    /// Replaces the connection pools for targets and peers.
    #[must_use]
    pub fn with_pools(mut self, targets: ConnectionPool, peers: ConnectionPool) -> Self {
        self.pool = targets;
        self.peer_pool = peers;
        self
    }

    /// Logs that the settings can't be read, unless the same reason was logged last.
    pub fn log_settings_failure(&self, reason: &str) {
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
            "settings can't be read and stay as they are: {reason}"
        );
        *known = Some(reason.to_owned());
    }

    /// Numbers of calls and of streams in progress.
    pub fn active_work(&self) -> (usize, usize) {
        self.with_state(|state, _| (state.active_calls, state.active_streams))
    }

    /// Logs that the process ends with this work in progress, unless that was logged before.
    pub fn log_end(&self, (active, streams): (usize, usize), is_drained: bool) {
        // Held until the line is logged: the thread that is told that it was ends the process.
        let mut is_logged = self
            .is_end_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if std::mem::replace(&mut *is_logged, true) {
            return;
        }
        log::info!(
            event = EventKind::NodeStopped.number(),
            node = self.node().as_str(),
            active = active,
            streams = streams,
            drained = is_drained;
            "shut down"
        );
    }

    /// Name of this node.
    pub fn node(&self) -> &NodeName {
        &self.settings.node
    }

    /// Time on the process's clock, which starts at zero.
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Runs `work` on the locked state, which must not block; load reports are pushed if it changes
    /// what they contain.
    pub fn with_state<T>(&self, work: impl FnOnce(&mut GatewayState, ClockTime) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = work(&mut state, now);
        let version = ReportVersion {
            loads: state.balancer.own_load_version(),
            is_waiting: state.has_queued_generations(),
            moves: state.move_scheduler.copying_version(),
        };
        self.report_version
            .send_if_modified(|known| std::mem::replace(known, version) != version);
        result
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<ServeConfig>> {
        self.with_state(|state, _| state.view.config.clone())
    }

    /// Whether the load balancer may send callers to this node: it is not stopping, and has the
    /// configuration, the targets and the facts of its peers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.with_state(|state, now| {
                let has_view = state.view.config.is_some();
                has_view
                    && state.view.target_items.revision().is_some()
                    && state.has_initial_sync(now)
            })
    }

    /// Begins to stop: the node is no longer ready, and only serves calls that can end in time.
    pub fn begin_stop(&self, plan: StopPlan) {
        self.with_state(|state, _| state.stop_plan = Some(plan));
        self.stop_changes.send_replace(());
    }

    /// Refuses all calls that arrive from now on; those in progress continue.
    pub fn close(&self) {
        self.with_state(|state, _| {
            if let Some(plan) = &mut state.stop_plan {
                plan.close();
            }
        });
    }

    /// Whether a call that begins now can end before the process stops.
    pub fn can_finish(&self, times: CallTimes) -> bool {
        self.with_state(|state, now| state.can_finish(now, times))
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.with_state(|state, _| state.stop_plan.is_some())
    }

    /// Runs `work` to its end; `None` if calls have to end before that, as the process stops.
    pub async fn until_cut_off<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.cut_off() => None,
        }
    }

    /// Runs `work`, in which a call waits to be sent, to its end; `None` as soon as the process stops
    /// and the call might not end before that.
    pub async fn while_sendable<T>(
        &self,
        times: CallTimes,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            output = work => Some(output),
            () = self.stop_refuses(times) => None,
            () = self.cut_off() => None,
        }
    }

    /// Waits until the process stops and a call that is not sent yet might not end before that.
    async fn stop_refuses(&self, times: CallTimes) {
        let mut changes = self.stop_changes.subscribe();
        loop {
            let (is_refused, early_left) = self.with_state(|state, now| {
                let plan = state.stop_plan.as_ref();
                let early_left = plan.and_then(|plan| plan.early_left(now));
                (!state.can_finish(now, times), early_left)
            });
            if is_refused {
                return;
            }
            match early_left {
                Some(left) => sleep(left.into()).await,
                None if changes.changed().await.is_ok() => {}
                None => return std::future::pending().await,
            }
        }
    }

    /// Waits until calls in progress have to end, as the process stops.
    async fn cut_off(&self) {
        let mut changes = self.stop_changes.subscribe();
        loop {
            let left = self.with_state(|state, now| {
                let plan = state.stop_plan.as_ref();
                plan.map(|plan| plan.cut_off_at.since(now))
            });
            match left {
                Some(left) => return sleep(left.into()).await,
                None if changes.changed().await.is_ok() => {}
                None => return std::future::pending().await,
            }
        }
    }

    /// Takes one retry to a service from this node's share of the budget; `false` if it is used up.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        self.with_state(|state, now| state.take_retry(now, service))
    }

    /// Watch that changes whenever relayed generations have to check again whether to move: when
    /// targets start to leave, and when a turn to move ends.
    pub fn watch_move_rechecks(&self) -> watch::Receiver<u64> {
        self.move_rechecks.subscribe()
    }

    /// Watch that changes whenever a configuration comes into force.
    pub fn watch_config(&self) -> watch::Receiver<()> {
        self.config_changes.subscribe()
    }

    /// Watch that changes whenever a path to targets is lost or returns, or a peer reports so of its own.
    pub fn watch_paths(&self) -> watch::Receiver<()> {
        self.path_changes.subscribe()
    }

    /// Makes the calls that wait to be sent check again whether a peer has to send them.
    pub fn notify_paths(&self) {
        self.path_changes.send_replace(());
    }

    /// Watch that changes whenever facts change by which calls are blamed for crashes.
    pub fn watch_blame(&self) -> watch::Receiver<u64> {
        self.blame_changes.subscribe()
    }

    /// Makes the calls that wait for a trial or for the answer of their target check again whether
    /// they may run, and pushes the facts in the outbox.
    pub fn recheck_blame(&self) {
        self.blame_changes.send_modify(|count| *count += 1);
    }

    /// Watch that changes whenever a load report has to be pushed to peers.
    pub fn watch_load_report(&self) -> watch::Receiver<ReportVersion> {
        self.report_version.subscribe()
    }

    /// Places a call on a target by what this node knows; the call waits in the queue until then, for
    /// at most its longest wait.
    ///
    /// # Errors
    /// If the service has no target, none has capacity in time, or all asked this node to back off;
    /// the call was not sent.
    pub async fn place(&self, request: QueueRequest) -> QueueAnswer {
        let load = request.placement.load;
        let max_wait = request.max_wait;
        let outcome = self.with_state(|state, now| place_or_enqueue(state, now, request));
        match outcome {
            EnqueueOutcome::Answered(answer) => answer,
            EnqueueOutcome::Queued(ticket, receiver) => {
                let guard = QueueGuard::new(self, ticket, load, receiver);
                guard.wait(max_wait).await
            }
        }
    }

    /// Reserves capacity for a call of this node by what this node knows, without a coordinator. A
    /// generation repeats the request as those of other nodes do, so that its expected wait is
    /// checked anew.
    ///
    /// # Errors
    /// Those of [`Self::place`].
    pub async fn reserve_local(
        self: &Arc<Self>,
        mut request: QueueRequest,
    ) -> Result<CapacityReservation, PlacementRefusal> {
        let load = request.placement.load;
        let arrived = self
            .now()
            .as_millis()
            .saturating_sub(request.waited.as_millis());
        let arrived = ClockTime::new(arrived);
        let end = self.now() + request.max_wait;
        let placed = loop {
            let now = self.now();
            request.waited = now.since(arrived);
            request.patience = end.since(now);
            // Without a coordinator, a repeated request would not wait for the turn of this node.
            let repeats =
                request.accepts_refusal && self.with_state(|state, now| state.is_coordinator(now));
            request.max_wait = match repeats {
                true => request.patience.min(LONG_POLL_TIMEOUT),
                false => request.patience,
            };
            match self.place(request.clone()).await {
                Err(PlacementRefusal::Full) if self.now() < end => {}
                answer => break answer?,
            }
        };
        CapacityReservation::new(self.clone(), placed.target, load)
            .ok_or(PlacementRefusal::NoTarget)
    }

    /// Records that the configuration may have changed at a position of the store.
    pub fn record_config_hint(&self, position: StorePosition) {
        self.with_state(|state, _| {
            let hint = &mut state.view.config_hint;
            *hint = (*hint).max(position);
        });
        self.config_hints.send_replace(position);
    }

    /// Waits until the configuration may have changed without this node having learned of it for
    /// `delay`.
    pub async fn until_config_lacking(&self, delay: Duration) {
        let mut hints = self.config_hints.subscribe();
        loop {
            if self.with_state(|state, _| state.view.may_lack_config()) {
                sleep(delay).await;
                if self.with_state(|state, _| state.view.may_lack_config()) {
                    return;
                }
            }
            if hints.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records an answer of the store to this node.
    pub fn record_store_answer(&self) {
        let outage = self.with_state(|state, now| state.view.guard.on_store_answer(now));
        self.log_outage(outage, ItemOrigin::Store);
    }

    /// Records what a peer knows of the answers of the store.
    pub fn record_peer_report(&self, report: AnswerReport) {
        let outage = self.with_state(|state, now| state.view.guard.on_peer_report(now, report));
        self.log_outage(outage, ItemOrigin::Peer(report.until_age));
    }

    /// Records that the store answered a peer of an earlier build again after an outage, `age` ago.
    pub fn record_outage_end(&self, age: TimeSpan) {
        let outage = self.with_state(|state, now| state.view.guard.on_outage_end(now, age));
        self.log_outage(outage, ItemOrigin::Peer(age));
    }

    /// Logs an outage of the store that this node learned of.
    fn log_outage(&self, outage: Option<TimeSpan>, origin: ItemOrigin) {
        let Some(outage) = outage else {
            return;
        };
        log::info!(
            event = EventKind::StoreOutage.number(),
            node = self.node().as_str(),
            outage_ms = outage.as_millis(),
            from = origin.name();
            "the store was away; targets whose entries were removed are kept for a while"
        );
    }

    /// Applies changes of the published items of an area.
    ///
    /// Returns whether anything changed.
    pub fn apply_changes(
        self: &Arc<Self>,
        area: ViewArea,
        batch: ItemBatch,
        origin: ItemOrigin,
    ) -> bool {
        let (changed, evacuations) = self.with_state(|state, now| {
            let mirror = state.view.mirror_mut(area);
            let changed = mirror.apply(batch.position, batch.changes);
            if changed {
                state.view.record_change(area);
            }
            let at = now.saturating_sub(origin.age());
            state.view.confirm_read(area, batch.position.era, at);
            // Also without a change: that the copy has no key holds up to its new revision.
            (changed, self.read_evacuations(state, now, area, changed))
        });
        self.handle_evacuations(&evacuations, origin.name());
        if changed {
            self.on_items_changed(area, origin.name(), !evacuations.is_empty());
        }
        changed
    }

    /// Replaces the published items of an area by all as of `position`.
    ///
    /// Returns whether anything changed.
    pub fn replace_items(
        self: &Arc<Self>,
        area: ViewArea,
        position: StorePosition,
        items: Vec<entry::PublishedItem>,
        origin: ItemOrigin,
    ) -> bool {
        let begins_era =
            self.with_state(|state, _| state.view.mirror(area).precedes_era_of(position));
        let (changed, evacuations) = self.with_state(|state, now| {
            let codec = &*self.ports.items;
            let changed = state.view.replace(now, area, position, items, codec);
            if changed {
                state.view.record_change(area);
            }
            let at = now.saturating_sub(origin.age());
            state.view.confirm_read(area, position.era, at);
            // Before the configuration is in force, since the node serves from then on.
            (changed, self.read_evacuations(state, now, area, changed))
        });
        self.handle_evacuations(&evacuations, origin.name());
        if changed {
            self.on_items_changed(area, origin.name(), !evacuations.is_empty());
        }
        if begins_era && changed {
            self.handle_new_era(area, position, origin);
        }
        changed
    }

    /// Logs a new era of the store, and tells peers which runs are known to leave or to be gone although
    /// its first copy lists them.
    fn handle_new_era(
        self: &Arc<Self>,
        area: ViewArea,
        position: StorePosition,
        origin: ItemOrigin,
    ) {
        let codec = &*self.ports.items;
        let (items, kept, outdated) = self.with_state(|state, _| {
            let mut outdated = match area {
                ViewArea::Config => Vec::new(),
                ViewArea::Targets => state.view.find_outdated_runs(codec),
            };
            // Whether a target whose lease expired has left is not known yet.
            outdated.retain(|(target, _)| {
                let found = state.balancer.target(target);
                !found.is_some_and(|one| matches!(one.phase, TargetPhase::Lapsed(_)))
            });
            let mirror = state.view.mirror(area);
            (mirror.items().len(), mirror.kept().len(), outdated)
        });
        gauge!("gateway_store_era").set(position.era.0 as f64);
        log::warn!(
            event = EventKind::StoreEraChanged.number(),
            node = self.node().as_str(),
            area = area.to_string().as_str(),
            era = position.era.0,
            revision = position.revision,
            items = items,
            kept = kept,
            outdated = outdated.len(),
            from = origin.name();
            "the store came back from an older copy"
        );
        for (target, incarnation) in outdated {
            self.mark_target_leaving(&target, incarnation, "earlier era of the store");
        }
    }

    /// Handles what depends on time alone: expired targets, facts, attempts and grants, and queued
    /// calls that may be placed now.
    pub fn on_tick(self: &Arc<Self>) {
        if self.with_state(|state, now| state.view.expire_kept(now)) {
            self.update_targets("earlier era of the store");
        }
        let (changes, paces) = self.with_state(|state, now| {
            let changes = state.balancer.on_tick(now);
            state.facts.set.expire(now);
            state.attempts.expire(now);
            state.expire_grants(now);
            state.drop_foreign_rates(now);
            state.serve_queue(now);
            state.export_queue(now);
            (changes, state.balancer.take_pace_changes())
        });
        self.log_pace_changes(&paces);
        self.handle_target_changes(&changes, "entry did not come back");
        self.report_evacuations();
        self.report_config_lag();
        self.try_lost_paths();
    }

    /// Logs, once for each time, that peers have had a newer configuration in force for over a second, and
    /// what this node knows of the store meanwhile.
    fn report_config_lag(&self) {
        let (lag, report, view) = self.with_state(|state, now| {
            let own = state.view.version();
            let lag = state.view.config_lag.lag(now, own);
            let report = state.view.config_lag.take_report(now, own);
            let age = now.since(state.view.config_at);
            (lag, report, (own, state.view.config_items.position(), age))
        });
        gauge!("gateway_config_lag_seconds")
            .set(lag.map_or(0.0, |(_, age)| age.as_millis() as f64 / 1_000.0));
        let Some((newest, age)) = report else {
            return;
        };
        let (own, position, answer_age) = view;
        let position = position.unwrap_or_default();
        log::warn!(
            event = EventKind::ConfigBehind.number(),
            node = self.node().as_str(),
            version = own.0,
            newer = newest.0,
            known_ms = age.as_millis(),
            era = position.era.0,
            revision = position.revision,
            answer_age_ms = answer_age.as_millis();
            "peers have a newer configuration in force"
        );
    }

    /// Logs the engines that long calls avoid or avoid no longer, and sets the gauges of the paces.
    fn log_pace_changes(&self, changes: &[(TargetName, TargetPace)]) {
        for (target, pace) in changes {
            log::info!(
                event = EventKind::EnginePaceChanged.number(),
                node = self.node().as_str(),
                target = target.as_str(),
                pace = pace.ratio,
                late_share = pace.late_share;
                "{}",
                match pace.is_avoided {
                    true => "long calls avoid the engine",
                    false => "long calls use the engine again",
                }
            );
        }
        if !changes.is_empty() {
            let (avoided, slowest) = self.with_state(|state, _| {
                let paces = || state.balancer.targets().iter().map(|one| one.pace);
                let avoided = paces().filter(|pace| pace.is_avoided).count();
                (avoided, paces().map(|pace| pace.ratio).fold(1.0, f64::max))
            });
            gauge!("gateway_avoided_engines").set(avoided as f64);
            gauge!("gateway_slowest_engine_pace").set(slowest);
        }
    }

    /// Acts on changed items of an area; `has_evacuations` tells whether evacuations changed.
    fn on_items_changed(self: &Arc<Self>, area: ViewArea, from: &str, has_evacuations: bool) {
        match area {
            ViewArea::Config => self.adopt_config(from, has_evacuations),
            ViewArea::Targets => self.update_targets(from),
        }
    }

    /// Puts the configuration in force if it is newer, and logs the result; that it is not newer is
    /// only logged if nothing else of its area changed.
    fn adopt_config(&self, from: &str, has_evacuations: bool) {
        let (adopted, revision) = self.with_state(|state, now| {
            let adopted = state.view.adopt_config(&*self.ports.items);
            if let Ok(Some(config)) = &adopted {
                let services = config.services().iter();
                let rates = services.filter_map(|spec| Some((spec.name.clone(), spec.cold_rate?)));
                state.balancer.set_cold_rates(rates.collect());
                state.prepare_cold_rates(now);
            }
            (adopted, state.view.config_items.revision())
        });
        match adopted {
            Ok(Some(config)) => {
                log::info!(
                    event = EventKind::RevisionAccepted.number(),
                    node = self.node().as_str(),
                    version = config.version.0,
                    revision = revision.unwrap_or_default(),
                    routes = config.route_count(),
                    omissions = config.omissions().len(),
                    from = from;
                    "configuration in force"
                );
                self.report_omissions(&config);
                self.config_changes.send_replace(());
            }
            Ok(None) if has_evacuations => {}
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
            "published configuration can't be read; the one in force stays: {failure}"
            ),
        }
    }

    /// Logs and counts the entries of a configuration that were left out.
    fn report_omissions(&self, config: &ServeConfig) {
        gauge!("gateway_config_omissions").set(config.omissions().len() as f64);
        for omission in config.omissions().iter().take(LOGGED_OMISSIONS) {
            log::warn!(
                event = EventKind::EntryOmitted.number(),
                node = self.node().as_str(),
                version = config.version.0,
                entry = omission.entry.as_str();
                "entry of the configuration is left out: {}", omission.reason
            );
        }
    }

    /// Updates the targets from their entries, and acts on the changes.
    fn update_targets(self: &Arc<Self>, from: &str) {
        let (changes, failures, known) = self.with_state(|state, now| {
            let (records, failures) = state.view.decode_targets(now, &*self.ports.items);
            for (target, incarnation) in state.view.take_returned_runs(&records) {
                state.facts.record_stayed(now, &target, incarnation);
                state.balancer.cancel_leaving(&target, incarnation);
            }
            let guard = state.view.take_removal_guard();
            let mut changes = state.balancer.update_records(now, records, &guard);
            for (target, incarnation) in &changes.no_longer_leaving {
                state.facts.record_stayed(now, target, *incarnation);
            }
            for (target, incarnation) in state.facts.leaving_runs(now) {
                if state.balancer.mark_leaving(&target, incarnation) {
                    changes.leaving.push(target);
                }
            }
            for end in state.facts.ended_runs(now) {
                let ended = state.balancer.mark_ended(&end.target, end.incarnation);
                changes.leaving.extend(ended.leaving);
                changes.ended.extend(ended.ended);
            }
            state.apply_known_rates(now);
            state.prepare_cold_rates(now);
            state.serve_queue(now);
            let known = state.balancer.targets().len();
            (changes, failures, known)
        });
        for failure in failures {
            log::warn!(
                event = EventKind::TargetUnreadable.number(),
                node = self.node().as_str(),
                from = from;
                "target entry can't be read and is ignored: {failure}"
            );
        }
        log::debug!(
            event = EventKind::TargetsRead.number(),
            node = self.node().as_str(),
            targets = known,
            from = from;
            "targets read"
        );
        self.handle_target_changes(&changes, from);
    }

    /// Makes the relays of generations check again whether to move.
    pub fn recheck_moves(&self) {
        self.move_rechecks.send_modify(|count| *count += 1);
    }
}

/// Places a call at once if no other call goes before it and a target has capacity; otherwise adds
/// it to the queue.
fn place_or_enqueue(
    state: &mut GatewayState,
    now: ClockTime,
    mut request: QueueRequest,
) -> EnqueueOutcome {
    let service = request.placement.service.clone();
    let arrived = ClockTime::new(now.as_millis().saturating_sub(request.waited.as_millis()));
    if let Some(need) = &mut request.placement.pace {
        need.start_by = arrived + request.start_within;
    }
    let is_quick = request.placement.is_quick;
    let is_move = request.placement.move_source.is_some();
    let call = QueuedCall {
        service: service.clone(),
        priority: request.priority,
        arrived,
        start_by: arrived + request.start_within,
        is_quick,
        is_move,
        workspace: request.placement.workspace.clone(),
        work: request.placement.load.work(),
    };
    if !is_move && request.waited < LONG_POLL_TIMEOUT {
        state.queue.record_arrival(now, &service);
    }
    let is_next = match is_move {
        true => state.may_move(now, request.requester.as_ref(), &request.placement),
        false => !state.queue.has_ahead(now, &call),
    };
    let decision = match is_next {
        true => state.choose_target(now, &request.placement),
        false => PlacementDecision::Full,
    };
    match decision {
        PlacementDecision::Target(target) => {
            EnqueueOutcome::Answered(Ok(state.place_direct(now, &request, &call, target)))
        }
        PlacementDecision::NoTarget => EnqueueOutcome::Answered(Err(PlacementRefusal::NoTarget)),
        PlacementDecision::Backoff(left) => {
            EnqueueOutcome::Answered(Err(state.refuse_for(now, &service, left)))
        }
        PlacementDecision::Full => {
            if state.expects_long_wait(now, &request, &call) {
                // Calls ahead of it that can't use the room that there is don't count against it.
                state.serve_queue(now);
                // Better late than refused: the call takes any engine with room.
                let mut placement = request.placement.clone();
                if let Some(need) = &mut placement.pace {
                    need.start_by = ClockTime::ZERO;
                }
                if let PlacementDecision::Target(target) =
                    state.balancer.choose_target(now, &placement)
                {
                    return EnqueueOutcome::Answered(Ok(
                        state.place_direct(now, &request, &call, target)
                    ));
                }
                if let Some(refusal) = state.refuse_early(now, &request, &call) {
                    return EnqueueOutcome::Answered(Err(refusal));
                }
            }
            let start_by = call.start_by;
            let ticket = state.queue.push_at(now, call);
            let (sender, receiver) = oneshot::channel();
            state.waiters.push(QueueWaiter {
                ticket,
                placement: request.placement,
                requester: request.requester,
                sender,
            });
            if is_quick && !is_move && now <= start_by {
                // The long calls ahead of it may lack room that it can use.
                state.serve_queue(now);
            }
            EnqueueOutcome::Queued(ticket, receiver)
        }
    }
}
