use std::sync::Arc;

use base::{EventKind, TimeSpan};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use sched::PeerDigest;
use web::{HandlerFuture, WebBody, WebHandler, full_body, read_body};

use super::peer_client::{CALL_HEADER, CALL_PATH, MAC_HEADER, MESSAGE_PATH, parse_call_fields};
use super::{HelloResponse, LoadUpdate, PeerEnvelope, PeerKey, PeerMessage, PeerResponse};
use crate::actor::target_digest;
use crate::{CallerApi, NodeCore};

/// Maximum length in bytes of a request body: a message with a part of the declaration or a ticket
/// window, or the body of a forwarded call.
const BODY_LIMIT: usize = 128 << 20;
/// Maximum time to wait for the next part of a request body.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// HTTP handler for requests of other nodes: messages and forwarded calls; clones share one node.
#[derive(Clone)]
pub struct PeerHandler {
    core: Arc<NodeCore>,
    api: CallerApi,
    key: PeerKey,
}

impl WebHandler for PeerHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let server = self.clone();
        Box::pin(async move { server.answer(request).await })
    }
}

impl PeerHandler {
    /// Creates the handler of a node; `api` answers the forwarded calls.
    pub fn new(core: Arc<NodeCore>, api: CallerApi, key: PeerKey) -> Self {
        Self { core, api, key }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<WebBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, BODY_LIMIT, BODY_TIMEOUT).await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match head.uri.path() {
            MESSAGE_PATH => self.answer_message(&head.headers, body).await,
            CALL_PATH => self.answer_call(head.headers, body).await,
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn answer_message(self, headers: &HeaderMap, body: Bytes) -> Response<WebBody> {
        if !self
            .key
            .verify(MESSAGE_PATH, &body, header_text(headers, MAC_HEADER))
        {
            return self.refuse("message without a valid MAC");
        }
        let Ok(envelope) = rmp_serde::from_slice::<PeerEnvelope>(&body) else {
            return self.refuse("message that can't be read");
        };
        // A sender that asks who listens here does not know the node's name yet.
        let hello = matches!(envelope.body, PeerMessage::Hello);
        if envelope.to != self.core.identity.node && !hello {
            return status_response(StatusCode::MISDIRECTED_REQUEST);
        }
        self.core.journal.observe_time(envelope.time);
        let response = self.handle_message(envelope).await;
        match rmp_serde::to_vec(&response) {
            Ok(packed) => Response::new(full_body(packed)),
            Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Passes a message to the actor that it is for and returns the response.
    async fn handle_message(&self, envelope: PeerEnvelope) -> PeerResponse {
        let PeerEnvelope {
            from,
            incarnation,
            body,
            ..
        } = envelope;
        let (fleet, claims) = (&self.core.fleet, &self.core.claims);
        match body {
            PeerMessage::Hello => return PeerResponse::Hello(self.hello_response()),
            PeerMessage::Member(message) => fleet.receive_membership(from, incarnation, *message),
            PeerMessage::Digest(digest) => fleet.receive_revision(from, digest),
            PeerMessage::Pull(request) => {
                if let Some(response) = fleet.answer_pull(request).await {
                    return PeerResponse::Pulled(response);
                }
            }
            PeerMessage::Load(update) => self.handle_load(from, update),
            PeerMessage::Crash(message) => self.core.relay.sched.receive_crash(message),
            PeerMessage::Order(message) => fleet.receive_order(from, *message),
            PeerMessage::Failures(summaries) => fleet.receive_failures(summaries),
            PeerMessage::Consent(request) => {
                let verdict = claims.answer_consent(request.key, request.home).await;
                return PeerResponse::Consent(verdict);
            }
            PeerMessage::Inquiry(request) => {
                if let Some(response) = claims.answer_inquiry(request.key, request.asker).await {
                    return PeerResponse::Inquiry(response);
                }
            }
            PeerMessage::Window(export) => {
                let owner = export.owner.clone();
                let imported = claims.import_window(*export).await;
                if imported {
                    fleet.announce_import(owner);
                }
                return PeerResponse::Window(imported);
            }
        }
        PeerResponse::Done
    }

    /// Passes the sender's requests in flight to the scheduling actor and the update to the fleet
    /// actor.
    fn handle_load(&self, from: base::NodeName, update: LoadUpdate) {
        let targets = update.in_flight.iter().cloned().map(target_digest);
        self.core.relay.sched.receive_digest(PeerDigest {
            node: from.clone(),
            sequence: update.sequence,
            targets: targets.collect(),
        });
        self.core.fleet.receive_load_update(from, update);
    }

    fn hello_response(&self) -> HelloResponse {
        let identity = &self.core.identity;
        HelloResponse {
            node: identity.node.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
        }
    }

    async fn answer_call(self, mut headers: HeaderMap, body: Bytes) -> Response<WebBody> {
        let fields = header_text(&headers, CALL_HEADER).to_owned();
        let mut signed = fields.clone().into_bytes();
        signed.extend_from_slice(&body);
        if !self
            .key
            .verify(CALL_PATH, &signed, header_text(&headers, MAC_HEADER))
        {
            return self.refuse("call without a valid MAC");
        }
        let identity = &self.core.identity;
        let Some(mut call) = parse_call_fields(&fields, &identity.node, identity.incarnation)
        else {
            // The call is meant for an earlier incarnation of this node, which no longer runs.
            let failure = calls::CallFailure::new(base::ErrorKind::OwnerUnreachable);
            return crate::error_response(&failure, failure.kind.into());
        };
        for name in [CALL_HEADER, MAC_HEADER, "host", "content-length"] {
            headers.remove(name);
        }
        call.headers = headers;
        call.body = body;
        self.api.answer_forwarded(call).await
    }

    /// Records that a request was refused and answers with an error status.
    fn refuse(&self, reason: &str) -> Response<WebBody> {
        self.core.journal.record(EventKind::PeerRefused, reason);
        status_response(StatusCode::UNAUTHORIZED)
    }
}

/// Text of a header; empty if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn status_response(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
