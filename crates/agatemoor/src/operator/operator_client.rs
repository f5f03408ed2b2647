use std::net::SocketAddr;
use std::time::Duration;

use base::TimeSpan;
use bytes::Bytes;
use hyper::Request;
use hyper::header::HOST;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use web::{ConnectionPool, PoolSettings, ReusePolicy, full_body, read_body};

use super::NodeAddresses;

/// Longest wait for the complete response of one node.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Largest accepted response body in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Response of one node, or a message that says why there is none.
#[derive(Clone, Debug)]
pub struct NodeResponse<T> {
    /// Operator address of the node.
    pub address: SocketAddr,
    /// The decoded response, or the error message.
    pub result: Result<T, String>,
}

/// HTTP client that reads JSON pages of the operator interface.
pub struct OperatorClient {
    pool: ConnectionPool,
}

impl OperatorClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            pool: ConnectionPool::new(PoolSettings::new()),
        }
    }

    /// Reads one page from all nodes concurrently; the responses are in the order of the addresses.
    pub async fn read_all<T: DeserializeOwned>(
        &self,
        nodes: &NodeAddresses,
        path: &str,
    ) -> Vec<NodeResponse<T>> {
        let reads = nodes.addresses().iter().map(|address| async {
            let read = self.read(*address, path);
            let result = match timeout(Duration::from(RESPONSE_TIMEOUT), read).await {
                Ok(result) => result,
                Err(_) => Err(format!("no response within {RESPONSE_TIMEOUT}")),
            };
            NodeResponse {
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
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        serde_json::from_slice(&body).map_err(|error| format!("cannot decode response: {error}"))
    }
}

impl Default for OperatorClient {
    fn default() -> Self {
        Self::new()
    }
}
