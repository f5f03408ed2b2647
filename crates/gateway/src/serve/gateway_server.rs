use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TimeSpan};
use node::MetricsExport;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, interval, sleep};
use web::{ConnectionPool, PoolSettings, ServerLimits, StopSignal, WebHandler, WebServer};

use crate::ops::{MetricsHandler, ReadyHandler};
use crate::peer::{LoadPusher, PeerClient, PeerHandler};
use crate::poll::{EnginePoller, ViewPoller};
use crate::relay::CallHandler;
use crate::{GatewayCore, GatewayPorts, GatewaySettings, ViewArea};

/// Longest time to connect to a target: some round trips between failure domains.
const TARGET_CONNECT_WAIT: TimeSpan = TimeSpan::new(250);
/// Longest time to connect to a peer.
const PEER_CONNECT_WAIT: TimeSpan = TimeSpan::new(300);
/// Connections of callers at once; targets, peers and the store need the rest of some 3,900.
const CALLER_CONNECTIONS: usize = 2_400;
/// Time between two looks at waiting calls and old beliefs.
const TICK: Duration = Duration::from_millis(50);
/// Time between two looks at the settings file, which may change without a signal, and between two
/// sums of the metrics.
const SETTINGS_TICK: Duration = Duration::from_secs(2);
/// Least time from a stop signal to the end: the load balancer notices after two misses of a second
/// each and new connections arrive until then.
const STOP_LEAST: TimeSpan = TimeSpan::new(3_500);
/// Time before the end of the grace at which calls have to be over.
const STOP_MARGIN: TimeSpan = TimeSpan::new(900);
/// Time for which arriving calls are refused before the process ends; answers reach callers in it.
const CLOSE_WAIT: Duration = Duration::from_millis(400);

/// A listener could not be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct StartFailure {
    address: SocketAddr,
    source: io::Error,
}

/// A running gateway.
pub struct GatewayServer {
    core: Arc<GatewayCore>,
    stop: StopSignal,
}

impl GatewayServer {
    /// Opens all listeners and starts to serve.
    ///
    /// # Errors
    /// If a listener can't be opened.
    pub async fn start(
        settings: GatewaySettings,
        ports: GatewayPorts,
    ) -> Result<Self, StartFailure> {
        MetricsExport::shared();
        let targets = PoolSettings::new().with_connect_wait(TARGET_CONNECT_WAIT);
        let peers = PoolSettings::new().with_connect_wait(PEER_CONNECT_WAIT);
        let core = GatewayCore::new(settings, ports, rand::random())
            .with_pools(ConnectionPool::new(targets), ConnectionPool::new(peers));
        let server = Self {
            core: Arc::new(core),
            stop: StopSignal::new(),
        };
        server.listen().await?;
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
        Ok(server)
    }

    /// State of the node.
    pub fn core(&self) -> &Arc<GatewayCore> {
        &self.core
    }

    /// Reads the settings again.
    pub fn reload(&self, cause: &str) {
        reload_settings(&self.core, cause);
    }

    /// Stops taking callers, lets calls end and returns when the process may exit.
    ///
    /// New calls are served as long as they can be expected to end in time. Then they are refused
    /// for a moment, so that no call is cut off that arrives just before the end.
    pub async fn stop(self) {
        let core = &self.core;
        let grace = core.settings.stop_grace.saturating_sub(STOP_MARGIN);
        let end = Instant::now() + Duration::from(grace);
        let least = (Instant::now() + Duration::from(STOP_LEAST)).min(end);
        core.begin_stop(core.now() + grace);
        let active = core.with_state(|state, _| state.active_calls);
        log::info!(
            event = EventKind::NodeStopping.number(),
            node = core.node().as_str(),
            active = active;
            "takes no new callers"
        );
        self.wait_idle(least, end).await;
        core.close();
        let last = Instant::now() + CLOSE_WAIT;
        self.wait_idle(last, last).await;
        self.stop.stop();
        let (active, streams) =
            core.with_state(|state, _| (state.active_calls, state.active_streams));
        log::info!(
            event = EventKind::NodeStopped.number(),
            node = core.node().as_str(),
            active = active,
            streams = streams;
            "ends"
        );
    }

    /// Waits until no call is under way, at least until `least` and at most until `end`.
    async fn wait_idle(&self, least: Instant, end: Instant) {
        while Instant::now() < end {
            let is_idle = self
                .core
                .with_state(|state, _| state.active_calls == 0 && state.active_streams == 0);
            if is_idle && Instant::now() >= least {
                return;
            }
            sleep(TICK).await;
        }
    }

    async fn listen(&self) -> Result<(), StartFailure> {
        let settings = &self.core.settings;
        let callers = ServerLimits::new()
            .with_connections(CALLER_CONNECTIONS)
            .with_header(64 << 10, TimeSpan::from_secs(30));
        let inner = ServerLimits::new();
        let core = &self.core;
        self.open(
            settings.caller_address,
            callers,
            CallHandler::new(core.clone()),
        )
        .await?;
        self.open(
            settings.ready_address,
            inner,
            ReadyHandler::new(core.clone()),
        )
        .await?;
        self.open(settings.peer_address, inner, PeerHandler::new(core.clone()))
            .await?;
        if let Some(address) = settings.metrics_address {
            self.open(address, inner, MetricsHandler).await?;
        }
        Ok(())
    }

    async fn open(
        &self,
        address: SocketAddr,
        limits: ServerLimits,
        handler: impl WebHandler,
    ) -> Result<(), StartFailure> {
        let bound = WebServer::bind(address).await;
        let server = bound
            .context(StartFailureSnafu { address })?
            .with_limits(limits);
        tokio::spawn(server.serve(Arc::new(handler), self.stop.clone()));
        Ok(())
    }

    fn spawn_tasks(&self) {
        for area in [ViewArea::Config, ViewArea::Targets] {
            tokio::spawn(ViewPoller::new(self.core.clone(), area).run());
        }
        tokio::spawn(EnginePoller::new(self.core.clone()).run());
        tokio::spawn(PeerClient::new(self.core.clone()).run());
        tokio::spawn(LoadPusher::new(self.core.clone()).run());
        let core = self.core.clone();
        tokio::spawn(async move {
            let mut ticks = interval(TICK);
            loop {
                ticks.tick().await;
                core.on_tick();
            }
        });
        let core = self.core.clone();
        tokio::spawn(async move {
            let mut ticks = interval(SETTINGS_TICK);
            loop {
                ticks.tick().await;
                MetricsExport::shared().keep_up();
                reload_settings(&core, "file changed");
            }
        });
    }
}

/// Puts changed seeds and budgets in force; addresses need a restart.
fn reload_settings(core: &GatewayCore, cause: &str) {
    let settings = match core.ports.settings.read() {
        Ok(settings) => settings,
        Err(reason) => {
            core.log_settings_failure(&reason);
            return;
        }
    };
    if !core.with_state(|state, _| state.apply_settings(&settings)) {
        return;
    }
    log::info!(
        event = EventKind::SettingsReloaded.number(),
        node = core.node().as_str(),
        seeds = settings.seeds.len(),
        cause = cause;
        "seeds and budgets in force"
    );
}
