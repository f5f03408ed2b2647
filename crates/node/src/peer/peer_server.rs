use std::sync::Arc;

use base::{EventKind, TimeSpan};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use sched::PeerDigest;
use web::{HandlerFuture, WebBody, WebHandler, full_body, read_body};

use super::peer_client::{CALL_HEADER, CALL_PATH, MAC_HEADER, MESSAGE_PATH, parse_call_fields};
use super::{LoadNote, PeerBody, PeerEnvelope, PeerHello, PeerKey, PeerReply};
use crate::actor::target_digest;
use crate::{CallerApi, NodeCore};

/// Longest message: a part of a declaration, a ticket window or a caller's body.
const BODY_LIMIT: usize = 128 << 20;
/// Longest wait for the next part of a message.
const BODY_WAIT: TimeSpan = TimeSpan::from_secs(5);

/// Answers other nodes; clones share one node.
#[derive(Clone)]
pub struct PeerServer {
    core: Arc<NodeCore>,
    api: CallerApi,
    key: PeerKey,
}

impl WebHandler for PeerServer {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let server = self.clone();
        Box::pin(async move { server.answer(request).await })
    }
}

impl PeerServer {
    /// Creates the interface of a node for its peers.
    pub fn new(core: Arc<NodeCore>, api: CallerApi, key: PeerKey) -> Self {
        Self { core, api, key }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<WebBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, BODY_LIMIT, BODY_WAIT).await else {
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
            .verify(MESSAGE_PATH, &body, text_of(headers, MAC_HEADER))
        {
            return self.refuse("message without a valid MAC");
        }
        let Ok(envelope) = rmp_serde::from_slice::<PeerEnvelope>(&body) else {
            return self.refuse("message that can't be read");
        };
        let hello = matches!(envelope.body, PeerBody::Hello);
        if envelope.to != self.core.identity.node && !hello {
            return status_response(StatusCode::MISDIRECTED_REQUEST);
        }
        self.core.journal.observe_time(envelope.time);
        let reply = self.take_message(envelope).await;
        match rmp_serde::to_vec(&reply) {
            Ok(packed) => Response::new(full_body(packed)),
            Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn take_message(&self, envelope: PeerEnvelope) -> PeerReply {
        let PeerEnvelope {
            from,
            incarnation,
            body,
            ..
        } = envelope;
        let (fleet, claims) = (&self.core.fleet, &self.core.claims);
        match body {
            PeerBody::Hello => return PeerReply::Hello(self.hello()),
            PeerBody::Member(message) => fleet.receive_membership(from, incarnation, *message),
            PeerBody::Digest(digest) => fleet.receive_revision(from, digest),
            PeerBody::Pull(request) => {
                if let Some(answer) = fleet.answer_pull(request).await {
                    return PeerReply::Pulled(answer);
                }
            }
            PeerBody::Load(note) => self.take_load(from, note),
            PeerBody::Crash(message) => self.core.relay.sched.receive_crash(message),
            PeerBody::Order(message) => fleet.receive_order(from, *message),
            PeerBody::Failures(summaries) => fleet.receive_failures(summaries),
            PeerBody::Consent(ask) => {
                let verdict = claims.give_consent(ask.key, ask.home).await;
                return PeerReply::Consent(verdict);
            }
            PeerBody::Inquiry(ask) => {
                if let Some(answer) = claims.give_traces(ask.key, ask.asker).await {
                    return PeerReply::Inquiry(answer);
                }
            }
            PeerBody::Window(export) => {
                let owner = export.owner.clone();
                let taken = claims.import(*export).await;
                if taken {
                    fleet.announce_import(owner);
                }
                return PeerReply::Window(taken);
            }
        }
        PeerReply::Done
    }

    fn take_load(&self, from: base::NodeName, note: LoadNote) {
        let targets = note.in_flight.iter().cloned().map(target_digest);
        self.core.relay.sched.receive_digest(PeerDigest {
            node: from.clone(),
            sequence: note.sequence,
            targets: targets.collect(),
        });
        self.core.fleet.receive_load_note(from, note);
    }

    fn hello(&self) -> PeerHello {
        let identity = &self.core.identity;
        PeerHello {
            node: identity.node.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
        }
    }

    async fn answer_call(self, mut headers: HeaderMap, body: Bytes) -> Response<WebBody> {
        let fields = text_of(&headers, CALL_HEADER).to_owned();
        let mut signed = fields.clone().into_bytes();
        signed.extend_from_slice(&body);
        if !self
            .key
            .verify(CALL_PATH, &signed, text_of(&headers, MAC_HEADER))
        {
            return self.refuse("call without a valid MAC");
        }
        let identity = &self.core.identity;
        let Some(mut call) = parse_call_fields(&fields, &identity.node, identity.incarnation)
        else {
            // It is meant for another run of this node, which is gone.
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

    fn refuse(&self, what: &str) -> Response<WebBody> {
        self.core.journal.record(EventKind::PeerRefused, what);
        status_response(StatusCode::UNAUTHORIZED)
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn status_response(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
