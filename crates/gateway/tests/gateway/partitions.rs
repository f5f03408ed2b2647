//! Gateways that lose the path to targets which others reach.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use yare::parameterized;

use crate::support::{CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, until};

/// Number of targets of the service.
const TARGETS: usize = 3;
/// Longest time until a gateway serves calls by a peer.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// What becomes of new connections to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutMode {
    Refused,
    Silent,
}

/// Addresses that no target answers at.
struct CutAddresses {
    addresses: Vec<SocketAddr>,
    /// Listeners whose queues of new connections are full.
    _listeners: Vec<TcpListener>,
    _queued: Vec<TcpStream>,
}

impl CutAddresses {
    async fn new(mode: CutMode) -> Self {
        let mut cut = Self {
            addresses: Vec::new(),
            _listeners: Vec::new(),
            _queued: Vec::new(),
        };
        for _ in 0..TARGETS {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let listener = socket.listen(1).unwrap();
            let address = listener.local_addr().unwrap();
            cut.addresses.push(address);
            if mode == CutMode::Refused {
                continue;
            }
            let patience = Duration::from_millis(100);
            while let Ok(stream) = tokio::time::timeout(patience, TcpStream::connect(address)).await
            {
                cut._queued.push(stream.unwrap());
            }
            cut._listeners.push(listener);
        }
        cut
    }
}

/// Two gateways that know each other, of which the first has no path to the targets of `service`.
struct CutSetup {
    targets: Vec<FakeTarget>,
    cut: Gateway,
    helper: Gateway,
    _addresses: CutAddresses,
}

impl CutSetup {
    async fn start(service: &'static str, target: TargetMode, mode: CutMode) -> Self {
        let (store, cut_store) = (FakeStore::new(), FakeStore::new());
        let addresses = CutAddresses::new(mode).await;
        store.put_config(1);
        cut_store.put_config(1);
        let mut targets = Vec::new();
        for address in &addresses.addresses {
            let target = FakeTarget::start(service, target).await;
            store.put_target(&target, "ready");
            cut_store.put_target_at(&target, *address);
            targets.push(target);
        }
        let cut = Gateway::start_ready(&cut_store).await;
        let helper = Gateway::start_ready(&store).await;
        let setup = Self {
            targets,
            cut,
            helper,
            _addresses: addresses,
        };
        setup.introduce().await;
        setup
    }

    async fn introduce(&self) {
        let (core, peer) = (self.cut.server.core(), self.helper.peers);
        core.with_state(|state, _| state.peers.add_hints(&[peer]));
        for gateway in [&self.cut, &self.helper] {
            until("the gateways know each other", || {
                let core = gateway.server.core();
                core.with_state(|state, now| state.peers.alive(now).len() == 1)
            })
            .await;
        }
    }

    /// Sends calls to the cut gateway until one is served.
    async fn wait_served(&self, path: &str, headers: &str) {
        let start = Instant::now();
        for count in 0.. {
            let headers = format!("x-id: w{count}\r\n{headers}");
            if call(self.cut.callers, path, &headers, "").await.status == 200 {
                return;
            }
            assert!(start.elapsed() < DETECTION_TIME, "no call was served");
        }
    }

    /// Number of runs of the call with this identifier.
    fn runs(&self, id: &str) -> usize {
        let line = format!("x-id: {id}\r\n");
        let heads = self.targets.iter().flat_map(FakeTarget::calls);
        heads.filter(|head| head.contains(&line)).count()
    }
}

fn is_whole(answer: &CallerResponse) -> bool {
    answer.status == 200 && answer.text.ends_with("0\r\n\r\n")
}

// Guards against callers of a gateway without a path to targets that are refused, although its peers reach them.
#[parameterized(refused = { CutMode::Refused }, silent = { CutMode::Silent })]
#[test_macro(tokio::test)]
async fn calls_at_a_gateway_without_a_path_are_served_by_a_peer(mode: CutMode) {
    let setup = CutSetup::start("app", TargetMode::Answer, mode).await;
    setup.wait_served("/read/1", "").await;
    for count in 0..20 {
        let id = format!("o{count}");
        let start = Instant::now();
        let answer = call(
            setup.cut.callers,
            "/once/1",
            &format!("x-id: {id}\r\n"),
            "body",
        )
        .await;
        assert_eq!((answer.status, setup.runs(&id)), (200, 1), "{id}");
        assert!(start.elapsed() < Duration::from_millis(400));
    }
}

// The same with streams, whose events have to arrive whole, once and in order.
#[parameterized(refused = { CutMode::Refused }, silent = { CutMode::Silent })]
#[test_macro(tokio::test)]
async fn streams_at_a_gateway_without_a_path_are_relayed_by_a_peer(mode: CutMode) {
    let setup = CutSetup::start("pool", TargetMode::Stream(40), mode).await;
    setup.wait_served("/stream/1", "x-size: 100\r\n").await;
    for count in 0..5 {
        let id = format!("s{count}");
        let headers = format!("x-id: {id}\r\nx-size: 100\r\n");
        let answer = call(setup.cut.callers, "/stream/1", &headers, "").await;
        assert!(is_whole(&answer), "{}", answer.text);
        let lines = answer.text.lines();
        let events: Vec<u64> = lines
            .filter_map(|line| line.strip_prefix("id: "))
            .map(|id| id.parse().unwrap())
            .collect();
        assert_eq!(events, (1..=40).collect::<Vec<_>>());
        assert_eq!(setup.runs(&id), 1);
    }
}
