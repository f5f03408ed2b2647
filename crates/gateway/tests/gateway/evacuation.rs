//! Evacuation of failure domains.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use base::{ClockTime, CoreShare, DomainName, NodeName, TargetName, TimeSpan};
use entry::{
    ConfigVersion, DomainPeak, EvacuationRecord, GrantId, GrantTracker, StoreEra, SuspectCall,
    TargetLoad,
};
use facts::FactDigest;
use gateway::{NodeDigest, decode_extended, encode_extended};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::support::{
    CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, post, until,
};

/// Number of events of a stream.
const EVENTS: u64 = 150;

/// Whether a gateway knows that a failure domain is evacuated.
fn is_evacuated(gateway: &Gateway, domain: &str) -> bool {
    let domain: DomainName = domain.parse().unwrap();
    let core = gateway.server.core();
    core.with_state(|state, _| state.evacuations.is_evacuated(&domain))
}

/// Number of targets that a gateway knows.
fn target_count(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, _| state.balancer.targets().len())
}

/// Publishes a configuration and one target of `service` in each of the failure domains `patan` and
/// `balaju`.
async fn start_targets(
    service: &'static str,
    mode: TargetMode,
) -> (Arc<FakeStore>, [FakeTarget; 2]) {
    let store = FakeStore::new();
    store.put_config(1);
    let targets = [
        FakeTarget::start(service, mode).await,
        FakeTarget::start(service, mode).await,
    ];
    store.put_in(&targets[0], "patan", 0);
    store.put_in(&targets[1], "balaju", 0);
    (store, targets)
}

/// Makes `count` calls and returns the last answer.
async fn make_calls(gateway: &Gateway, path: &str, prefix: &str, count: usize) -> CallerResponse {
    let mut last = None;
    for number in 0..count {
        let headers = format!("x-id: {prefix}{number}\r\nx-size: 3\r\n");
        last = Some(call(gateway.callers, path, &headers, "").await);
    }
    last.unwrap()
}

/// Numbers of the events that a caller got.
fn events(answer: &CallerResponse) -> Vec<u64> {
    let lines = answer.text.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

const SERVICES: [(&str, &str, TargetMode); 3] = [
    ("app", "/once/1", TargetMode::Answer),
    ("app", "/read/1", TargetMode::Answer),
    ("pool", "/stream/1", TargetMode::Stream(3)),
];

// Guards against calls to an evacuated failure domain, against one that is not used again after the
// evacuation was taken back, and against callers that wait, or are told that their calls may have
// run, while all domains are evacuated.
#[tokio::test]
async fn evacuated_domains_get_no_calls_until_they_are_taken_back() {
    for (service, path, mode) in SERVICES {
        let (store, targets) = start_targets(service, mode).await;
        let gateway = Gateway::start_ready(&store).await;
        until("the targets are known", || target_count(&gateway) == 2).await;
        store.evacuate("balaju");
        until("the evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        let answer = make_calls(&gateway, path, "a", 6).await;
        assert_eq!(answer.status, 200, "{path}");
        assert!(targets[1].calls().is_empty(), "{path}");
        store.evacuate("patan");
        until("both evacuations are known", || {
            is_evacuated(&gateway, "patan")
        })
        .await;
        let start = Instant::now();
        let refused = make_calls(&gateway, path, "b", 1).await;
        assert!(start.elapsed() < Duration::from_millis(500), "{path}");
        assert_eq!(refused.status, 503, "{path}");
        assert!(refused.text.contains("no_target"), "{}", refused.text);
        assert!(
            refused.text.contains("retry-after: 1\r\n"),
            "{}",
            refused.text
        );
        assert_eq!(targets[0].calls().len(), 6, "{path}");
        store.take_back("balaju");
        until("the evacuation is taken back", || {
            !is_evacuated(&gateway, "balaju")
        })
        .await;
        assert!(is_evacuated(&gateway, "patan"));
        assert_eq!(make_calls(&gateway, path, "c", 3).await.status, 200);
        assert_eq!(targets[1].calls().len(), 3, "{path}");
        store.evacuate("balaju");
        until("the second evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        assert_eq!(make_calls(&gateway, path, "d", 1).await.status, 503);
    }
}

// Guards against an evacuated domain that keeps its generations until they end, and against
// generations that are lost because nothing else has room.
#[tokio::test]
async fn generations_move_off_an_evacuated_domain_or_end_there() {
    for has_room in [true, false] {
        let (store, targets) = start_targets("pool", TargetMode::Stream(EVENTS)).await;
        store.remove_target(&targets[0]);
        let gateway = Gateway::start_ready(&store).await;
        until("the engine is known", || target_count(&gateway) == 1).await;
        let callers = gateway.callers;
        let pending = tokio::spawn(async move {
            call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
        });
        until("the stream runs", || targets[1].open_calls() == 1).await;
        if has_room {
            store.put_in(&targets[0], "patan", 0);
            until("the other engine is known", || target_count(&gateway) == 2).await;
        }
        store.evacuate("balaju");
        let answer = pending.await.unwrap();
        assert_eq!(events(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert!(answer.text.ends_with("0\r\n\r\n"));
        assert_eq!(targets[0].calls().len(), usize::from(has_room));
        assert_eq!(targets[1].calls().len(), 1);
    }
}

// Guards against a node that can't read the store and goes on using a domain that its peers know to
// be evacuated, and against one that never learns that the evacuation was taken back.
#[tokio::test]
async fn a_node_without_the_store_learns_of_evacuations_from_a_peer() {
    let (store, targets) = start_targets("app", TargetMode::Answer).await;
    let first = Gateway::start_ready(&store).await;
    let down = FakeStore::new();
    down.is_down.store(true, Ordering::Relaxed);
    let second = Gateway::start(&down, "balaju", vec![first.peers]).await;
    second.wait_ready().await;
    until("the targets are known", || target_count(&second) == 2).await;
    store.evacuate("balaju");
    let start = Instant::now();
    until("the peer told it", || is_evacuated(&second, "balaju")).await;
    assert!(start.elapsed() < Duration::from_secs(2));
    make_calls(&second, "/once/1", "a", 5).await;
    assert!(targets[1].calls().is_empty());
    store.take_back("balaju");
    until("the peer told that too", || {
        !is_evacuated(&second, "balaju")
    })
    .await;
    sleep(Duration::from_millis(600)).await;
    assert!(!is_evacuated(&first, "balaju"));
    assert!(!is_evacuated(&second, "balaju"));
}

/// Record of the evacuation of a failure domain.
fn record(domain: &str, revision: u64, is_evacuated: bool) -> EvacuationRecord {
    EvacuationRecord {
        domain: domain.parse().unwrap(),
        revision,
        is_evacuated,
        age: TimeSpan::ZERO,
        era: StoreEra::default(),
    }
}

/// Tells a gateway a record, as a digest of a peer does.
fn tell(gateway: &Gateway, record: EvacuationRecord) {
    let core = gateway.server.core();
    let changes = core.with_state(|state, now| state.adopt_evacuations(now, vec![record]));
    core.handle_evacuations(&changes, "test");
}

// Guards against a node that forgets an evacuation once it reaches neither the store nor a peer.
#[tokio::test]
async fn a_node_that_is_cut_off_keeps_what_it_knows() {
    let (store, targets) = start_targets("app", TargetMode::Answer).await;
    let gateway = Gateway::start_ready(&store).await;
    until("the targets are known", || target_count(&gateway) == 2).await;
    store.evacuate("balaju");
    until("the evacuation is known", || {
        is_evacuated(&gateway, "balaju")
    })
    .await;
    store.is_down.store(true, Ordering::Relaxed);
    store.take_back("balaju");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(make_calls(&gateway, "/once/1", "a", 5).await.status, 200);
    assert!(targets[1].calls().is_empty());
    store.is_down.store(false, Ordering::Relaxed);
    until("the evacuation is taken back", || {
        !is_evacuated(&gateway, "balaju")
    })
    .await;
}

// Guards against a node that serves before it knows of an evacuation: one that gets the published
// items from a peer, also from a peer that was only told of the evacuation itself.
#[tokio::test]
async fn a_node_that_starts_knows_of_evacuations_before_it_serves() {
    for is_read in [true, false] {
        let (store, targets) = start_targets("app", TargetMode::Answer).await;
        let first = Gateway::start_ready(&store).await;
        until("the targets are known", || target_count(&first) == 2).await;
        match is_read {
            true => store.evacuate("balaju"),
            false => tell(&first, record("balaju", 50, true)),
        }
        until("the evacuation is known", || is_evacuated(&first, "balaju")).await;
        let down = FakeStore::new();
        down.is_down.store(true, Ordering::Relaxed);
        let second = Gateway::start(&down, "patan", vec![first.peers]).await;
        second.wait_ready().await;
        assert!(is_evacuated(&second, "balaju"));
        make_calls(&second, "/once/1", "a", 5).await;
        assert!(targets[1].calls().is_empty());
    }
}

// Guards against a domain that stays unused: a node could not hear that its evacuation was taken
// back, and its peer read the store only after that and has no record of the domain.
#[tokio::test]
async fn a_peer_corrects_a_node_that_missed_the_take_back() {
    let (store, _targets) = start_targets("app", TargetMode::Answer).await;
    let stale = Gateway::start_ready(&store).await;
    until("the targets are known", || target_count(&stale) == 2).await;
    // Newer than what this node read, and older than what the other node will read.
    tell(&stale, record("balaju", 20, true));
    store.is_down.store(true, Ordering::Relaxed);
    let newer = FakeStore::new();
    for _ in 0..30 {
        newer.put_config(1);
    }
    let _peer = Gateway::start(&newer, "balaju", vec![stale.peers]).await;
    assert!(is_evacuated(&stale, "balaju"));
    until("the peer corrects it", || !is_evacuated(&stale, "balaju")).await;
    sleep(Duration::from_secs(1)).await;
    assert!(!is_evacuated(&stale, "balaju"));
}

// Guards against a generation that is lost although it would have run to its end: its engine must
// not be told to stop it once the engine could no longer be asked to resume it. Guards against
// copies and releases that reach the evacuated domain later than that.
#[tokio::test]
async fn a_generation_is_not_stopped_when_it_could_not_be_resumed() {
    const LONG: u64 = 500;
    for copy_ms in [2_500, 3_500] {
        let (store, targets) = start_targets("pool", TargetMode::Stream(LONG)).await;
        store.remove_target(&targets[0]);
        let gateway = Gateway::start_ready(&store).await;
        until("the engine is known", || target_count(&gateway) == 1).await;
        targets[1].set_copy_time(Duration::from_millis(copy_ms));
        let callers = gateway.callers;
        let pending = tokio::spawn(async move {
            call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
        });
        until("the stream runs", || targets[1].open_calls() == 1).await;
        store.put_in(&targets[0], "patan", 0);
        until("the other engine is known", || target_count(&gateway) == 2).await;
        store.evacuate("balaju");
        until("the evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        let known_at = Instant::now();
        let answer = pending.await.unwrap();
        assert_eq!(events(&answer), (1..=LONG).collect::<Vec<_>>());
        assert!(answer.text.ends_with("0\r\n\r\n"));
        assert_eq!(targets[1].stops(), 0, "{copy_ms}");
        assert!(targets[0].calls().is_empty(), "{copy_ms}");
        let end = known_at + Duration::from_secs(3);
        let arrivals = targets[1].arrivals();
        assert!(arrivals.len() >= 2, "a copy was ordered");
        assert!(arrivals.iter().all(|at| *at < end), "{copy_ms}");
    }
}

// Guards against a domain whose generations are moved off after the evacuation was taken back, and
// against one from which nothing moves when it is evacuated again.
#[tokio::test]
async fn generations_stay_once_the_evacuation_is_taken_back() {
    let (store, targets) = start_targets("pool", TargetMode::Stream(400)).await;
    store.remove_target(&targets[0]);
    let gateway = Gateway::start_ready(&store).await;
    until("the engine is known", || target_count(&gateway) == 1).await;
    let callers = gateway.callers;
    let pending = tokio::spawn(async move {
        call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
    });
    until("the stream runs", || targets[1].open_calls() == 1).await;
    store.evacuate("balaju");
    until("the evacuation is known", || {
        is_evacuated(&gateway, "balaju")
    })
    .await;
    store.take_back("balaju");
    until("it is taken back", || !is_evacuated(&gateway, "balaju")).await;
    // A search for a destination that began before may still end.
    sleep(Duration::from_millis(800)).await;
    store.put_in(&targets[0], "patan", 0);
    until("the other engine is known", || target_count(&gateway) == 2).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(targets[1].stops(), 0);
    store.evacuate("balaju");
    let answer = pending.await.unwrap();
    assert_eq!(events(&answer), (1..=400).collect::<Vec<_>>());
    assert_eq!(targets[1].stops(), 1);
    assert_eq!(targets[0].calls().len(), 1);
}

// Guards against status reports that are requested from engines of an evacuated domain while the
// store is down.
#[tokio::test]
async fn engines_of_an_evacuated_domain_are_not_polled() {
    let (store, targets) = start_targets("pool", TargetMode::Stream(600)).await;
    store.remove_target(&targets[0]);
    let gateway = Gateway::start_ready(&store).await;
    until("the engine is known", || target_count(&gateway) == 1).await;
    let callers = gateway.callers;
    let pending = tokio::spawn(async move {
        call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
    });
    until("the stream runs", || targets[1].open_calls() == 1).await;
    store.is_down.store(true, Ordering::Relaxed);
    until("the engine is polled", || targets[1].arrivals().len() >= 3).await;
    tell(&gateway, record("balaju", 100, true));
    let told_at = Instant::now();
    sleep(Duration::from_millis(1_500)).await;
    let arrivals = targets[1].arrivals();
    let late = arrivals.iter().filter(|at| **at > told_at).count();
    assert_eq!(late, 0);
    assert_eq!(events(&pending.await.unwrap()).len(), 600);
}

/// Answer of a coordinator to a placement request, as it is encoded.
#[derive(Serialize)]
enum PlacementAnswer {
    Granted { target: TargetName, id: GrantId },
}

/// Digest of a node, as the build before this one declares it.
#[derive(Debug, Deserialize)]
#[expect(dead_code, reason = "only decoded")]
struct LastDigest {
    node: NodeName,
    address: std::net::SocketAddr,
    #[serde(rename = "told_at")]
    sent_at: ClockTime,
    version: ConfigVersion,
    targets_revision: u64,
    domain: DomainName,
    capacity: CoreShare,
    is_waiting: bool,
    is_stopping: bool,
    targets_age: Option<TimeSpan>,
    regained_age: Option<TimeSpan>,
    loads: Vec<(TargetName, TargetLoad)>,
    #[serde(rename = "sums")]
    domain_loads: Option<Vec<(TargetName, TargetLoad)>>,
    #[serde(rename = "finished")]
    finished_sources: Vec<TargetName>,
    facts: FactDigest,
    suspects: Vec<SuspectCall>,
    addresses: Vec<std::net::SocketAddr>,
    #[serde(default)]
    domain_nodes: Option<u32>,
    #[serde(default)]
    domain_peaks: Vec<DomainPeak>,
}

/// Digest of a node of the failure domain `patan` with more processor than others.
fn strong_digest(address: std::net::SocketAddr) -> NodeDigest {
    NodeDigest {
        node: "strong".parse().unwrap(),
        address,
        sent_at: ClockTime::new(1_000),
        version: ConfigVersion(1),
        targets_revision: 1,
        domain: "patan".parse().unwrap(),
        capacity: CoreShare(4_000),
        is_waiting: false,
        is_stopping: false,
        targets_age: Some(TimeSpan::ZERO),
        regained_age: None,
        targets_era: StoreEra::default(),
        facts_incomplete: None,
        answers: None,
        lost_services: None,
        refusals: Vec::new(),
        loads: Vec::new(),
        domain_loads: None,
        finished_sources: Vec::new(),
        facts: FactDigest::default(),
        suspects: Vec::new(),
        addresses: Vec::new(),
        domain_nodes: None,
        domain_peaks: Vec::new(),
        domain_paces: Vec::new(),
        evacuations: Vec::new(),
    }
}

// Guards against a call that is sent to an evacuated domain, or that goes round in circles, because
// a coordinator that does not know of the evacuation grants it an engine there.
#[tokio::test]
async fn a_grant_for_an_evacuated_engine_is_declined() {
    let (store, targets) = start_targets("pool", TargetMode::Stream(3)).await;
    let gateway = Gateway::start_ready(&store).await;
    until("the targets are known", || target_count(&gateway) == 2).await;
    store.evacuate("balaju");
    until("the evacuation is known", || {
        is_evacuated(&gateway, "balaju")
    })
    .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tracker = GrantTracker::new(1);
    let name: TargetName = targets[1].name.parse().unwrap();
    let node: NodeName = "n1".parse().unwrap();
    let id = tracker.grant(ClockTime::ZERO, node, name.clone(), TargetLoad::default());
    let answer = rmp_serde::to_vec(&PlacementAnswer::Granted { target: name, id }).unwrap();
    let grants = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = grants.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (answer, count) = (answer.clone(), count.clone());
            tokio::spawn(async move {
                let mut bytes = vec![0; 65_536];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    let is_placement = bytes.starts_with(b"POST /peer/room");
                    if !is_placement {
                        return;
                    }
                    count.fetch_add(1, Ordering::Relaxed);
                    let head = format!(
                        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                        answer.len()
                    );
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(&answer).await;
                }
            });
        }
    });
    let body = encode_extended(strong_digest(address)).unwrap();
    assert_eq!(post(gateway.peers, "/peer/digest", &body).await.status, 200);
    let core = gateway.server.core();
    until("the other node is the coordinator", || {
        core.with_state(|state, now| !state.is_coordinator(now))
    })
    .await;
    assert_eq!(make_calls(&gateway, "/stream/1", "a", 1).await.status, 200);
    assert!(targets[1].calls().is_empty());
    assert_eq!(targets[0].calls().len(), 1);
    let granted = grants.load(Ordering::Relaxed);
    assert!((1..=2).contains(&granted), "{granted} grants");
    store.evacuate("patan");
    until("both evacuations are known", || {
        is_evacuated(&gateway, "patan")
    })
    .await;
    let start = Instant::now();
    assert_eq!(make_calls(&gateway, "/stream/1", "b", 1).await.status, 503);
    assert!(start.elapsed() < Duration::from_millis(500));
}

// Guards against digests that nodes of the build before this one can't decode: they read arrays of
// exactly the fields that they know, and nothing that follows.
#[test]
fn nodes_of_the_last_build_can_read_digests() {
    let mut digest = strong_digest("127.0.0.1:9".parse().unwrap());
    let last_fields = rmp_serde::to_vec(&digest).unwrap();
    // An array of 19 elements: the fields of the last build.
    assert_eq!(&last_fields[..3], [0xdc, 0, 19]);
    assert_eq!(encode_extended(digest.clone()).unwrap(), last_fields);
    digest.evacuations.push(record("balaju", 9, true));
    digest
        .loads
        .push(("e1".parse().unwrap(), TargetLoad::default()));
    digest.domain_peaks.push(DomainPeak {
        domain: "patan".parse().unwrap(),
        nodes: 3,
        age: TimeSpan::ZERO,
    });
    let bytes = encode_extended(digest.clone()).unwrap();
    assert_eq!(decode_extended::<NodeDigest>(&bytes).unwrap(), digest);
    let last: LastDigest = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(last.loads, digest.loads);
    assert_eq!(last.domain_peaks, digest.domain_peaks);
    assert_eq!(&bytes[..3], [0xdc, 0, 19]);
}

// Guards against calls that go on waiting for capacity in a domain from which nothing may be taken,
// until their callers give up.
#[tokio::test]
async fn queued_calls_are_refused_when_the_last_domain_is_evacuated() {
    let (store, targets) = start_targets("pool", TargetMode::Hang).await;
    store.remove_target(&targets[0]);
    let gateway = Gateway::start_ready(&store).await;
    until("the engine is known", || target_count(&gateway) == 1).await;
    let callers = gateway.callers;
    let mut pending = Vec::new();
    // The engine has eight slots.
    for number in 0..8 {
        pending.push(tokio::spawn(async move {
            let headers = format!("x-id: g{number}\r\nx-size: 10\r\n");
            call(callers, "/stream/1", &headers, "").await
        }));
    }
    until("the engine is full", || targets[1].open_calls() == 8).await;
    let queued =
        tokio::spawn(
            async move { call(callers, "/stream/1", "x-id: q1\r\nx-size: 10\r\n", "").await },
        );
    let core = gateway.server.core();
    until("a call waits", || {
        core.with_state(|state, _| state.has_queued_generations())
    })
    .await;
    store.evacuate("balaju");
    let answer = queued.await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.text.contains("no_target"), "{}", answer.text);
    assert_eq!(targets[1].calls().len(), 8);
    for call in pending {
        call.abort();
    }
}

// Guards against a second try that goes to an evacuated domain because the first target failed.
#[tokio::test]
async fn second_tries_do_not_go_to_an_evacuated_domain() {
    for mode in [TargetMode::Fail(500), TargetMode::Refuse, TargetMode::Break] {
        let (store, targets) = start_targets("app", TargetMode::Answer).await;
        targets[0].set_mode(mode);
        let gateway = Gateway::start_ready(&store).await;
        until("the targets are known", || target_count(&gateway) == 2).await;
        store.evacuate("balaju");
        until("the evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        for path in ["/read/1", "/once/1"] {
            make_calls(&gateway, path, "a", 3).await;
        }
        assert!(!targets[0].calls().is_empty(), "{mode:?}");
        assert!(targets[1].calls().is_empty(), "{mode:?}");
    }
}

// Guards against a request for the state of an engine that begins to leave while its domain is
// evacuated.
#[tokio::test]
async fn an_engine_that_leaves_an_evacuated_domain_is_not_asked() {
    let (store, targets) = start_targets("pool", TargetMode::Stream(600)).await;
    store.remove_target(&targets[1]);
    let gateway = Gateway::start_ready(&store).await;
    until("the engine is known", || target_count(&gateway) == 1).await;
    let callers = gateway.callers;
    let headers = "x-id: g1\r\nx-size: 1000\r\n";
    let pending = tokio::spawn(async move { call(callers, "/stream/1", headers, "").await });
    until("the generation runs", || targets[0].open_calls() == 1).await;
    store.evacuate("patan");
    until("the evacuation is known", || {
        is_evacuated(&gateway, "patan")
    })
    .await;
    store.put_target(&targets[0], "leaving");
    let core = gateway.server.core();
    until("the engine leaves", || {
        core.with_state(|state, _| {
            let mut known = state.balancer.targets().iter();
            known.any(|one| one.phase == entry::TargetPhase::Leaving)
        })
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(targets[0].reports(), 0);
    pending.abort();
}
