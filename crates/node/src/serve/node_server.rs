use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use base::{DomainName, EventKind, NodeName, TimeSpan};
use calls::{ProcessId, SigningKey};
use fleet::RevisionSettings;
use sched::RoutePolicy;
use schema::settings::NodeSettings;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{MissedTickBehavior, interval};
use web::{
    ConnectionPool, PoolSettings, ServerLimits, StopSignal, WebServer, is_transient_bind_error,
};
use xtra::Mailbox;

use super::NodeHandle;
use crate::{
    AddressBook, CallLimits, CallMetrics, CallerApi, ClaimActor, ClaimHandle, ClaimSettings,
    EngineClient, EventJournal, FleetActor, FleetHandle, FleetParts, HttpEngine, HttpProbe,
    NodeCore, NodeIdentity, OpsHandler, PauseDetector, PeerClient, PeerHandler, PeerKey,
    PeerMessage, PlatformClient, RelayContext, ResumeKey, RouteCache, SchedActor, SchedHandle,
    SchedOutput, SystemClock, ViewCell, WorkGate,
};

/// Time between two ticks of the scheduling actor.
const SCHED_TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of the fleet actor.
const FLEET_TICK: Duration = Duration::from_millis(50);
/// Maximum number of outputs of the scheduling actor that wait to be carried out.
const OUTPUT_LIMIT: usize = 1_024;
/// Maximum number of calls from other failure domains that a node runs at the same time.
const OVERFLOW_LIMIT: usize = 64;
/// Number of bytes in a mebibyte.
const MEBIBYTE: usize = 1 << 20;

/// Creates the routing policy of a node.
pub type PolicyFactory = Box<dyn FnOnce(&NodeIdentity) -> Box<dyn RoutePolicy> + Send>;

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address in the settings can't be parsed.
    #[snafu(display("`{text}` is no address"))]
    Address {
        /// Text of the setting.
        text: String,
    },
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl StartError {
    /// Whether the address may become available, as when a predecessor still uses it.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Address { .. } => false,
            Self::Listen { source, .. } => is_transient_bind_error(source),
        }
    }
}

/// A node whose listeners are bound but which does not serve yet.
pub struct NodeServer {
    settings: NodeSettings,
    callers: WebServer,
    operators: WebServer,
    peers: WebServer,
}

impl NodeServer {
    /// Binds the listeners of the settings; port 0 lets the system choose a port.
    ///
    /// # Errors
    /// If an address is invalid or in use.
    pub async fn bind(settings: NodeSettings) -> Result<Self, StartError> {
        let callers = bind(&settings.callers.listen).await?;
        let operators = bind(&settings.operators.listen).await?;
        let peers = bind(&settings.peers.listen).await?;
        let section = &settings.callers;
        let limits = ServerLimits::new()
            .with_connections(to_usize(section.connections.get()))
            .with_header_limits(
                // A head beyond this limit gets a response without an error object, so the limit is
                // twice that of the settings.
                to_usize(section.header_limit).saturating_mul(2),
                millis(section.read_timeout_ms),
            );
        Ok(Self {
            callers: callers.with_limits(limits),
            operators,
            peers,
            settings,
        })
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Starts the actors and listeners as tasks and returns the handle of the running node.
    ///
    /// # Errors
    /// If the address of the platform or of a seed can't be parsed.
    pub fn start(self, make_policy: PolicyFactory) -> Result<NodeHandle, StartError> {
        let clock = SystemClock::new();
        let identity = NodeIdentity {
            node: self.settings.node.name.clone(),
            domain: self.settings.node.domain.clone(),
            incarnation: clock.new_incarnation(),
        };
        let platform = parse_address(&self.settings.platform.address)?;
        let seeds = parse_seeds(&self.settings.peers.seeds)?;
        let journal = self.make_journal(clock, &identity.node, &identity.domain);
        let secret = self.settings.peers.key.as_str();
        let pool = ConnectionPool::new(PoolSettings::new());
        let book = AddressBook::new();
        let peers = PeerClient::new(
            pool.clone(),
            book,
            PeerKey::new(secret),
            identity.node.clone(),
            identity.incarnation,
            journal.clone(),
        );
        let section = &self.settings.platform;
        let (prefix, service) = (&section.prefix, &section.service);
        let platform = PlatformClient::new(pool.clone(), platform, prefix, service)
            .with_target_service(&section.target_service);
        let engine: Arc<dyn EngineClient> = Arc::new(HttpEngine::new(pool.clone(), clock));
        let view = ViewCell::new();
        let mut tasks = Vec::new();

        let (output, outputs) = mpsc::channel(OUTPUT_LIMIT);
        let policy = make_policy(&identity);
        let sched = SchedActor::new(clock, journal.clone(), engine.clone(), policy, output);
        let sched = SchedHandle::new(xtra::spawn_tokio(sched, Mailbox::unbounded()));

        let own = ProcessId::new(identity.node.clone(), identity.incarnation);
        let ticket_key = SigningKey::new(secret.as_bytes());
        let retained = to_usize(self.settings.callers.retained_answers_mb.get()) * MEBIBYTE;
        let claims = ClaimActor::new(
            clock,
            journal.clone(),
            own.clone(),
            ticket_key.clone(),
            ClaimSettings::new(retained)
                .with_key_lifetime(millis(self.settings.callers.key_lifetime_ms)),
        );
        let claims = xtra::spawn_tokio(claims, Mailbox::unbounded());
        let claims = ClaimHandle::new(claims, own, ticket_key, peers.clone());

        let (superseded_sender, mut superseded_receiver) = mpsc::channel(1);
        let fleet = FleetActor::new(
            FleetParts {
                identity: identity.clone(),
                clock,
                journal: journal.clone(),
                peers: peers.clone(),
                platform,
                engine: engine.clone(),
                probe: Arc::new(HttpProbe::new(engine.clone(), pool.clone())),
                view: view.clone(),
                sched: sched.clone(),
                claims: claims.clone(),
                seeds,
                superseded: superseded_sender,
            },
            RevisionSettings {
                watch_wait: millis(self.settings.platform.wait_ms),
                ..RevisionSettings::default()
            },
        );
        let fleet = FleetHandle::new(xtra::spawn_tokio(fleet, Mailbox::unbounded()));
        claims.set_fleet(fleet.clone());

        let pause = PauseDetector::new(clock);
        let relay = Arc::new(RelayContext {
            pause: pause.clone(),
            clock,
            journal: journal.clone(),
            engine,
            sched: sched.clone(),
            view: view.clone(),
            metrics: CallMetrics::new(&identity.node),
            resume: ResumeKey::new(secret),
        });
        let core = Arc::new(NodeCore {
            identity: identity.clone(),
            clock,
            journal: journal.clone(),
            view,
            routes: RouteCache::new(),
            relay,
            claims,
            fleet: fleet.clone(),
            peers: peers.clone(),
            pool,
            limits: CallLimits::new(&self.settings.callers),
            gate: WorkGate::new(),
            overflow: Arc::new(Semaphore::new(OVERFLOW_LIMIT)),
            pause,
            requests: AtomicU64::new(0),
        });
        tasks.push(tokio::spawn(tick_sched(sched)));
        tasks.push(tokio::spawn(tick_fleet(core.clone())));
        tasks.push(tokio::spawn(send_outputs(core.clone(), outputs)));
        let addresses = [
            self.callers.address(),
            self.operators.address(),
            self.peers.address(),
        ];
        let stop = [StopSignal::new(), StopSignal::new(), StopSignal::new()];
        let api = CallerApi::new(core.clone());
        let peer_handler = PeerHandler::new(core.clone(), api.clone(), PeerKey::new(secret));
        let callers = tokio::spawn(self.callers.serve(Arc::new(api), stop[0].clone()));
        let operators = OpsHandler::new(core.clone());
        tasks.push(tokio::spawn(
            self.operators.serve(Arc::new(operators), stop[1].clone()),
        ));
        tasks.push(tokio::spawn(
            self.peers.serve(Arc::new(peer_handler), stop[2].clone()),
        ));
        let [caller, operator, peer] = addresses;
        let detail = format!("callers {caller}, operators {operator}, peers {peer}");
        journal.record(EventKind::NodeStarted, detail);
        let superseded = StopSignal::new();
        let signal = superseded.clone();
        tasks.push(tokio::spawn(async move {
            if superseded_receiver.recv().await.is_some() {
                signal.stop();
            }
        }));
        Ok(NodeHandle::new(
            core, addresses, stop, callers, tasks, superseded,
        ))
    }

    fn make_journal(
        &self,
        clock: SystemClock,
        node: &NodeName,
        domain: &DomainName,
    ) -> EventJournal {
        let limit = to_usize(self.settings.node.events);
        EventJournal::new(clock, node.clone(), domain.clone(), limit)
    }
}

/// Passes time to the scheduling actor at regular intervals.
async fn tick_sched(sched: SchedHandle) {
    let mut ticks = interval(SCHED_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sched.tick();
    }
}

/// Passes time to the fleet actor at regular intervals, until that actor has stopped.
async fn tick_fleet(core: Arc<NodeCore>) {
    let mut ticks = interval(FLEET_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // The reply comes after the actor has handled every earlier message, so the view is up to
        // date when the tick is noted.
        if core.fleet.tick().await.is_none() {
            return;
        }
        core.pause.record_tick();
    }
}

/// Carries out the outputs of the scheduling actor.
async fn send_outputs(core: Arc<NodeCore>, mut outputs: mpsc::Receiver<SchedOutput>) {
    while let Some(output) = outputs.recv().await {
        match output {
            SchedOutput::Probe(target) => core.fleet.probe(target),
            SchedOutput::Crash(message) => {
                core.send_to_domain(|| PeerMessage::Crash(message.clone()))
                    .await
            }
            SchedOutput::Publish(digest) => core.fleet.set_in_flight(digest.targets),
        }
    }
}

async fn bind(text: &str) -> Result<WebServer, StartError> {
    let address = parse_address(text)?;
    WebServer::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn parse_address(text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address {
        text: text.to_owned(),
    })
}

/// Parses the comma-separated addresses of the seed nodes.
fn parse_seeds(text: &str) -> Result<Vec<SocketAddr>, StartError> {
    let seeds = text
        .split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty());
    seeds.map(parse_address).collect()
}

/// Converts a number, with `usize::MAX` for numbers out of range.
fn to_usize(number: impl TryInto<usize>) -> usize {
    number.try_into().unwrap_or(usize::MAX)
}

/// Converts a number of milliseconds, with 0 for numbers out of range.
fn millis(number: impl TryInto<u64>) -> TimeSpan {
    TimeSpan::new(number.try_into().unwrap_or(0))
}
