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

/// Tokens of a whole answer.
const ANSWER_TOKENS: u32 = 3;

/// How an engine treats a call.
#[derive(Clone, Debug)]
pub struct TinyScript {
    /// The response head is held back until the engine is released.
    pub hold_head: bool,
    /// Tokens that are sent before the engine is released.
    pub early_tokens: u32,
    /// Whether the engine knows the request of a call that it got.
    pub knows_request: bool,
    /// Run that the engine names when it is asked for a request.
    pub incarnation: IncarnationNumber,
}

impl Default for TinyScript {
    fn default() -> Self {
        Self {
            hold_head: false,
            early_tokens: ANSWER_TOKENS,
            knows_request: true,
            incarnation: IncarnationNumber(1),
        }
    }
}

/// What an engine was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TinyLog {
    pub calls: usize,
    pub asked: usize,
    pub resumed: usize,
    pub cancelled: Vec<String>,
}

/// An engine with one generation, whose answer stalls where the test wants it.
#[derive(Clone)]
pub struct TinyEngine {
    pub address: SocketAddr,
    name: &'static str,
    script: TinyScript,
    log: Arc<Mutex<TinyLog>>,
    released: watch::Sender<bool>,
}

impl TinyEngine {
    /// Starts an engine on a free port.
    pub async fn start(name: &'static str, script: TinyScript) -> Self {
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

    /// What the engine was asked so far.
    pub fn log(&self) -> MutexGuard<'_, TinyLog> {
        self.log.lock().expect("no panic before")
    }

    /// Lets the engine go on.
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
                self.stream(self.script.early_tokens)
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
                self.log().asked += 1;
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

    fn stream(&self, early: u32) -> Response<WebBody> {
        let engine = self.clone();
        let chunks = unfold(0, move |offset| {
            let engine = engine.clone();
            async move {
                if offset >= early && offset < ANSWER_TOKENS {
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
