//! Fake ports, fake targets and callers, and gateways that run in the test process on loopback
//! addresses.

mod fake_ports;
mod fake_target;
mod gateway_process;
mod test_caller;

pub use fake_ports::{FakeStore, LostResponses, ports};
pub use fake_target::{DEADLY_PART, FakeTarget, LeavingSignal, TargetMode, UnframedEnd};
pub use gateway_process::GatewayProcess;
pub use test_caller::{CallerResponse, KeptConnection, call, get, open_stream, post};

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base::{ByteCount, CoreShare, TimeSpan};
use gateway::{GatewayServer, GatewaySettings, RetrySettings};
use tokio::time::{Instant, sleep};

/// Longest time that a test waits for a condition.
const UNTIL_TIMEOUT: Duration = Duration::from_secs(20);

/// A running gateway and its addresses.
pub struct Gateway {
    pub server: GatewayServer,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
}

impl Gateway {
    /// Starts a gateway with an address of its own.
    pub async fn start(store: &Arc<FakeStore>, domain: &str, seeds: Vec<SocketAddr>) -> Self {
        let [callers, ready, peers] = free_addresses();
        let settings = GatewaySettings {
            node: format!("node-{}", callers.ip())
                .replace('.', "-")
                .parse()
                .unwrap(),
            domain: domain.parse().unwrap(),
            capacity: CoreShare(250),
            memory: ByteCount(110 << 20),
            response_limit: GatewaySettings::DEFAULT_RESPONSE_LIMIT,
            caller_address: callers,
            ready_address: ready,
            peer_address: peers,
            metrics_address: None,
            seeds,
            stop_grace: TimeSpan::from_secs(8),
            renewal_interval: TimeSpan::new(1_200),
            retry: RetrySettings {
                ratio: 0.2,
                extra: 100.0,
                window: TimeSpan::from_secs(10),
            },
        };
        let ports = ports(store.clone(), settings.clone());
        let server = GatewayServer::start(settings, ports).await.unwrap();
        Self {
            server,
            callers,
            ready,
            peers,
        }
    }

    /// Starts a gateway and waits until it is ready.
    pub async fn start_ready(store: &Arc<FakeStore>) -> Self {
        let gateway = Self::start(store, "patan", Vec::new()).await;
        gateway.wait_ready().await;
        gateway
    }

    pub async fn wait_ready(&self) {
        until("the gateway is ready", || self.server.core().is_ready()).await;
    }
}

/// Starts a store, one target of `service` for each mode, and a gateway, and waits until the gateway is
/// ready.
pub async fn start_setup(
    service: &'static str,
    modes: &[TargetMode],
) -> (Arc<FakeStore>, Vec<FakeTarget>, Gateway) {
    let store = FakeStore::new();
    store.put_config(1);
    let mut targets = Vec::new();
    for mode in modes {
        let target = FakeTarget::start(service, *mode).await;
        store.put_target(&target, "ready");
        targets.push(target);
    }
    let gateway = Gateway::start_ready(&store).await;
    (store, targets, gateway)
}

/// Waits until `condition` holds; panics with `description` after `UNTIL_TIMEOUT`.
pub async fn until(description: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + UNTIL_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "time-out while waiting until {description}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// Caller, readiness and peer address of one gateway, on a loopback host that no other gateway uses.
fn free_addresses() -> [SocketAddr; 3] {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = IpAddr::from([127, claim_network(), count[2], count[3]]);
    [20_001, 20_002, 20_003].map(|port| SocketAddr::new(host, port))
}

/// Second octet of the loopback addresses of this test process. A listener claims it, as several
/// test processes may run on one machine.
fn claim_network() -> u8 {
    static CLAIM: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let (network, _) = CLAIM.get_or_init(|| {
        (64..=127)
            .find_map(|network| {
                let address = SocketAddr::from(([127, network, 255, 254], 19_999));
                Some((network, TcpListener::bind(address).ok()?))
            })
            .expect("a loopback network is free")
    });
    *network
}
