use std::net::SocketAddr;

use base::{TargetName, TimeSpan};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use fleet::{KeyText, PlatformHead, PlatformHeadAnswer, ReadScope};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use member::{PlatformEntry, PlatformState};
use serde::Deserialize;
use snafu::Snafu;
use tokio::time::timeout;
use web::{ConnectionPool, SendPhase, empty_body, read_body};

/// Maximum length in bytes of a response, which holds a few keys of a megabyte each in Base64.
const RESPONSE_LIMIT: usize = 64 << 20;
/// Maximum time to wait for a response, in addition to the time for which a watch may block.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);
/// Response header with the index to pass to the next watch.
const INDEX_HEADER: &str = "x-consul-index";
/// State of a listed VM that the platform is about to take away.
const LEAVING_STATE: &str = "leaving";
/// Name of the key that lists the other keys of a revision.
const HEAD_KEY: &str = "head";

/// Why a request to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("platform call failed: {reason}"))]
pub struct PlatformError {
    /// What went wrong.
    pub reason: String,
}

/// Client of the platform, whose API has the form of Consul's key-value and health endpoints.
#[derive(Clone)]
pub struct PlatformClient {
    pool: ConnectionPool,
    address: SocketAddr,
    prefix: String,
    service: String,
    target_service: String,
}

/// A target VM in the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name of the target that runs on the VM.
    pub target: TargetName,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}

#[derive(Deserialize)]
struct KeyEntry {
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Value")]
    value: Option<String>,
    #[serde(rename = "ModifyIndex")]
    modify_index: u64,
}

#[derive(Deserialize)]
struct HealthEntry {
    #[serde(rename = "Service")]
    service: ServiceEntry,
}

#[derive(Deserialize)]
struct ServiceEntry {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: ServiceMeta,
}

#[derive(Default, Deserialize)]
struct ServiceMeta {
    #[serde(default)]
    state: String,
    #[serde(default)]
    domain: String,
}

struct PlatformResponse {
    status: StatusCode,
    index: u64,
    body: Bytes,
}

impl PlatformClient {
    /// Creates a client that reads keys under `prefix` and the node VMs registered as `service`.
    ///
    /// ```
    /// let pool = web::ConnectionPool::new(web::PoolSettings::new());
    /// let address = "127.0.0.1:8500".parse().unwrap();
    /// let _client = node::PlatformClient::new(pool, address, "agatemoor/", "agatemoor-node");
    /// ```
    pub fn new(pool: ConnectionPool, address: SocketAddr, prefix: &str, service: &str) -> Self {
        Self {
            pool,
            address,
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            target_service: String::new(),
        }
    }

    /// Returns this client with the service name under which the target VMs are registered.
    #[must_use]
    pub fn with_target_service(mut self, service: &str) -> Self {
        service.clone_into(&mut self.target_service);
        self
    }

    /// Reads the `head` key; an index above 0 waits up to `wait` for a change.
    ///
    /// # Errors
    /// If the platform does not answer in time or answers with something else.
    pub async fn read_head(
        &self,
        index: u64,
        wait: TimeSpan,
    ) -> Result<PlatformHeadAnswer, PlatformError> {
        let path = format!("/v1/kv/{}{HEAD_KEY}", self.prefix);
        let response = self.watch(&path, index, wait).await?;
        let index = response.index;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(PlatformHeadAnswer { index, head: None });
        }
        let entries: Vec<KeyEntry> = parse_json(&response.body)?;
        let head = entries.into_iter().next().map(|entry| {
            let modify_index = entry.modify_index;
            let text = decode_text(&entry).into();
            PlatformHead { modify_index, text }
        });
        Ok(PlatformHeadAnswer { index, head })
    }

    /// Reads keys other than `head`; those that do not exist are left out.
    ///
    /// # Errors
    /// If the platform does not answer in time or answers with something else.
    pub async fn read_keys(&self, scope: &ReadScope) -> Result<Vec<KeyText>, PlatformError> {
        let ReadScope::Keys(names) = scope else {
            return self
                .read_path(&format!("/v1/kv/{}?recurse", self.prefix))
                .await;
        };
        let mut keys = Vec::new();
        for name in names {
            keys.extend(
                self.read_path(&format!("/v1/kv/{}{name}", self.prefix))
                    .await?,
            );
        }
        Ok(keys)
    }

    /// Reads the list of node VMs; an index above 0 waits up to `wait` for a change.
    ///
    /// # Errors
    /// If the platform does not answer in time or answers with something else.
    pub async fn read_nodes(
        &self,
        index: u64,
        wait: TimeSpan,
    ) -> Result<(u64, Vec<PlatformEntry>), PlatformError> {
        let path = format!("/v1/health/service/{}", self.service);
        let response = self.watch(&path, index, wait).await?;
        let entries: Vec<HealthEntry> = parse_json(&response.body)?;
        let nodes = entries
            .into_iter()
            .filter_map(|entry| into_entry(entry.service));
        Ok((response.index, nodes.collect()))
    }

    /// Reads the list of target VMs; an index above 0 waits up to `wait` for a change.
    ///
    /// # Errors
    /// If the platform does not answer in time or answers with something else.
    pub async fn read_targets(
        &self,
        index: u64,
        wait: TimeSpan,
    ) -> Result<(u64, Vec<ListedTarget>), PlatformError> {
        let path = format!("/v1/health/service/{}", self.target_service);
        let response = self.watch(&path, index, wait).await?;
        let entries: Vec<HealthEntry> = parse_json(&response.body)?;
        let targets = entries.into_iter().filter_map(|entry| {
            let target = entry.service.id.parse().ok()?;
            let leaving = entry.service.meta.state == LEAVING_STATE;
            Some(ListedTarget { target, leaving })
        });
        Ok((response.index, targets.collect()))
    }

    /// Reads the keys at one path of the key-value endpoint, except `head`.
    async fn read_path(&self, path: &str) -> Result<Vec<KeyText>, PlatformError> {
        let response = self.get(path, RESPONSE_TIMEOUT).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        let entries: Vec<KeyEntry> = parse_json(&response.body)?;
        let keys = entries.iter().filter_map(|entry| {
            let name = entry.key.strip_prefix(&self.prefix)?;
            (name != HEAD_KEY).then(|| KeyText::new(name, decode_text(entry)))
        });
        Ok(keys.collect())
    }

    /// Reads a path; an index above 0 waits up to `wait` for a change.
    async fn watch(
        &self,
        path: &str,
        index: u64,
        wait: TimeSpan,
    ) -> Result<PlatformResponse, PlatformError> {
        if index == 0 {
            return self.get(path, RESPONSE_TIMEOUT).await;
        }
        let millis = wait.as_millis();
        let path = format!("{path}?index={index}&wait={millis}ms");
        self.get(&path, wait + RESPONSE_TIMEOUT).await
    }

    /// Reads a path, waiting up to `wait` for the response; any status but success and 404 is an
    /// error.
    async fn get(&self, path: &str, wait: TimeSpan) -> Result<PlatformResponse, PlatformError> {
        let Ok(result) = timeout(wait.into(), self.get_once(path)).await else {
            self.pool.forget(self.address);
            return fail("no response in time");
        };
        let response = result?;
        if response.status.is_success() || response.status == StatusCode::NOT_FOUND {
            return Ok(response);
        }
        fail(format!("status {}", response.status))
    }

    /// Reads a path without a time limit for the response head.
    async fn get_once(&self, path: &str) -> Result<PlatformResponse, PlatformError> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(empty_body());
        let Ok(request) = request else {
            return fail("key prefix or service name is not a valid path");
        };
        let sent = self
            .pool
            .send(self.address, SendPhase::Reuse, request)
            .await;
        let (response, connection) = sent.or_else(|error| fail(error.to_string()))?;
        let status = response.status();
        let index = response.headers().get(INDEX_HEADER);
        let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = read_body(response.into_body(), RESPONSE_LIMIT, RESPONSE_TIMEOUT).await;
        let body = body.or_else(|error| fail(error.to_string()))?;
        self.pool.release(connection);
        Ok(PlatformResponse {
            status,
            index: index.unwrap_or(0),
            body,
        })
    }
}

/// Converts a listed service into a node; `None` if its id is not a node name.
fn into_entry(service: ServiceEntry) -> Option<PlatformEntry> {
    let address = format!("{}:{}", service.address, service.port);
    Some(PlatformEntry {
        node: service.id.parse().ok()?,
        domain: service.meta.domain.parse().ok(),
        address: address.parse().ok(),
        state: match service.meta.state == LEAVING_STATE {
            true => PlatformState::Leaving,
            false => PlatformState::Live,
        },
    })
}

/// Decodes the value of a key. Invalid UTF-8 is replaced, so such a value fails its hash check later.
fn decode_text(entry: &KeyEntry) -> String {
    let value = entry.value.as_deref().unwrap_or_default();
    let bytes = STANDARD.decode(value).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).or_else(|error| fail(error.to_string()))
}

fn fail<T>(reason: impl Into<String>) -> Result<T, PlatformError> {
    let reason = reason.into();
    Err(PlatformError { reason })
}
