use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use base::IncarnationNumber;
use bytes::Bytes;
use futures_util::stream::unfold;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::watch;
use web::{HandlerFuture, StopSignal, WebBody, WebServer, empty_body, json_body, stream_body};

/// Number of tokens of a complete answer.
const ANSWER_TOKENS: u32 = 3;

/// How a scripted engine handles calls.
#[derive(Clone, Debug)]
pub struct EngineScript {
    /// Whether the response head is withheld until the engine is released.
    pub hold_head: bool,
    /// Number of tokens that are sent before the engine is released.
    pub tokens_before_release: u32,
    /// Whether progress queries find the request of a call that the engine got.
    pub knows_request: bool,
    /// Incarnation that the engine reports in reply to progress queries.
    pub incarnation: IncarnationNumber,
}

impl Default for EngineScript {
    fn default() -> Self {
        Self {
            hold_head: false,
            tokens_before_release: ANSWER_TOKENS,
            knows_request: true,
            incarnation: IncarnationNumber(1),
        }
    }
}

/// What a scripted engine received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLog {
    /// Number of generation calls.
    pub calls: usize,
    /// Number of progress queries by request id.
    pub progress_queries: usize,
    /// Number of resumed streams.
    pub resumed: usize,
    /// Ids of cancelled generations.
    pub cancelled: Vec<String>,
}

/// An engine with one generation, whose answer stalls where its script says, until it is released.
#[derive(Clone)]
pub struct ScriptedEngine {
    pub address: SocketAddr,
    name: &'static str,
    script: EngineScript,
    log: Arc<Mutex<EngineLog>>,
    released: watch::Sender<bool>,
}

impl ScriptedEngine {
    /// Starts an engine on a free port.
    pub async fn start(name: &'static str, script: EngineScript) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = WebServer::bind(any).await.expect("a free port");
        let engine = Self {
            address: server.address(),
            name,
            script,
            log: Arc::default(),
            released: watch::Sender::new(false),
        };
        let served = engine.clone();
        let handler = move |request| -> HandlerFuture {
            let engine = served.clone();
            Box::pin(async move { engine.answer(request).await })
        };
        tokio::spawn(server.serve(Arc::new(handler), StopSignal::new()));
        engine
    }

    /// What the engine received so far.
    pub fn log(&self) -> MutexGuard<'_, EngineLog> {
        self.log.lock().expect("no panic before")
    }

    /// Lets the engine complete its answers.
    pub fn release(&self) {
        self.released.send_replace(true);
    }

    fn generation(&self) -> String {
        format!("{}-g", self.name)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<WebBody> {
        let path = request.uri().path().to_owned();
        match *request.method() {
            Method::POST => {
                self.log().calls += 1;
                if self.script.hold_head {
                    self.wait_release().await;
                }
                self.stream(self.script.tokens_before_release)
            }
            Method::DELETE => {
                let generation = path.rsplit('/').next().unwrap_or_default();
                self.log().cancelled.push(generation.to_owned());
                Response::new(empty_body())
            }
            _ if path.ends_with("/events") => {
                self.log().resumed += 1;
                self.stream(ANSWER_TOKENS)
            }
            _ if path.starts_with("/v1/requests/") => {
                self.log().progress_queries += 1;
                self.answer_progress(self.script.knows_request)
            }
            _ => self.answer_progress(true),
        }
    }

    fn answer_progress(&self, known: bool) -> Response<WebBody> {
        let incarnation = self.script.incarnation.0;
        let body = match known {
            true => json!({
                "incarnation": incarnation,
                "generation": self.generation(),
                "produced": 0,
            }),
            false => json!({ "incarnation": incarnation }),
        };
        let mut response = Response::new(json_body(&body));
        if !known {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }

    fn stream(&self, before_release: u32) -> Response<WebBody> {
        let engine = self.clone();
        let chunks = unfold(0, move |offset| {
            let engine = engine.clone();
            async move {
                if offset >= before_release && offset < ANSWER_TOKENS {
                    engine.wait_release().await;
                }
                let text = engine.event(offset)?;
                Some((Ok::<_, web::BodyError>(text), offset + 1))
            }
        });
        let mut response = Response::new(stream_body(chunks));
        let generation = self.generation().parse().expect("a header value");
        response.headers_mut().insert("x-generation-id", generation);
        response
    }

    fn event(&self, offset: u32) -> Option<Bytes> {
        let id = format!("id: {}:{offset}\n", self.generation());
        let text = format!("{}.{offset} ", self.name);
        let data = json!({ "choices": [{ "index": 0, "text": text }] });
        match offset {
            0..ANSWER_TOKENS => Some(format!("{id}data: {data}\n\n").into()),
            ANSWER_TOKENS => Some(format!("{id}event: end\ndata: {{}}\n\n").into()),
            _ => None,
        }
    }

    async fn wait_release(&self) {
        let mut released = self.released.subscribe();
        // The sender lives as long as `self`.
        let _ = released.wait_for(|released| *released).await;
    }
}
