//! Gateways that lose the path to targets which others reach.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{CoreShare, TimeSpan};
use gateway::{PeerInfo, PeerPaths, StopPlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;
use yare::parameterized;

use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, open_stream, start_setup,
    until,
};

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
    cut_store: Arc<FakeStore>,
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
            cut_store,
            _addresses: addresses,
        };
        setup.introduce(&setup.helper).await;
        setup
    }

    /// Lets the cut gateway and a peer know each other.
    async fn introduce(&self, peer: &Gateway) {
        let (core, address) = (self.cut.server.core(), peer.peers);
        core.with_state(|state, _| state.peers.add_hints(&[address]));
        for (gateway, other) in [(&self.cut, peer), (peer, &self.cut)] {
            let core = gateway.server.core();
            until("the gateways know each other", || {
                core.with_state(|state, now| state.peers.alive(now).contains(&other.peers))
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

// Guards against forwarded calls that run on after their caller has left the gateway that took them.
#[parameterized(
    plain = { "app", "/once/1", TargetMode::Answer, TargetMode::Hang },
    stream = { "pool", "/stream/1", TargetMode::Stream(1), TargetMode::SlowStream(400, 20) },
)]
#[test_macro(tokio::test)]
async fn a_forwarded_call_ends_when_its_caller_leaves(
    service: &'static str,
    path: &'static str,
    quick: TargetMode,
    slow: TargetMode,
) {
    let setup = CutSetup::start(service, quick, CutMode::Refused).await;
    setup.wait_served(path, "x-size: 900\r\n").await;
    setup
        .targets
        .iter()
        .for_each(|target| target.set_mode(slow));
    let headers = "x-id: left\r\nx-size: 900\r\n";
    let caller = open_stream(setup.cut.callers, path, headers, "").await;
    let open = || {
        setup
            .targets
            .iter()
            .map(FakeTarget::open_calls)
            .sum::<usize>()
    };
    until("the call runs", || open() == 1 && setup.runs("left") == 1).await;
    drop(caller);
    let left_at = Instant::now();
    until("the call has ended", || open() == 0).await;
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

// Guards against gateways that forward a call to one another, and that hold it although none can send it.
#[tokio::test]
async fn a_call_that_no_gateway_can_send_is_refused_at_once() {
    let setup = CutSetup::start("app", TargetMode::Answer, CutMode::Refused).await;
    let helper = Gateway::start_ready(&setup.cut_store).await;
    setup.introduce(&helper).await;
    let sound = setup.helper.server.core();
    sound.begin_stop(StopPlan::new(sound.now(), TimeSpan::from_secs(8)));
    sound.close();
    let gateways = [&setup.cut, &helper];
    for gateway in gateways {
        let core = gateway.server.core();
        for count in 0..5 {
            call(
                gateway.callers,
                "/read/1",
                &format!("x-id: w{count}\r\n"),
                "",
            )
            .await;
        }
        assert_eq!(
            core.with_state(|state, _| state.paths.lost_services().len()),
            1
        );
    }
    for (count, gateway) in gateways.into_iter().enumerate() {
        let id = format!("u{count}");
        let start = Instant::now();
        let headers = format!("x-id: {id}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!((answer.status, setup.runs(&id)), (503, 0));
        assert!(
            answer.text.contains("targets_unreachable"),
            "{}",
            answer.text
        );
        assert!(start.elapsed() < Duration::from_millis(100));
    }
}

// Guards against a gateway that keeps forwarding calls once it reaches targets again.
#[tokio::test]
async fn calls_are_sent_directly_once_the_path_is_back() {
    let setup = CutSetup::start("app", TargetMode::Answer, CutMode::Silent).await;
    setup.wait_served("/read/1", "").await;
    let lost = || {
        let core = setup.cut.server.core();
        core.with_state(|state, _| state.paths.lost_services().len())
    };
    assert_eq!(lost(), 1);
    for target in &setup.targets {
        setup.cut_store.put_target(target, "ready");
    }
    until("the path is back", || lost() == 0).await;
    let helper = setup.helper.server.core();
    helper.begin_stop(StopPlan::new(helper.now(), TimeSpan::from_secs(8)));
    helper.close();
    let answer = call(setup.cut.callers, "/once/1", "x-id: d1\r\n", "").await;
    assert_eq!((answer.status, setup.runs("d1")), (200, 1));
}

/// What a peer of the test does with a forwarded call.
#[derive(Clone, Copy, Debug)]
enum PeerMode {
    /// Closes the connection after reading the call.
    Close,
    /// Answers as earlier builds do.
    Unknown,
    /// Closes the connection within its response.
    Truncate,
    /// Refuses the call as overloaded.
    Refuse,
}

/// Handles one request at a peer that misbehaves; digests get no answer.
async fn serve_peer(mut stream: TcpStream, mode: PeerMode) {
    let mut request = [0; 4_096];
    let length = stream.read(&mut request).await.unwrap_or_default();
    if !request[..length].starts_with(b"POST /peer/calls ") {
        return std::future::pending().await;
    }
    let response: &[u8] = match mode {
        PeerMode::Truncate => {
            b"HTTP/1.1 200 OK\r\nagatemoor-outcome: answered\r\ncontent-length: 9\r\n\r\nabc"
        }
        PeerMode::Refuse => {
            b"HTTP/1.1 503 Full\r\nagatemoor-outcome: overloaded\r\ncontent-length: 0\r\n\r\n"
        }
        PeerMode::Close => b"",
        PeerMode::Unknown => b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
    };
    stream.write_all(response).await.unwrap();
}

/// Starts a peer that misbehaves; returns its address.
async fn start_peer(mode: PeerMode) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_peer(stream, mode));
        }
    });
    address
}

/// Makes a gateway lose its path, and know a peer that may have one.
fn lose_path(gateway: &Gateway, peer: SocketAddr) {
    gateway.server.core().with_state(|state, now| {
        for name in ["t-1", "t-2", "t-3"] {
            let (service, name) = ("app".parse().unwrap(), name.parse().unwrap());
            state
                .paths
                .record_failure(now, &service, &name, now, TARGETS);
        }
        let peer = PeerInfo {
            address: peer,
            node: "peer".parse().unwrap(),
            domain: "patan".parse().unwrap(),
            capacity: CoreShare(250),
            is_waiting: false,
            is_stopping: false,
            paths: PeerPaths {
                accepts_calls: true,
                lost: Vec::new(),
            },
        };
        state.peers.record_heard(now, peer);
    });
}

/// Sends a call to a gateway without a path whose only peer misbehaves.
async fn call_by_peer(mode: PeerMode) -> CallerResponse {
    let store = FakeStore::new();
    let addresses = CutAddresses::new(CutMode::Refused).await;
    store.put_config(1);
    for address in &addresses.addresses {
        let target = FakeTarget::start("app", TargetMode::Answer).await;
        store.put_target_at(&target, *address);
    }
    let gateway = Gateway::start_ready(&store).await;
    lose_path(&gateway, start_peer(mode).await);
    call(gateway.callers, "/once/1", "x-id: p1\r\n", "").await
}

// Guards against a caller who is told that a call has not run, as a peer refused its second attempt.
#[tokio::test]
async fn a_peer_that_refuses_a_second_attempt_does_not_hide_the_first() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Hang]).await;
    // No trial brings the path back.
    targets[0].crash_after_calls();
    let callers = gateway.callers;
    let response = tokio::spawn(async move { call(callers, "/read/1", "x-id: h1\r\n", "").await });
    until("the call runs", || targets[0].open_calls() == 1).await;
    // The first attempt times out after 800 ms, and a peer that answers no digest is passed over after 600 ms.
    sleep(Duration::from_millis(500)).await;
    lose_path(&gateway, start_peer(PeerMode::Refuse).await);
    assert_eq!(response.await.unwrap().status, 502);
}

// Guards against callers who are told that a call has not run although a peer may have run it, and the other way
// round.
#[parameterized(
    lost_answer = { PeerMode::Close, 502 },
    broken_answer = { PeerMode::Truncate, 502 },
    earlier_build = { PeerMode::Unknown, 503 },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_a_peer_loses_leaves_open_whether_the_call_ran(mode: PeerMode, status: u16) {
    assert_eq!(call_by_peer(mode).await.status, status);
}

// Guards against the last node of a failure domain that reaches targets and gets the calls of all others there.
#[parameterized(
    half = { 4, 4, 0 },
    quarter = { 2, 6, 0 },
    one_of_nine = { 1, 8, 4 },
    none = { 0, 8, 4 },
)]
#[test_macro(tokio::test)]
async fn few_nodes_with_a_path_share_forwarded_calls_with_other_domains(
    sound: u16,
    cut: u16,
    remote: usize,
) {
    let store = FakeStore::new();
    store.put_config(1);
    let gateway = Gateway::start_ready(&store).await;
    let service = "app".parse().unwrap();
    let picked = gateway.server.core().with_state(|state, now| {
        let mut add = |port: u16, domain: &str, lost: &[&str]| {
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let peer = PeerInfo {
                address,
                node: format!("peer-{port}").parse().unwrap(),
                domain: domain.parse().unwrap(),
                capacity: CoreShare(250),
                is_waiting: false,
                is_stopping: false,
                paths: PeerPaths {
                    accepts_calls: true,
                    lost: lost.iter().map(|name| name.parse().unwrap()).collect(),
                },
            };
            state.peers.record_heard(now, peer);
        };
        (0..sound).for_each(|at| add(1 + at, "patan", &[]));
        (0..cut).for_each(|at| add(100 + at, "patan", &["app"]));
        (0..4).for_each(|at| add(200 + at, "balaju", &[]));
        let picks = (0..500).filter_map(|_| state.pick_helper(now, &service, &[]));
        picks.map(|address| address.port()).collect::<BTreeSet<_>>()
    });
    let expected = (1..=sound).chain((200..204).take(remote));
    assert_eq!(picked, expected.collect());
}

// Guards against callers who are refused as several targets are dead, which two gateways in a row take for a lost
// path.
#[tokio::test]
async fn calls_reach_the_last_target_among_dead_ones() {
    let store = FakeStore::new();
    store.put_config(1);
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    let dead = CutAddresses::new(CutMode::Refused).await;
    for address in dead.addresses.iter().chain(&dead.addresses) {
        let gone = FakeTarget::start("app", TargetMode::Answer).await;
        store.put_target_at(&gone, *address);
    }
    store.put_target(&target, "ready");
    for gateway in [&first, &second] {
        let core = gateway.server.core();
        until("the targets are known", || {
            core.with_state(|state, _| state.balancer.targets().len() == 2 * TARGETS + 1)
        })
        .await;
    }
    for count in 0..20 {
        let gateway = [&first, &second][count % 2];
        let headers = format!("x-id: l{count}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!(answer.status, 200, "{count}: {}", answer.text);
    }
}
