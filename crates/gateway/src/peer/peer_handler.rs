use std::sync::Arc;

use base::TimeSpan;
use entry::{StoreEra, StorePosition};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{HandlerFuture, WebBody, WebHandler, empty_body, full_body, read_body};

use super::fact_pusher::PUSH_QUERY;
use super::fact_sync::answer_request;
use super::peer_client::{
    CALLS_PATH, CHANGES_PATH, CONFIG_PATH, DIGEST_PATH, FACTS_PATH, LOADS_PATH, PERMITS_PATH,
    PLACEMENT_PATH, PeerClient, TARGETS_PATH, TRIALS_PATH,
};
use super::{
    ExtendedMessage, ItemUpdate, LoadReport, NodeDigest, UpdateOutcome, decode_extended,
    encode_extended,
};
use crate::coordinator::handle_request;
use crate::forward::serve_forwarded;
use crate::rate::request_permits;
use crate::trial::grant_trial;
use crate::{GatewayCore, ViewArea};

/// Largest body of a request in bytes: a digest with 512 targets of about 100 bytes each.
const BODY_LIMIT: usize = 64 << 10;
/// Timeout for the body of a request to arrive.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// HTTP handler for the requests of peers.
pub struct PeerHandler {
    core: Arc<GatewayCore>,
}

impl PeerHandler {
    /// Creates the handler.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }
}

impl WebHandler for PeerHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let core = self.core.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match (request.method(), path.as_str()) {
                (&Method::POST, DIGEST_PATH) => handle_digest(&core, request).await,
                (&Method::POST, LOADS_PATH) => handle_loads(&core, request).await,
                (&Method::POST, PLACEMENT_PATH) => handle_placement(&core, request).await,
                (&Method::POST, PERMITS_PATH) => handle_permits(&core, request).await,
                (&Method::POST, TRIALS_PATH) => handle_trial(&core, request).await,
                (&Method::POST, CALLS_PATH) => serve_forwarded(&core, request).await,
                (&Method::POST, FACTS_PATH) => handle_facts(&core, request).await,
                (&Method::POST, CHANGES_PATH) => handle_changes(&core, request).await,
                (&Method::GET, CONFIG_PATH) => handle_fetch(&core, ViewArea::Config, &request),
                (&Method::GET, TARGETS_PATH) => handle_fetch(&core, ViewArea::Targets, &request),
                _ => status_only(StatusCode::NOT_FOUND),
            }
        })
    }
}

/// Applies the digest of a peer and answers with that of this node.
async fn handle_digest(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(digest) = read_extended::<NodeDigest>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let (address, domain) = (digest.address, digest.domain.clone());
    let newer = digest.apply(core);
    PeerClient::new(core.clone()).spawn_fetch(address, newer);
    respond(encode_extended(NodeDigest::new(
        core,
        address,
        Some(&domain),
    )))
}

/// Applies the load report of a peer.
async fn handle_loads(core: &GatewayCore, request: Request<Incoming>) -> Response<WebBody> {
    let Some(report) = read_extended::<LoadReport>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    report.apply(core);
    encode_response(&())
}

/// Answers a placement request; 503 while this node stops.
async fn handle_placement(
    core: &Arc<GatewayCore>,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let Some(question) = read_extended(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match handle_request(core, question).await {
        Some(response) => encode_response(&response),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers a request for permits; 503 if no node that grants them answers.
async fn handle_permits(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(request) = read_message(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match request_permits(core, request).await {
        Some(reply) => encode_response(&reply),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers a request for a trial; 503 if no node that grants it answers.
async fn handle_trial(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(request) = read_message(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match grant_trial(core, request).await {
        Some(reply) => encode_response(&reply),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers a request to synchronize facts; 429 if this node answered too much recently.
async fn handle_facts(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let is_pushed = request.uri().query() == Some(PUSH_QUERY);
    let Some(message) = read_message(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match answer_request(core, message, is_pushed) {
        Some(response) => encode_response(&response),
        None => status_only(StatusCode::TOO_MANY_REQUESTS),
    }
}

/// Reads and decodes the message in the body of a request; logs a message that can't be decoded.
async fn read_message<T: DeserializeOwned>(
    core: &GatewayCore,
    request: Request<Incoming>,
) -> Option<T> {
    let body = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
    log_unreadable(core, rmp_serde::from_slice(&body.ok()?))
}

/// Like [`read_message`], for a message with an extension.
async fn read_extended<M: ExtendedMessage>(
    core: &GatewayCore,
    request: Request<Incoming>,
) -> Option<M> {
    let body = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await;
    log_unreadable(core, decode_extended(&body.ok()?))
}

fn log_unreadable<T>(
    core: &GatewayCore,
    decoded: Result<T, rmp_serde::decode::Error>,
) -> Option<T> {
    match decoded {
        Ok(message) => Some(message),
        Err(error) => {
            log::warn!(
                event = base::EventKind::PeerRefused.number(),
                node = core.node().as_str();
                "message from a peer can't be decoded: {error}"
            );
            None
        }
    }
}

/// Applies changes of targets that a peer pushed; forwards them to the own failure domain, or
/// fetches the targets if earlier changes are missing.
async fn handle_changes(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(update) = read_extended::<ItemUpdate>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let (address, era) = (update.address, update.era);
    let base = update.base.map(|base| StorePosition::new(era, base));
    let client = PeerClient::new(core.clone());
    match (update.apply(core, ViewArea::Targets), base) {
        (UpdateOutcome::Applied, Some(base)) => client.forward_changes(address, base),
        (UpdateOutcome::Gap, _) => client.spawn_fetch(address, vec![ViewArea::Targets]),
        (UpdateOutcome::Applied | UpdateOutcome::Unchanged, _) => {}
    }
    encode_response(&())
}

/// Answers with the changes of an area after the revision in the query, or with all of its items;
/// 503 if this node has not read the area yet.
fn handle_fetch(
    core: &GatewayCore,
    area: ViewArea,
    request: &Request<Incoming>,
) -> Response<WebBody> {
    let query = request.uri().query().unwrap_or_default();
    let after = read_position(query);
    match ItemUpdate::of_core(core, area, after) {
        Some(update) => respond(encode_extended(update)),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Position in the query `after=REVISION`, followed by `&era=ERA` unless that is the first one.
fn read_position(query: &str) -> Option<StorePosition> {
    let after = query.strip_prefix("after=")?;
    let (revision, era) = match after.split_once("&era=") {
        Some((revision, era)) => (revision, era.parse().ok()?),
        None => (after, StoreEra::default()),
    };
    Some(StorePosition::new(era, revision.parse().ok()?))
}

/// Encodes a message as a response; logs a failure and answers 500 then.
fn encode_response(value: &impl Serialize) -> Response<WebBody> {
    respond(rmp_serde::to_vec(value))
}

fn respond(encoded: Result<Vec<u8>, rmp_serde::encode::Error>) -> Response<WebBody> {
    match encoded {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::error!(
                event = base::EventKind::ProcessMessage.number();
                "response to a peer can't be encoded: {error}"
            );
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_only(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
