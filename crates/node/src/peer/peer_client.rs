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

use super::{AddressBook, PeerBody, PeerEnvelope, PeerKey, PeerReply};
use crate::{ControlMetrics, EventJournal};

/// Path of messages between nodes.
pub const MESSAGE_PATH: &str = "/peer/message";
/// Path of calls of callers that another node passes on.
pub const CALL_PATH: &str = "/peer/call";
/// Header with the MAC of a message.
pub const MAC_HEADER: &str = "x-peer-mac";
/// Header with the fields of a forwarded call.
pub const CALL_HEADER: &str = "x-peer-call";

/// Longest wait for a reply.
const REPLY_WAIT: TimeSpan = TimeSpan::from_secs(1);
/// Longest reply: a part of a declaration.
const REPLY_LIMIT: usize = 4 << 20;
/// Messages under way at once; more are dropped, as a slow peer must not fill the memory.
const TELL_LIMIT: usize = 512;

/// A message that got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerFailure {
    /// The address of the node is not known.
    #[snafu(display("address of {node} is not known"))]
    NoAddress {
        /// The node.
        node: NodeName,
    },
    /// Nothing was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// What went wrong.
        reason: String,
    },
    /// The message may have arrived.
    #[snafu(display("no reply: {reason}"))]
    NoReply {
        /// What went wrong.
        reason: String,
    },
}

/// A call of a caller on its way to the node that is to run it.
#[derive(Clone, Debug)]
pub struct ForwardedCall {
    /// Workspace that the first node authenticated.
    pub workspace: WorkspaceName,
    /// Run of the receiver that alone may take it; `None` if any may.
    pub incarnation: Option<IncarnationNumber>,
    /// Nodes that have passed it on.
    pub hops: u8,
    /// Whether it came because its first failure domain has no target for it.
    pub overflow: bool,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub path: String,
    /// Headers of the caller that matter to the call.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends messages to other nodes; clones share it.
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
    /// Creates the client of one run of a node.
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
            permits: Arc::new(Semaphore::new(TELL_LIMIT)),
        }
    }

    /// Addresses of the other nodes.
    pub fn book(&self) -> &AddressBook {
        &self.book
    }

    /// Sends a message without waiting; it may be lost.
    pub fn tell(&self, to: NodeName, body: PeerBody) {
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

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    /// The error tells whether the message may have arrived.
    pub async fn ask(&self, to: &NodeName, body: PeerBody) -> Result<PeerReply, PeerFailure> {
        let Some(address) = self.book.get(to) else {
            return Err(PeerFailure::NoAddress { node: to.clone() });
        };
        self.ask_address(address, to, body).await
    }

    /// Sends a message to an address whose node is known only by the name `to`.
    ///
    /// # Errors
    /// The error tells whether the message may have arrived.
    pub async fn ask_address(
        &self,
        address: SocketAddr,
        to: &NodeName,
        body: PeerBody,
    ) -> Result<PeerReply, PeerFailure> {
        let kind = body.kind();
        let envelope = PeerEnvelope {
            from: self.node.clone(),
            incarnation: self.incarnation,
            to: to.clone(),
            time: self.journal.stamp(),
            body,
        };
        let packed = rmp_serde::to_vec(&envelope).map_err(|error| PeerFailure::Unsent {
            reason: error.to_string(),
        })?;
        self.metrics.count(kind, packed.len());
        let exchange = self.exchange(address, packed.into());
        let Ok(reply) = timeout(REPLY_WAIT.into(), exchange).await else {
            self.pool.close_idle(address);
            let reason = "no reply in time".to_owned();
            return Err(PeerFailure::NoReply { reason });
        };
        reply
    }

    /// Passes a call on and returns the response head, whose body follows.
    ///
    /// # Errors
    /// The error tells whether the call may have arrived.
    pub async fn forward(
        &self,
        to: &NodeName,
        call: &ForwardedCall,
        wait: TimeSpan,
    ) -> Result<(Response<Incoming>, PooledConnection), PeerFailure> {
        let Some(address) = self.book.get(to) else {
            return Err(PeerFailure::NoAddress { node: to.clone() });
        };
        let fields = call_fields(call, to);
        let mut signed = fields.clone().into_bytes();
        signed.extend_from_slice(&call.body);
        let mut request = peer_request(CALL_PATH, address, call.body.clone());
        let mac = self.key.sign(CALL_PATH, &signed);
        let headers = request.headers_mut();
        headers.extend(call.headers.clone());
        insert_text(headers, CALL_HEADER, &fields);
        insert_text(headers, MAC_HEADER, &mac);
        let sent = self.pool.send(address, ReusePolicy::NewOnly, request);
        let Ok(answered) = timeout(wait.into(), sent).await else {
            let reason = "no response in time".to_owned();
            return Err(PeerFailure::NoReply { reason });
        };
        answered.map_err(into_failure)
    }

    async fn exchange(&self, address: SocketAddr, packed: Bytes) -> Result<PeerReply, PeerFailure> {
        let mac = self.key.sign(MESSAGE_PATH, &packed);
        let mut request = peer_request(MESSAGE_PATH, address, packed);
        insert_text(request.headers_mut(), MAC_HEADER, &mac);
        let sent = self
            .pool
            .send(address, ReusePolicy::AllowReuse, request)
            .await;
        let (response, connection) = sent.map_err(into_failure)?;
        let status = response.status();
        let body = read_body(response.into_body(), REPLY_LIMIT, REPLY_WAIT).await;
        let body = body.map_err(|error| PeerFailure::NoReply {
            reason: error.to_string(),
        })?;
        self.pool.release(connection);
        if !status.is_success() {
            let reason = format!("status {status}");
            return Err(PeerFailure::NoReply { reason });
        }
        rmp_serde::from_slice(&body).map_err(|error| PeerFailure::NoReply {
            reason: error.to_string(),
        })
    }
}

/// Fields of a forwarded call as one header: receiver, run, workspace, hops, overflow, method, path.
fn call_fields(call: &ForwardedCall, to: &NodeName) -> String {
    let run = call.incarnation.map_or(0, |run| run.0);
    let overflow = u8::from(call.overflow);
    let (workspace, hops, method) = (&call.workspace, call.hops, &call.method);
    format!(
        "{to} {run} {workspace} {hops} {overflow} {method} {}",
        call.path
    )
}

/// Reads what `call_fields` wrote, if it is meant for this run of `node`.
pub fn parse_call_fields(
    fields: &str,
    node: &NodeName,
    incarnation: IncarnationNumber,
) -> Option<ForwardedCall> {
    let mut parts = fields.splitn(7, ' ');
    let to: NodeName = parts.next()?.parse().ok()?;
    let run = IncarnationNumber(parts.next()?.parse().ok()?);
    let workspace = parts.next()?.parse().ok()?;
    let hops = parts.next()?.parse().ok()?;
    let overflow = parts.next()? == "1";
    let method = parts.next()?.parse().ok()?;
    let path = parts.next()?.to_owned();
    let known = run.0 == 0 || run == incarnation;
    (to == *node && known).then(|| ForwardedCall {
        workspace,
        incarnation: (run.0 != 0).then_some(run),
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
    // Names, paths and MACs hold no bytes that a header can't.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn into_failure(error: RequestError) -> PeerFailure {
    let reason = error.to_string();
    match error.is_unsent() {
        true => PeerFailure::Unsent { reason },
        false => PeerFailure::NoReply { reason },
    }
}
