use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::TimeSpan;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use web::{StopSignal, WebBody, WebServer, full_body, json_body, read_body};

use super::{KvStore, ListedNode, PlatformFault};

/// Longest value that the platform holds.
const VALUE_LIMIT: usize = 1 << 20;
/// A transaction may change several keys at once.
const BODY_LIMIT: usize = 16 << 20;
const BODY_WAIT: TimeSpan = TimeSpan::from_secs(10);
const LONGEST_WATCH: TimeSpan = TimeSpan::from_secs(600);

struct SharedState {
    store: KvStore,
    stale: Option<KvStore>,
    fault: PlatformFault,
}

struct PlatformShared {
    state: Mutex<SharedState>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

/// The stand-in platform before it serves.
pub struct PlatformServer {
    server: WebServer,
    shared: Arc<PlatformShared>,
}

/// A running stand-in platform; clones share it.
#[derive(Clone)]
pub struct PlatformHandle {
    address: SocketAddr,
    shared: Arc<PlatformShared>,
    stop: StopSignal,
}

impl PlatformServer {
    /// Listens on `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let server = WebServer::bind(address).await?;
        let state = SharedState {
            store: KvStore::new(),
            stale: None,
            fault: PlatformFault::None,
        };
        let shared = PlatformShared {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            calls: AtomicU64::new(0),
        };
        Ok(Self {
            server,
            shared: Arc::new(shared),
        })
    }

    /// Serves in a task of its own.
    pub fn start(self) -> (PlatformHandle, JoinHandle<()>) {
        let handle = PlatformHandle {
            address: self.server.address(),
            shared: self.shared.clone(),
            stop: StopSignal::new(),
        };
        let stop = handle.stop.clone();
        let shared = self.shared;
        let handler = move |request| -> web::HandlerFuture {
            Box::pin(answer_request(shared.clone(), request))
        };
        let task = tokio::spawn(self.server.serve(Arc::new(handler), stop));
        (handle, task)
    }
}

impl PlatformHandle {
    /// Address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads and waiting watches answered so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Sets several keys at once, as an operator does.
    pub fn put_keys(&self, entries: impl IntoIterator<Item = (SmolStr, Bytes)>) {
        self.shared.change(|state| state.store.put_keys(entries));
    }

    /// Adds or changes a VM of the list.
    pub fn put_node(&self, node: ListedNode) {
        self.shared.change(|state| state.store.put_node(node));
    }

    /// Removes a VM from the list.
    pub fn remove_node(&self, name: &str) {
        self.shared.change(|state| state.store.remove_node(name));
    }

    /// Brings a fault about, or ends it.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.shared.change(|state| state.set_fault(fault));
    }

    /// Stops the platform.
    pub fn stop(&self) {
        self.stop.stop();
    }
}

impl SharedState {
    fn set_fault(&mut self, fault: PlatformFault) {
        self.stale = (fault == PlatformFault::Stale).then(|| self.store.clone());
        self.fault = fault;
    }

    fn view(&self) -> &KvStore {
        self.stale.as_ref().unwrap_or(&self.store)
    }
}

impl PlatformShared {
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, edit: impl FnOnce(&mut SharedState)) {
        edit(&mut self.lock());
        self.changed.send_modify(|version| *version += 1);
    }

    /// Waits until the index passes `seen`, the wait is over, or a fault begins or ends.
    async fn wait_past(&self, seen: u64, wait: TimeSpan) {
        let mut changed = self.changed.subscribe();
        let passed = async {
            while self.lock().view().index() <= seen {
                if changed.changed().await.is_err() {
                    return;
                }
                if self.lock().fault == PlatformFault::Down {
                    return;
                }
            }
        };
        let wait = Duration::from(wait.min(LONGEST_WATCH));
        // A watch that times out answers with the state as it is.
        let _ = timeout(wait, passed).await;
    }
}

struct ReadQuery {
    recurse: bool,
    index: Option<u64>,
    wait: TimeSpan,
}

impl ReadQuery {
    fn parse(query: &str) -> Self {
        let mut parsed = Self {
            recurse: false,
            index: None,
            wait: TimeSpan::from_secs(300),
        };
        for pair in query.split('&') {
            match pair.split_once('=').unwrap_or((pair, "")) {
                ("recurse", _) => parsed.recurse = true,
                ("index", value) => parsed.index = value.parse().ok(),
                ("wait", value) => parsed.wait = value.parse().unwrap_or(parsed.wait),
                _ => {}
            }
        }
        parsed
    }
}

async fn answer_request(
    shared: Arc<PlatformShared>,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let path = request.uri().path().to_owned();
    let query = ReadQuery::parse(request.uri().query().unwrap_or_default());
    match (request.method(), path.as_str()) {
        (&Method::GET, "/control/calls") => {
            let calls = shared.calls.load(Ordering::Relaxed);
            Response::new(json_body(&json!({ "calls": calls })))
        }
        (&Method::GET, _) => answer_read(&shared, &path, query).await,
        (&Method::PUT, _) => answer_write(&shared, &path, request).await,
        _ => answer_status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn answer_read(shared: &PlatformShared, path: &str, query: ReadQuery) -> Response<WebBody> {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let fault = shared.lock().fault;
    sleep(Duration::from(fault.delay())).await;
    if fault == PlatformFault::Down {
        return answer_status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if let Some(seen) = query.index {
        shared.wait_past(seen, query.wait).await;
    }
    let state = shared.lock();
    if state.fault == PlatformFault::Down {
        return answer_status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let store = state.view();
    let found = match path.strip_prefix("/v1/kv/") {
        Some(key) => list_keys(store, key, query.recurse),
        None => path
            .strip_prefix("/v1/health/service/")
            .map(|service| list_nodes(store, service)),
    };
    let mut response = match found {
        Some(value) => Response::new(json_body(&value)),
        None => answer_status(StatusCode::NOT_FOUND),
    };
    response
        .headers_mut()
        .insert("x-consul-index", store.index().max(1).into());
    response
}

fn list_keys(store: &KvStore, key: &str, recurse: bool) -> Option<Value> {
    let entries: Vec<_> = store
        .keys_under(key)
        .filter(|entry| recurse || entry.key == key)
        .map(|entry| {
            json!({
                "Key": entry.key,
                "Value": STANDARD.encode(&entry.value),
                "ModifyIndex": entry.modify_index,
                "CreateIndex": entry.modify_index,
                "LockIndex": 0,
                "Flags": 0,
            })
        })
        .collect();
    (!entries.is_empty()).then_some(Value::Array(entries))
}

fn list_nodes(store: &KvStore, service: &str) -> Value {
    let nodes = store.nodes_of(service).map(|node| {
        let (ip, port) = node
            .address
            .rsplit_once(':')
            .unwrap_or((&node.address, "0"));
        let port: u16 = port.parse().unwrap_or_default();
        let state = if node.leaving { "leaving" } else { "live" };
        json!({
            "Node": { "Node": node.name, "Address": ip, "Datacenter": node.domain },
            "Service": {
                "ID": node.name,
                "Service": service,
                "Address": ip,
                "Port": port,
                "Meta": { "state": state, "domain": node.domain },
            },
            "Checks": [{ "CheckID": "vm", "Status": "passing" }],
        })
    });
    Value::Array(nodes.collect())
}

#[derive(Deserialize)]
struct TxnOperation {
    #[serde(rename = "KV")]
    kv: TxnKey,
}

#[derive(Deserialize)]
struct TxnKey {
    #[serde(rename = "Key")]
    key: SmolStr,
    #[serde(rename = "Value")]
    value: String,
}

#[derive(Deserialize)]
struct NodeBody {
    service: SmolStr,
    name: SmolStr,
    domain: SmolStr,
    address: SmolStr,
    #[serde(default)]
    leaving: bool,
}

async fn answer_write(
    shared: &PlatformShared,
    path: &str,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, BODY_WAIT).await else {
        return answer_status(StatusCode::BAD_REQUEST);
    };
    let done = match path {
        "/v1/txn" => write_keys(shared, &body),
        "/control/node" => write_node(shared, &body),
        "/control/fault" => write_fault(shared, &body),
        _ => match path.strip_prefix("/v1/kv/") {
            Some(key) if body.len() <= VALUE_LIMIT => {
                let entry = (SmolStr::new(key), body);
                shared.change(|state| state.store.put_keys([entry]));
                Some(())
            }
            _ => None,
        },
    };
    match done {
        Some(()) => Response::new(full_body("true")),
        None => answer_status(StatusCode::BAD_REQUEST),
    }
}

fn write_keys(shared: &PlatformShared, body: &[u8]) -> Option<()> {
    let operations: Vec<TxnOperation> = serde_json::from_slice(body).ok()?;
    let mut entries = Vec::new();
    for operation in operations {
        let value = STANDARD.decode(&operation.kv.value).ok()?;
        if value.len() > VALUE_LIMIT {
            return None;
        }
        entries.push((operation.kv.key, Bytes::from(value)));
    }
    shared.change(|state| state.store.put_keys(entries));
    Some(())
}

fn write_node(shared: &PlatformShared, body: &[u8]) -> Option<()> {
    let node: NodeBody = serde_json::from_slice(body).ok()?;
    let listed = ListedNode {
        service: node.service,
        name: node.name,
        domain: node.domain,
        address: node.address,
        leaving: node.leaving,
    };
    shared.change(|state| state.store.put_node(listed));
    Some(())
}

fn write_fault(shared: &PlatformShared, body: &[u8]) -> Option<()> {
    let fault = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    shared.change(|state| state.set_fault(fault));
    Some(())
}

fn answer_status(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
