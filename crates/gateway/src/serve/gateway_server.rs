use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TimeSpan};
use futures_util::future::join_all;
use node::MetricsExport;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep, timeout_at};
use web::{ConnectionPool, PoolSettings, ServerLimits, StopSignal};

use super::settings_reloader::SettingsReloader;
use super::{GatewayListeners, ListenerTask, StartError, spawn_supervised};
use crate::ops::{MetricsHandler, ReadyHandler};
use crate::peer::{FactPusher, LoadPusher, PeerClient, PeerHandler};
use crate::poll::{EnginePoller, ViewPoller};
use crate::relay::CallHandler;
use crate::{GatewayCore, GatewayPorts, GatewaySettings, StopPlan, ViewArea};

/// Time-out of connecting to a target: some round trips between failure domains.
const TARGET_CONNECT_TIMEOUT: TimeSpan = TimeSpan::new(250);
/// Time-out of connecting to a peer.
const PEER_CONNECT_TIMEOUT: TimeSpan = TimeSpan::new(300);
/// Largest number of caller connections at once; connections to targets, peers and the store need
/// the rest of some 3,900.
const MAX_CALLER_CONNECTIONS: usize = 2_400;
/// Largest head of a request in bytes.
const HEADER_BYTES: usize = 64 << 10;
/// Room in the head of a forwarded call for its ticket, without the path.
const TICKET_BYTES: usize = 1 << 10;
/// Timeout of the head of a request.
const HEADER_TIMEOUT: TimeSpan = TimeSpan::from_secs(30);
/// Interval of `GatewayCore::on_tick`, which serves waiting calls and expires outdated state.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings file is read, as it may change without a signal, and at which the
/// metrics export does its upkeep.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time from a stop signal to the end of the process: the load balancer notices after two
/// failed checks of a second each, and new connections arrive until then.
const MIN_STOP_TIME: TimeSpan = TimeSpan::new(3_500);
/// Time before the end of the grace period at which the stop ends, whatever is in progress. The log
/// is written, and the process ends by itself, in the 100 ms until it is ended by force.
const EXIT_MARGIN: TimeSpan = TimeSpan::new(300);
/// Time for which arriving calls are refused before the process ends, so that the refusals reach
/// their callers.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// A running gateway.
pub struct GatewayServer {
    core: Arc<GatewayCore>,
    stop: StopSignal,
    /// Tasks that serve the connections of callers, and of peers, which forward calls.
    call_servers: [JoinHandle<()>; 2],
    reloader: Arc<SettingsReloader>,
}

impl GatewayServer {
    /// Opens the listening sockets and starts to serve.
    ///
    /// # Errors
    /// If a listening socket can't be opened.
    pub async fn start(settings: GatewaySettings, ports: GatewayPorts) -> Result<Self, StartError> {
        let listeners = GatewayListeners::bind(&settings).await?;
        Ok(Self::serve(listeners, settings, ports))
    }

    /// Starts to serve on sockets that were opened for these settings.
    pub fn serve(
        listeners: GatewayListeners,
        settings: GatewaySettings,
        ports: GatewayPorts,
    ) -> Self {
        MetricsExport::shared();
        let targets = PoolSettings::new().with_connect_timeout(TARGET_CONNECT_TIMEOUT);
        let peers = PoolSettings::new().with_connect_timeout(PEER_CONNECT_TIMEOUT);
        let core = GatewayCore::new(settings, ports, rand::random())
            .with_pools(ConnectionPool::new(targets), ConnectionPool::new(peers));
        let core = Arc::new(core);
        let stop = StopSignal::new();
        let server = Self {
            reloader: Arc::new(SettingsReloader::new(core.clone())),
            call_servers: serve_listeners(listeners, &core, &stop),
            core,
            stop,
        };
        server.spawn_tasks();
        let settings = &server.core.settings;
        log::info!(
            event = EventKind::NodeStarted.number(),
            node = settings.node.as_str(),
            domain = settings.domain.as_str(),
            callers = settings.caller_address.to_string().as_str(),
            peers = settings.peer_address.to_string().as_str(),
            seeds = settings.seeds.len();
            "listening"
        );
        server
    }

    /// State of the node.
    pub fn core(&self) -> &Arc<GatewayCore> {
        &self.core
    }

    /// Reads the settings again and applies changes; `cause` is for the log.
    pub fn reload(&self, cause: &str) {
        self.reloader.request(cause);
    }

    /// Shuts down gracefully: lets calls end and returns when the process may exit.
    ///
    /// New calls are served as long as they can be expected to end in time. Just before the end, all
    /// new calls are refused for a moment, so that none is cut off. The responses of all calls have
    /// been written when this returns, unless their callers do not read them within the grace
    /// period.
    pub async fn stop(self) {
        let core = &self.core;
        let grace = core.settings.stop_grace;
        let (start, started_at) = (Instant::now(), core.now());
        let plan = StopPlan::new(started_at, grace);
        let close_at = start + Duration::from(plan.calls_end.since(started_at));
        let earliest_close = (start + Duration::from(MIN_STOP_TIME)).min(close_at);
        let exit_at = start + Duration::from(grace.saturating_sub(EXIT_MARGIN));
        core.begin_stop(plan);
        let active = core.with_state(|state, _| state.active_calls);
        log::info!(
            event = EventKind::NodeStopping.number(),
            node = core.node().as_str(),
            active = active;
            "shutting down"
        );
        self.wait_idle(earliest_close, close_at).await;
        core.close();
        let refusal_end = (Instant::now() + REFUSAL_TIME).min(exit_at);
        self.wait_idle(refusal_end, exit_at).await;
        self.stop.stop();
        let active_work = core.active_work();
        let is_drained = timeout_at(exit_at, join_all(self.call_servers))
            .await
            .is_ok();
        core.log_end(active_work, is_drained);
    }

    /// Waits until no call is in progress, at least until `earliest_end` and at most until `end`.
    async fn wait_idle(&self, earliest_end: Instant, end: Instant) {
        while Instant::now() < end {
            let is_idle = self
                .core
                .with_state(|state, _| state.active_calls == 0 && state.active_streams == 0);
            if is_idle && Instant::now() >= earliest_end {
                return;
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Starts the background tasks: store feeds, engine reports, peer exchange, and periodic work.
    fn spawn_tasks(&self) {
        let core = self.core.clone();
        for (name, area) in [
            ("view config", ViewArea::Config),
            ("view targets", ViewArea::Targets),
        ] {
            let core = core.clone();
            spawn_supervised(name, move || ViewPoller::new(core.clone(), area).run());
        }
        let shared = core.clone();
        spawn_supervised("engines", move || EnginePoller::new(shared.clone()).run());
        let shared = core.clone();
        spawn_supervised("peers", move || PeerClient::new(shared.clone()).run());
        let shared = core.clone();
        spawn_supervised("loads", move || LoadPusher::new(shared.clone()).run());
        let shared = core.clone();
        spawn_supervised("facts", move || FactPusher::new(shared.clone()).run());
        let shared = core.clone();
        spawn_supervised("ticks", move || run_ticks(shared.clone()));
        let reloader = self.reloader.clone();
        spawn_supervised("settings", move || watch_settings(reloader.clone()));
    }
}

/// Passes time to the state at regular intervals.
async fn run_ticks(core: Arc<GatewayCore>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        core.on_tick();
    }
}

/// Reads the settings at regular intervals, and does the upkeep of the metrics.
async fn watch_settings(reloader: Arc<SettingsReloader>) {
    let mut ticks = interval(SETTINGS_INTERVAL);
    loop {
        ticks.tick().await;
        MetricsExport::shared().run_upkeep();
        reloader.request("file changed");
    }
}

/// Serves the listening sockets for callers, readiness checks, peers and metrics; returns the tasks
/// that serve callers and peers.
fn serve_listeners(
    listeners: GatewayListeners,
    core: &Arc<GatewayCore>,
    stop: &StopSignal,
) -> [JoinHandle<()>; 2] {
    let caller_limits = ServerLimits::new()
        .with_connections(MAX_CALLER_CONNECTIONS)
        .with_header_limits(HEADER_BYTES, HEADER_TIMEOUT);
    let settings = &core.settings;
    let ready = ReadyHandler::new(core.clone());
    ListenerTask::new("ready listener", settings.ready_address)
        .with_server(listeners.ready)
        .spawn(ready, stop);
    // Forwarded calls have the head of the caller and a ticket.
    let peer_limits =
        ServerLimits::new().with_header_limits(HEADER_BYTES + TICKET_BYTES, HEADER_TIMEOUT);
    let peers = PeerHandler::new(core.clone());
    let peer_server = ListenerTask::new("peer listener", settings.peer_address)
        .with_server(listeners.peers)
        .with_limits(peer_limits)
        .spawn(peers, stop);
    if let Some(address) = settings.metrics_address {
        // Callers don't wait for the port of the metrics.
        ListenerTask::new("metrics listener", address).spawn(MetricsHandler, stop);
    }
    let callers = CallHandler::new(core.clone());
    let caller_server = ListenerTask::new("caller listener", settings.caller_address)
        .with_server(listeners.callers)
        .with_limits(caller_limits)
        .spawn(callers, stop);
    [caller_server, peer_server]
}
