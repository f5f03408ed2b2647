//! Propagation of target states in a failure domain with so many nodes that load notes carry only
//! reports of targets, without work in flight.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatemoor::{DemoCaller, make_policy};
use bytes::Bytes;
use fleet::{KeyText, make_head};
use hyper::Method;
use node::{NodeHandle, NodeServer};
use serde_json::Value;
use smol_str::SmolStr;
use standin::{
    EngineHandle, EngineServer, EngineSettings, ListedVm, PlatformHandle, PlatformServer,
    parse_weight_key,
};
use tokio::time::sleep;

/// Nodes of the domain; more than the number up to which nodes report their work in flight to each
/// other.
const NODES: usize = 9;
const ENGINES: usize = 12;
/// Longest wait for a state; long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two reads of a status page.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One failure domain with its platform, engines and nodes in this process.
struct LargeDomain {
    platform: PlatformHandle,
    engines: Vec<EngineHandle>,
    /// Nodes with their operator addresses.
    nodes: Vec<(NodeHandle, SocketAddr)>,
    /// Peer addresses of the nodes.
    peers: Vec<SocketAddr>,
    caller: DemoCaller,
}

impl LargeDomain {
    async fn start() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (platform, _task) = PlatformServer::bind(any).await.unwrap().start();
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let name = format!("e{number:02}").parse().unwrap();
            let settings = EngineSettings::new(name)
                .with_seed(number as u64)
                .with_loaded(parse_weight_key("quill:2").unwrap());
            // The engine has a runtime of its own, which can't be started inside this one.
            let start = move || EngineServer::start(any, settings);
            let engine = tokio::task::spawn_blocking(start).await.unwrap();
            engines.push(engine.unwrap());
        }
        let mut servers = Vec::new();
        for number in 0..NODES {
            let text = format!(
                "[node]\nname = n{number}\ndomain = balaju\n[callers]\nlisten = {any}\n\
                 [operators]\nlisten = {any}\n[peers]\nlisten = {any}\nkey = peer secret of a test\n\
                 [platform]\naddress = {}\nprefix = agatemoor/\n",
                platform.address()
            );
            let settings = schema::read_settings("test.ini", &text).unwrap();
            servers.push(NodeServer::bind(settings).await.unwrap());
        }
        let mut domain = Self {
            platform,
            engines,
            nodes: Vec::new(),
            peers: servers.iter().map(NodeServer::peer_address).collect(),
            caller: DemoCaller::new("unused"),
        };
        domain.publish("2");
        for (number, server) in servers.into_iter().enumerate() {
            domain.platform.put_vm(ListedVm {
                service: "agatemoor-node".into(),
                name: format!("n{number}").into(),
                domain: "balaju".into(),
                address: domain.peers[number].to_string().into(),
                leaving: false,
            });
            let operators = server.operator_address();
            let handle = server.start(Box::new(make_policy)).unwrap();
            domain.nodes.push((handle, operators));
        }
        domain
            .wait_for_all_nodes("all targets are up", |targets| {
                let up = targets.iter().filter(|target| target["phase"] == "up");
                up.count() == ENGINES
            })
            .await;
        domain
    }

    /// Publishes a declaration that asks for this version of the model.
    fn publish(&self, version: &str) {
        let mut text = String::from("[fleet]\nweight_rate = 40000000000\n[domain balaju]\n");
        // Writing to a String can't fail.
        for (number, address) in self.peers.iter().enumerate() {
            let _ = writeln!(
                text,
                "[node n{number}]\ndomain = balaju\npeer_address = {address}"
            );
        }
        for (number, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            let _ = writeln!(
                text,
                "[target e{number:02}]\nkind = engine\ndomain = balaju\naddress = {address}\n\
                 labels = pool=main"
            );
        }
        let _ = write!(
            text,
            "[model quill]\nweight_bytes = 1000000\n[rollout quill]\nmodel = quill\n\
             version = {version}\ntargets = pool=main\n"
        );
        let head = make_head(1, &[KeyText::new("fleet.ini", text.as_str())]);
        let entries = [("fleet.ini", text), ("head", head)];
        self.platform.put_keys(entries.map(|(name, text)| {
            let key = SmolStr::from(format!("agatemoor/{name}"));
            (key, text.into_bytes().into())
        }));
    }

    /// Waits until the targets on the status page of each node meet a condition; returns the time from
    /// the moment at which the first node met it to that of the last one.
    async fn wait_for_all_nodes(
        &self,
        what: &str,
        condition: impl Fn(&[Value]) -> bool,
    ) -> Duration {
        let start = Instant::now();
        let mut first = None;
        for (_, operators) in &self.nodes {
            loop {
                let (method, path) = (Method::GET, "/ops/status");
                let call = self
                    .caller
                    .call(*operators, method, path, &[], Bytes::new());
                let page = call.await.json();
                let targets = page["targets"].as_array().map_or(&[][..], Vec::as_slice);
                if condition(targets) {
                    first.get_or_insert_with(Instant::now);
                    break;
                }
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "timed out waiting until {what}: {page}"
                );
                sleep(POLL_INTERVAL).await;
            }
        }
        first.map_or(Duration::ZERO, |first| first.elapsed())
    }

    fn stop(self) {
        for (node, _) in self.nodes {
            node.kill();
        }
        self.engines.iter().for_each(EngineHandle::kill);
        self.platform.stop();
    }
}

/// Guards against nodes that continue to use a leaving target because load notes are too rare or
/// probers rely too long on each other's results.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_is_known_at_all_nodes() {
    let domain = LargeDomain::start().await;
    domain.engines[5].leave();
    let took = domain
        .wait_for_all_nodes("e05 is leaving", |targets| {
            let mut leaving = targets.iter().filter(|target| target["phase"] == "leaving");
            leaving
                .next()
                .is_some_and(|target| target["target"] == "e05")
        })
        .await;
    println!("from the first to the last node: {took:?}");
    domain.stop();
}

/// Guards against a target state that only the first prober of the target knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_loaded_version_is_known_at_all_nodes() {
    let domain = LargeDomain::start().await;
    domain.publish("3");
    let took = domain
        .wait_for_all_nodes("version 3 is loaded", |targets| {
            let ready = |target: &&Value| {
                let loaded = target["loaded"].as_array();
                loaded.is_some_and(|loaded| {
                    let mut loaded = loaded.iter();
                    loaded.any(|entry| entry["version"] == "3" && entry["ready"] == true)
                })
            };
            targets.iter().filter(ready).count() == ENGINES
        })
        .await;
    println!("from the first to the last node: {took:?}");
    domain.stop();
}
