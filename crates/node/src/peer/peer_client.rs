use std::net::SocketAddr;
use std::sync::Arc;

use base::{EventKind, IncarnationNumber, NodeName, TimeSpan, WorkspaceName};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response};
use snafu::Snafu;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use web::{
    ConnectionPool, PooledConnection, RequestError, ReusePolicy, WebBody, full_body, read_body,
};

use super::{AddressBook, PeerEnvelope, PeerKey, PeerMessage, PeerResponse};
use crate::{ControlMetrics, EventJournal};

/// Path for messages between nodes.
pub const MESSAGE_PATH: &str = "/peer/message";
/// Path for calls that another node forwards.
pub const CALL_PATH: &str = "/peer/call";
/// Header with the MAC of a request between nodes.
pub const MAC_HEADER: &str = "x-peer-mac";
/// Header with the fields of a forwarded call, in the format of `format_call_fields`.
pub const CALL_HEADER: &str = "x-peer-call";

/// Maximum time to wait for a response.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Maximum length in bytes of a response; the longest ones carry a part of the declaration.
const RESPONSE_LIMIT: usize = 4 << 20;
/// Maximum number of messages of `tell` that wait for their responses. Further ones are dropped, as
/// otherwise slow peers could fill the memory.
const PENDING_LIMIT: usize = 512;

/// Why a request to another node got no response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// The address of the node is not known.
    #[snafu(display("address of {node} is not known"))]
    NoAddress {
        /// The node.
        node: NodeName,
    },
    /// The request failed before any byte of it was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// What went wrong.
        reason: String,
    },
    /// No response came; the request may have been received.
    #[snafu(display("no response: {reason}"))]
    NoResponse {
        /// What went wrong.
        reason: String,
    },
}

/// A caller's request that one node forwards to another.
#[derive(Clone, Debug)]
pub struct ForwardedCall {
    /// Workspace that the node which received the request authenticated.
    pub workspace: WorkspaceName,
    /// Incarnation of the receiving node that may take it; `None` if any may.
    pub incarnation: Option<IncarnationNumber>,
    /// Number of nodes that have forwarded it.
    pub hops: u8,
    /// Whether it was forwarded because the domain it arrived in has no target for it.
    pub overflow: bool,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub path: String,
    /// Headers of the caller's request that are forwarded.
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: Bytes,
}

/// Sends messages and forwarded calls to other nodes; clones share its connections.
#[derive(Clone)]
pub struct PeerClient {
    pool: ConnectionPool,
    book: AddressBook,
    key: PeerKey,
    node: NodeName,
    incarnation: IncarnationNumber,
    journal: EventJournal,
    metrics: ControlMetrics,
    permits: Arc<Semaphore>,
}

impl PeerClient {
    /// Creates the client of the process with this `node` name and `incarnation`.
    pub fn new(
        pool: ConnectionPool,
        book: AddressBook,
        key: PeerKey,
        node: NodeName,
        incarnation: IncarnationNumber,
        journal: EventJournal,
    ) -> Self {
        Self {
            metrics: ControlMetrics::new(&node),
            pool,
            book,
            key,
            node,
            incarnation,
            journal,
            permits: Arc::new(Semaphore::new(PENDING_LIMIT)),
        }
    }

    /// Addresses of the other nodes.
    pub fn addresses(&self) -> &AddressBook {
        &self.book
    }

    /// Sends a message without waiting for its response. It is dropped if too many messages wait
    /// for responses, and a failure is only logged.
    pub fn tell(&self, to: NodeName, body: PeerMessage) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return;
        };
        let client = self.clone();
        tokio::spawn(async move {
            if let Err(failure) = client.ask(&to, body).await {
                let number = EventKind::PeerUnreached.number();
                log::debug!(event = number; "message to {to}: {failure}");
            }
            drop(permit);
        });
    }

    /// Sends a message to a node and waits for its response.
    ///
    /// # Errors
    /// If there is no response in time; `NoResponse` means that the message may have been received.
    pub async fn ask(&self, to: &NodeName, body: PeerMessage) -> Result<PeerResponse, PeerError> {
        let Some(address) = self.book.get(to) else {
            return Err(PeerError::NoAddress { node: to.clone() });
        };
        self.ask_address(address, to, body).await
    }

    /// Sends a message for the node `to` to the given address and waits for its response.
    ///
    /// # Errors
    /// If there is no response in time; `NoResponse` means that the message may have been received.
    pub async fn ask_address(
        &self,
        address: SocketAddr,
        to: &NodeName,
        body: PeerMessage,
    ) -> Result<PeerResponse, PeerError> {
        let kind = body.kind();
        let envelope = PeerEnvelope {
            from: self.node.clone(),
            incarnation: self.incarnation,
            to: to.clone(),
            time: self.journal.message_time(),
            body,
        };
        let packed = rmp_serde::to_vec(&envelope).map_err(|error| PeerError::Unsent {
            reason: error.to_string(),
        })?;
        self.metrics.count(kind, packed.len());
        let exchange = self.exchange(address, packed.into());
        let Ok(response) = timeout(RESPONSE_TIMEOUT.into(), exchange).await else {
            self.pool.close_idle(address);
            let reason = "no response in time".to_owned();
            return Err(PeerError::NoResponse { reason });
        };
        response
    }

    /// Forwards a call and returns its response once the head has arrived; the body is still to be
    /// read.
    ///
    /// # Errors
    /// If there is no head within `wait`; `NoResponse` means that the call may have been received.
    pub async fn forward(
        &self,
        to: &NodeName,
        call: &ForwardedCall,
        wait: TimeSpan,
    ) -> Result<(Response<Incoming>, PooledConnection), PeerError> {
        let Some(address) = self.book.get(to) else {
            return Err(PeerError::NoAddress { node: to.clone() });
        };
        let fields = format_call_fields(call, to);
        let mut signed = fields.clone().into_bytes();
        signed.extend_from_slice(&call.body);
        let mut request = peer_request(CALL_PATH, address, call.body.clone());
        let mac = self.key.sign(CALL_PATH, &signed);
        let headers = request.headers_mut();
        headers.extend(call.headers.clone());
        insert_text(headers, CALL_HEADER, &fields);
        insert_text(headers, MAC_HEADER, &mac);
        let sent = self.pool.send(address, ReusePolicy::NewOnly, request);
        let Ok(result) = timeout(wait.into(), sent).await else {
            let reason = "no response in time".to_owned();
            return Err(PeerError::NoResponse { reason });
        };
        result.map_err(into_peer_error)
    }

    /// Sends a packed message and reads its response.
    async fn exchange(
        &self,
        address: SocketAddr,
        packed: Bytes,
    ) -> Result<PeerResponse, PeerError> {
        let mac = self.key.sign(MESSAGE_PATH, &packed);
        let mut request = peer_request(MESSAGE_PATH, address, packed);
        insert_text(request.headers_mut(), MAC_HEADER, &mac);
        let sent = self
            .pool
            .send(address, ReusePolicy::AllowReuse, request)
            .await;
        let (response, connection) = sent.map_err(into_peer_error)?;
        let status = response.status();
        let body = read_body(response.into_body(), RESPONSE_LIMIT, RESPONSE_TIMEOUT).await;
        let body = body.map_err(|error| PeerError::NoResponse {
            reason: error.to_string(),
        })?;
        self.pool.release(connection);
        if !status.is_success() {
            let reason = format!("status {status}");
            return Err(PeerError::NoResponse { reason });
        }
        rmp_serde::from_slice(&body).map_err(|error| PeerError::NoResponse {
            reason: error.to_string(),
        })
    }
}

/// Formats the fields of a forwarded call as one header value: receiver, its incarnation (0 for
/// any), workspace, hops, overflow (0 or 1), method and path.
fn format_call_fields(call: &ForwardedCall, to: &NodeName) -> String {
    let incarnation = call.incarnation.map_or(0, |number| number.0);
    let overflow = u8::from(call.overflow);
    let (workspace, hops, method) = (&call.workspace, call.hops, &call.method);
    format!(
        "{to} {incarnation} {workspace} {hops} {overflow} {method} {}",
        call.path
    )
}

/// Parses the output of `format_call_fields`; `None` if it is invalid or meant for another node or
/// incarnation.
pub fn parse_call_fields(
    fields: &str,
    node: &NodeName,
    incarnation: IncarnationNumber,
) -> Option<ForwardedCall> {
    let mut parts = fields.splitn(7, ' ');
    let to: NodeName = parts.next()?.parse().ok()?;
    let wanted = IncarnationNumber(parts.next()?.parse().ok()?);
    let workspace = parts.next()?.parse().ok()?;
    let hops = parts.next()?.parse().ok()?;
    let overflow = parts.next()? == "1";
    let method = parts.next()?.parse().ok()?;
    let path = parts.next()?.to_owned();
    let accepts = wanted.0 == 0 || wanted == incarnation;
    (to == *node && accepts).then(|| ForwardedCall {
        workspace,
        incarnation: (wanted.0 != 0).then_some(wanted),
        hops,
        overflow,
        method,
        path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    })
}

fn peer_request(path: &'static str, address: SocketAddr, body: Bytes) -> Request<WebBody> {
    let mut request = Request::new(full_body(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    insert_text(request.headers_mut(), HOST.as_str(), &address.to_string());
    request
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    // Names, paths and MACs contain only bytes that are valid in a header value.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn into_peer_error(error: RequestError) -> PeerError {
    let reason = error.to_string();
    match error.is_unsent() {
        true => PeerError::Unsent { reason },
        false => PeerError::NoResponse { reason },
    }
}
