//! The platform's store, as PROTOCOL.md describes it: ranges and watches of items with revisions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{query, read_head, read_request_body};
use crate::record;

/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;
/// Bytes of values from which on a page is full.
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    value: String,
    rev: u64,
    made: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON of each change.
    history: Vec<(u64, String, String)>,
    /// Answers given since the impairment began.
    answers: usize,
    /// Answers that were lost.
    lost: usize,
}

/// Decides whether the answer to a call (path, number of events in it) is lost.
pub type LosePolicy = Box<dyn Fn(&str, usize) -> bool + Send + Sync>;

/// A running store.
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    lose: Mutex<Option<LosePolicy>>,
}

impl Store {
    /// Starts a store on `ip`.
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("its address"),
            state: Mutex::new(State {
                rev: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            lose: Mutex::new(None),
        });
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; returning is the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().expect("state");
        state.rev += 1;
        let rev = state.rev;
        let made = state.items.get(key).map_or(rev, |item| item.made);
        let item = Item {
            value: base64(value.as_bytes()),
            rev,
            made,
        };
        let json = item_json(key, &item);
        state.items.insert(key.to_owned(), item);
        state.history.push((rev, key.to_owned(), json));
        self.changed.notify_all();
        rev
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().expect("state");
        state.rev += 1;
        let rev = state.rev;
        state.items.remove(key);
        let json = format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}");
        state.history.push((rev, key.to_owned(), json));
        self.changed.notify_all();
    }

    /// Whether it has an item.
    pub fn has(&self, key: &str) -> bool {
        self.state.lock().expect("state").items.contains_key(key)
    }

    /// Begins to lose the answers for which `policy` says so, and counts answers from now on.
    pub fn lose_answers(&self, policy: LosePolicy) {
        let mut state = self.state.lock().expect("state");
        (state.answers, state.lost) = (0, 0);
        *self.lose.lock().expect("policy") = Some(policy);
    }

    /// Ends the impairment; returns the answers given and lost during it.
    pub fn end_loss(&self) -> (usize, usize) {
        *self.lose.lock().expect("policy") = None;
        let state = self.state.lock().expect("state");
        (state.answers, state.lost)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            if read_request_body(&mut reader, &head).is_none() {
                return;
            }
            let path = head.word(1).to_owned();
            let (body, events) = match path.split('?').next() {
                Some("/kv-range") => (self.range(&path), 0),
                Some("/kv-watch") => self.watch(&path),
                _ => (String::new(), 0),
            };
            let is_lost = {
                let policy = self.lose.lock().expect("policy");
                let is_lost = policy.as_ref().is_some_and(|policy| policy(&path, events));
                let mut state = self.state.lock().expect("state");
                state.answers += 1;
                state.lost += usize::from(is_lost);
                is_lost
            };
            if is_lost {
                record::line(&format!(
                    "store: the answer to GET {path} ({events} events) is lost; its connection returns nothing further"
                ));
                // The connection stays open and silent until the other end closes it.
                let _ = read_head(&mut reader);
                return;
            }
            let status = if body.is_empty() {
                "404 Not Found"
            } else {
                "200 OK"
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A page of items: at most about 500 of them or 1 MB.
    fn range(&self, path: &str) -> String {
        let prefix = query(path, "prefix").unwrap_or_default();
        let after = query(path, "after").unwrap_or_default();
        let state = self.state.lock().expect("state");
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let (mut entries, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in found {
            if entries.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += item.value.len() / 4 * 3;
            entries.push(item_json(key, item));
        }
        format!(
            "{{\"entries\":[{}],\"hasMore\":{has_more},\"currentRev\":{}}}",
            entries.join(","),
            state.rev
        )
    }

    fn watch(&self, path: &str) -> (String, usize) {
        let prefix = query(path, "prefix").unwrap_or_default();
        let after: u64 = query(path, "after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait = query(path, "waitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("state");
        loop {
            let news = state.history.iter();
            let news = news.filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<_> = news.map(|(_, _, json)| json.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    state.rev
                );
                return (body, events.len());
            }
            state = self.changed.wait_timeout(state, left).expect("state").0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"createRevision\":{},\"lease\":0}}",
        item.value, item.rev, item.made
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(*group.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            match at <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
