use std::sync::Arc;

use base::TimeSpan;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{HandlerFuture, WebBody, WebHandler, empty_body, full_body, read_body};

use super::fact_exchange::take_question;
use super::peer_exchange::{
    CHANGES_PATH, CONFIG_PATH, DIGEST_PATH, FACTS_PATH, LOADS_PATH, PeerExchange, ROOM_PATH,
    TARGETS_PATH,
};
use super::{ItemNews, LoadNews, NewsEnd, NodeDigest};
use crate::coordinator::handle_request;
use crate::{GatewayCore, ViewArea};

/// Largest digest in bytes: 512 targets of about 100 bytes.
const DIGEST_LIMIT: usize = 64 << 10;
/// Longest time for a digest to arrive.
const DIGEST_WAIT: TimeSpan = TimeSpan::from_secs(2);

/// Answers peers.
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
                (&Method::POST, DIGEST_PATH) => take_digest(&core, request).await,
                (&Method::POST, LOADS_PATH) => take_loads(&core, request).await,
                (&Method::POST, ROOM_PATH) => answer_ask(&core, request).await,
                (&Method::POST, FACTS_PATH) => answer_question(&core, request).await,
                (&Method::POST, CHANGES_PATH) => take_changes(&core, request).await,
                (&Method::GET, CONFIG_PATH) => items_of(&core, ViewArea::Config, &request),
                (&Method::GET, TARGETS_PATH) => items_of(&core, ViewArea::Targets, &request),
                _ => status_only(StatusCode::NOT_FOUND),
            }
        })
    }
}

async fn take_digest(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(digest) = read_message::<NodeDigest>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let (address, domain) = (digest.address, digest.domain.clone());
    let newer = digest.apply(core);
    PeerExchange::new(core.clone()).spawn_fetch(address, newer);
    encoded(&NodeDigest::new(core, Some(&domain)))
}

async fn take_loads(core: &GatewayCore, request: Request<Incoming>) -> Response<WebBody> {
    let Some(news) = read_message::<LoadNews>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    news.apply(core);
    encoded(&())
}

async fn answer_ask(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(question) = read_message(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match handle_request(core, question).await {
        Some(answer) => encoded(&answer),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn answer_question(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(question) = read_message(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    match take_question(core, question) {
        Some(answer) => encoded(&answer),
        None => status_only(StatusCode::TOO_MANY_REQUESTS),
    }
}

async fn read_message<T: DeserializeOwned>(
    core: &GatewayCore,
    request: Request<Incoming>,
) -> Option<T> {
    let body = read_body(request.into_body(), DIGEST_LIMIT, DIGEST_WAIT).await;
    match rmp_serde::from_slice(&body.ok()?) {
        Ok(message) => Some(message),
        Err(error) => {
            log::warn!(
                event = base::EventKind::PeerRefused.number(),
                node = core.node().as_str();
                "message can't be read: {error}"
            );
            None
        }
    }
}

async fn take_changes(core: &Arc<GatewayCore>, request: Request<Incoming>) -> Response<WebBody> {
    let Some(news) = read_message::<ItemNews>(core, request).await else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let (address, base) = (news.address, news.base);
    let exchange = PeerExchange::new(core.clone());
    match (news.apply(core, ViewArea::Targets), base) {
        (NewsEnd::New, Some(base)) => exchange.pass_on(address, base),
        (NewsEnd::Missing, _) => exchange.spawn_fetch(address, vec![ViewArea::Targets]),
        (NewsEnd::New | NewsEnd::Known, _) => {}
    }
    encoded(&())
}

fn items_of(core: &GatewayCore, area: ViewArea, request: &Request<Incoming>) -> Response<WebBody> {
    let query = request.uri().query().unwrap_or_default();
    let after = query.strip_prefix("after=");
    let after = after.and_then(|after| after.parse().ok());
    match ItemNews::of_core(core, area, after) {
        Some(news) => encoded(&news),
        None => status_only(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn encoded(value: &impl Serialize) -> Response<WebBody> {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::error!(
                event = base::EventKind::ProcessMessage.number();
                "answer to a peer can't be encoded: {error}"
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
