use std::net::SocketAddr;
use std::time::Duration;

use base::TimeSpan;
use bytes::Bytes;
use hyper::Request;
use hyper::header::HOST;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use web::{ConnectionPool, PoolSettings, ReusePolicy, full_body, read_body};

use super::NodeList;

/// Longest wait for the whole answer of one node.
const ANSWER_WAIT: TimeSpan = TimeSpan::from_secs(5);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 256 << 20;

/// What one node answered, or why there is no answer, in words.
#[derive(Clone, Debug)]
pub struct NodeAnswer<T> {
    /// Operator address of the node.
    pub address: SocketAddr,
    /// The answer.
    pub result: Result<T, String>,
}

/// Reads pages of the operator interface.
pub struct OpsClient {
    pool: ConnectionPool,
}

impl OpsClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            pool: ConnectionPool::new(PoolSettings::new()),
        }
    }

    /// Reads one page of all nodes at once; the answers are in the order of the list.
    pub async fn read_all<T: DeserializeOwned>(
        &self,
        nodes: &NodeList,
        path: &str,
    ) -> Vec<NodeAnswer<T>> {
        let reads = nodes.addresses().iter().map(|address| async {
            let read = self.read(*address, path);
            let result = match timeout(Duration::from(ANSWER_WAIT), read).await {
                Ok(result) => result,
                Err(_) => Err(format!("no answer within {ANSWER_WAIT}")),
            };
            NodeAnswer {
                address: *address,
                result,
            }
        });
        futures_util::future::join_all(reads).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let request = Request::get(path)
            .header(HOST, address.to_string())
            .body(full_body(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let (response, _connection) = self
            .pool
            .send(address, ReusePolicy::NewOnly, request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let body = read_body(response.into_body(), ANSWER_LIMIT, ANSWER_WAIT)
            .await
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&body).map_err(|error| format!("unreadable answer: {error}"))
    }
}

impl Default for OpsClient {
    fn default() -> Self {
        Self::new()
    }
}
