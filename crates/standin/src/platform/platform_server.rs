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

use super::{ListedVm, PlatformFault, PlatformStore};

/// Longest value of a key, in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Longest request body in bytes; a transaction may set several keys at once.
const BODY_LIMIT: usize = 16 << 20;
const BODY_READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
const MAX_WATCH_WAIT: TimeSpan = TimeSpan::from_secs(600);

/// Contents and fault of the platform.
struct ServerState {
    store: PlatformStore,
    /// Contents that reads return while the fault is `Stale`.
    stale: Option<PlatformStore>,
    fault: PlatformFault,
}

struct PlatformShared {
    state: Mutex<ServerState>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
}

/// Server of the stand-in platform, bound to an address but not started.
pub struct PlatformServer {
    server: WebServer,
    shared: Arc<PlatformShared>,
}

/// Handle of a running stand-in platform; clones refer to the same platform.
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
        let state = ServerState {
            store: PlatformStore::new(),
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

    /// Starts to serve in a new task and returns a handle together with that task.
    pub fn start(self) -> (PlatformHandle, JoinHandle<()>) {
        let handle = PlatformHandle {
            address: self.server.address(),
            shared: self.shared.clone(),
            stop: StopSignal::new(),
        };
        let stop = handle.stop.clone();
        let shared = self.shared;
        let handler = move |request| -> web::HandlerFuture {
            Box::pin(handle_request(shared.clone(), request))
        };
        let task = tokio::spawn(self.server.serve(Arc::new(handler), stop));
        (handle, task)
    }
}

impl PlatformHandle {
    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of read requests received so far, blocking ones included.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Sets several keys in one transaction.
    pub fn put_keys(&self, entries: impl IntoIterator<Item = (SmolStr, Bytes)>) {
        self.shared.change(|state| state.store.put_keys(entries));
    }

    /// Adds a VM to the list or replaces the one of that name.
    pub fn put_vm(&self, vm: ListedVm) {
        self.shared.change(|state| state.store.put_vm(vm));
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, name: &str) {
        self.shared.change(|state| state.store.remove_vm(name));
    }

    /// Starts a fault, or ends it with [`PlatformFault::None`].
    pub fn set_fault(&self, fault: PlatformFault) {
        self.shared.change(|state| state.set_fault(fault));
    }

    /// Signals the server to stop.
    pub fn stop(&self) {
        self.stop.stop();
    }
}

impl ServerState {
    fn set_fault(&mut self, fault: PlatformFault) {
        self.stale = (fault == PlatformFault::Stale).then(|| self.store.clone());
        self.fault = fault;
    }

    fn visible_store(&self) -> &PlatformStore {
        self.stale.as_ref().unwrap_or(&self.store)
    }
}

impl PlatformShared {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, edit: impl FnOnce(&mut ServerState)) {
        edit(&mut self.lock());
        self.changed.send_modify(|version| *version += 1);
    }

    /// Blocks a read until the index is larger than `seen`, the wait time is over, or the platform
    /// goes down.
    async fn wait_for_change(&self, seen: u64, wait: TimeSpan) {
        let mut changed = self.changed.subscribe();
        let passed = async {
            while self.lock().visible_store().index() <= seen {
                if changed.changed().await.is_err() {
                    return;
                }
                if self.lock().fault == PlatformFault::Down {
                    return;
                }
            }
        };
        let wait = Duration::from(wait.min(MAX_WATCH_WAIT));
        // A blocking read that times out returns the current state.
        let _ = timeout(wait, passed).await;
    }
}

/// Query parameters of a read.
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

async fn handle_request(
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
        (&Method::GET, _) => handle_read(&shared, &path, query).await,
        (&Method::PUT, _) => handle_write(&shared, &path, request).await,
        _ => status_response(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn handle_read(shared: &PlatformShared, path: &str, query: ReadQuery) -> Response<WebBody> {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let fault = shared.lock().fault;
    sleep(Duration::from(fault.delay())).await;
    if fault == PlatformFault::Down {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if let Some(seen) = query.index {
        shared.wait_for_change(seen, query.wait).await;
    }
    let state = shared.lock();
    if state.fault == PlatformFault::Down {
        return status_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let store = state.visible_store();
    let found = match path.strip_prefix("/v1/kv/") {
        Some(key) => list_keys(store, key, query.recurse),
        None => path
            .strip_prefix("/v1/health/service/")
            .map(|service| list_vms(store, service)),
    };
    let mut response = match found {
        Some(value) => Response::new(json_body(&value)),
        None => status_response(StatusCode::NOT_FOUND),
    };
    response
        .headers_mut()
        .insert("x-consul-index", store.index().max(1).into());
    response
}

fn list_keys(store: &PlatformStore, key: &str, recurse: bool) -> Option<Value> {
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

fn list_vms(store: &PlatformStore, service: &str) -> Value {
    let vms = store.vms_of(service).map(|vm| {
        let (ip, port) = vm.address.rsplit_once(':').unwrap_or((&vm.address, "0"));
        let port: u16 = port.parse().unwrap_or_default();
        let state = if vm.leaving { "leaving" } else { "live" };
        json!({
            "Node": { "Node": vm.name, "Address": ip, "Datacenter": vm.domain },
            "Service": {
                "ID": vm.name,
                "Service": service,
                "Address": ip,
                "Port": port,
                "Meta": { "state": state, "domain": vm.domain },
            },
            "Checks": [{ "CheckID": "vm", "Status": "passing" }],
        })
    });
    Value::Array(vms.collect())
}

#[derive(Deserialize)]
struct TxnOperation {
    #[serde(rename = "KV")]
    kv: TxnEntry,
}

#[derive(Deserialize)]
struct TxnEntry {
    #[serde(rename = "Key")]
    key: SmolStr,
    #[serde(rename = "Value")]
    value: String,
}

#[derive(Deserialize)]
struct VmBody {
    service: SmolStr,
    name: SmolStr,
    domain: SmolStr,
    address: SmolStr,
    #[serde(default)]
    leaving: bool,
}

async fn handle_write(
    shared: &PlatformShared,
    path: &str,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, BODY_READ_TIMEOUT).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let done = match path {
        "/v1/txn" => write_keys(shared, &body),
        "/control/node" => write_vm(shared, &body),
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
        None => status_response(StatusCode::BAD_REQUEST),
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

fn write_vm(shared: &PlatformShared, body: &[u8]) -> Option<()> {
    let vm: VmBody = serde_json::from_slice(body).ok()?;
    let listed = ListedVm {
        service: vm.service,
        name: vm.name,
        domain: vm.domain,
        address: vm.address,
        leaving: vm.leaving,
    };
    shared.change(|state| state.store.put_vm(listed));
    Some(())
}

fn write_fault(shared: &PlatformShared, body: &[u8]) -> Option<()> {
    let fault = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    shared.change(|state| state.set_fault(fault));
    Some(())
}

fn status_response(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
