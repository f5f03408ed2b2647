use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use super::raw_http::{RawRequest, serve_requests};

#[derive(Clone, Default)]
struct StoredItems {
    /// Value and revision by key; the value is `None` if the item was removed.
    by_key: BTreeMap<String, (Option<String>, u64)>,
}

/// Copy of a store as it was at some moment.
#[derive(Clone)]
pub struct StoreCopy {
    items: StoredItems,
    revision: u64,
}

/// The key-value store of the users' platform, in memory; clients can read and watch it.
pub struct FakePlatform {
    pub address: SocketAddr,
    items: Mutex<StoredItems>,
    revision: watch::Sender<u64>,
    is_unavailable: AtomicBool,
    /// Number of the store's history, which its answers tell; each return from a copy begins one.
    era: AtomicU64,
    /// Requests so far.
    requests: AtomicU64,
}

impl FakePlatform {
    pub async fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).await.unwrap();
        let platform = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            items: Mutex::default(),
            revision: watch::Sender::new(10),
            is_unavailable: AtomicBool::new(false),
            era: AtomicU64::new(1),
            requests: AtomicU64::new(0),
        });
        let shared = platform.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                tokio::spawn(serve_requests(stream, move |request| {
                    let shared = shared.clone();
                    async move { Some(shared.answer_request(&request).await) }
                }));
            }
        });
        platform
    }

    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.store(is_unavailable, Ordering::Relaxed);
    }

    /// Copies the items and the revision.
    pub fn copy(&self) -> StoreCopy {
        let items = self.items.lock().unwrap();
        StoreCopy {
            items: items.clone(),
            revision: *self.revision.borrow(),
        }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut items = self.items.lock().unwrap();
        *items = copy.items;
        self.era.fetch_add(1, Ordering::Relaxed);
        self.revision.send_replace(copy.revision);
    }

    /// Number of requests so far.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.write(key, Some(STANDARD.encode(value.to_string())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut items = self.items.lock().unwrap();
        let revision = *self.revision.borrow() + 1;
        items.by_key.insert(key.to_owned(), (value, revision));
        self.revision.send_replace(revision);
    }

    async fn answer_request(&self, request: &RawRequest) -> Vec<u8> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if self.is_unavailable.load(Ordering::Relaxed) {
            return self.refuse("503 Down");
        }
        let prefix = request.query("prefix").unwrap_or_default();
        let body = match request.path() {
            "/kv-range" => self.read_range(&prefix),
            _ => match self.wait_for_changes(request, &prefix).await {
                Some(body) => body,
                None => return self.refuse("410 Gone"),
            },
        };
        let (body, era) = (body.to_string(), self.era.load(Ordering::Relaxed));
        let head = format!("HTTP/1.1 200 OK\r\nstore-era: {era}\r\n");
        let length = format!("content-length: {}\r\n\r\n", body.len());
        (head + &length + &body).into_bytes()
    }

    fn refuse(&self, status: &str) -> Vec<u8> {
        let era = self.era.load(Ordering::Relaxed);
        let head = format!("HTTP/1.1 {status}\r\nstore-era: {era}\r\ncontent-length: 0\r\n\r\n");
        head.into_bytes()
    }

    fn has_changes(&self, prefix: &str, after: u64) -> bool {
        let items = self.items.lock().unwrap();
        let mut all = items.by_key.iter();
        all.any(|(key, (_, rev))| key.starts_with(prefix) && *rev > after)
    }

    fn read_range(&self, prefix: &str) -> Value {
        let items = self.items.lock().unwrap();
        let found = items
            .by_key
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let entries: Vec<_> = found
            .filter_map(|(key, (value, rev))| Some(item_json(key, value.as_ref()?, *rev)))
            .collect();
        json!({"entries": entries, "hasMore": false, "currentRev": *self.revision.borrow()})
    }

    /// Changes after a revision; `None` if the store does not have that revision.
    async fn wait_for_changes(&self, request: &RawRequest, prefix: &str) -> Option<Value> {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut revision = self.revision.subscribe();
        let changed =
            async { while !self.has_changes(prefix, after) && revision.changed().await.is_ok() {} };
        // After a time-out without a change the answer has no events.
        let _ = timeout(wait, changed).await;
        let items = self.items.lock().unwrap();
        if after > *self.revision.borrow() {
            return None;
        }
        let found = items.by_key.iter();
        let found = found.filter(|(key, (_, rev))| key.starts_with(prefix) && *rev > after);
        let events: Vec<_> = found
            .map(|(key, (value, rev))| match value {
                Some(value) => item_json(key, value, *rev),
                None => json!({"key": key, "rev": rev, "tombstone": true}),
            })
            .collect();
        Some(json!({"events": events, "currentRev": *self.revision.borrow()}))
    }
}

fn item_json(key: &str, value: &str, rev: u64) -> Value {
    json!({"key": key, "value": value, "rev": rev, "createRevision": rev, "lease": 0})
}
