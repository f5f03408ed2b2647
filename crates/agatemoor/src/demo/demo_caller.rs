use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, Response, body::Incoming};
use serde_json::{Value, json};
use standin::TokenOrigin;
use tokio::time::timeout;
use web::{
    ConnectionPool, EventFrame, EventSplitter, PoolSettings, RequestError, ReusePolicy, full_body,
};

/// Longest wait for the next frame of a response body.
const READ_TIMEOUT: Duration = Duration::from_secs(25);
/// Longest accepted event of a stream in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// HTTP client that sends requests with the bearer key of one workspace.
#[derive(Clone)]
pub struct DemoCaller {
    pool: ConnectionPool,
    key: String,
}

/// Response that a caller received, read to its end.
#[derive(Clone, Debug, Default)]
pub struct CallResponse {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Raw body; for a stream, all its events.
    pub body: Bytes,
    /// Generated text.
    pub text: String,
    /// Id of the last event of a stream.
    pub last_event: Option<String>,
    /// Whether the response arrived completely; a stream has to end with `[DONE]`.
    pub complete: bool,
}

impl CallResponse {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the code of the error object; empty if there is none.
    pub fn error_code(&self) -> String {
        let body = self.json();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns `ran` of the error object, which says whether the request ran; empty without one.
    pub fn run_state(&self) -> String {
        let body = self.json();
        body["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the token marks if the text consists of the tokens of one generation from its start.
    pub fn token_marks(&self) -> Option<Vec<TokenOrigin>> {
        let marks = standin::parse_tokens(&self.text)?;
        let first = marks.first()?;
        let ordered = marks.iter().enumerate().all(|(index, mark)| {
            mark.offset as usize == index && mark.generation == first.generation
        });
        ordered.then_some(marks)
    }

    /// Returns whether this is a complete response with `count` tokens of one generation.
    pub fn is_complete(&self, count: usize) -> bool {
        self.complete && self.token_marks().is_some_and(|marks| marks.len() == count)
    }
}

impl DemoCaller {
    /// Creates a caller with a bearer key.
    pub fn new(key: &str) -> Self {
        Self {
            pool: ConnectionPool::new(PoolSettings::new()),
            key: key.to_owned(),
        }
    }

    /// Requests a generation of `tokens` tokens; stand-in engines record its runs under `mark`.
    pub async fn generate(
        &self,
        node: SocketAddr,
        model: &str,
        mark: &str,
        tokens: u32,
        streamed: bool,
        headers: &[(&str, &str)],
    ) -> CallResponse {
        let body = json!({
            "model": model,
            "prompt": format!("{mark}: tell of the valley"),
            "stream": streamed,
            "max_tokens": tokens,
            "stand_in_tokens": tokens,
            "stand_in_mark": mark,
        });
        let bytes = body.to_string().into_bytes();
        self.call(node, Method::POST, "/v1/completions", headers, bytes.into())
            .await
    }

    /// Sends one request and reads the complete response; status 0 if there is none.
    pub async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallResponse {
        match self.open(node, method, path, headers, body).await {
            Ok(response) => read_response(response).await,
            Err(_) => CallResponse::default(),
        }
    }

    /// Requests a ticket from a node; an order sent several times with one ticket runs once.
    pub async fn ticket(&self, node: SocketAddr) -> Option<String> {
        let response = self
            .call(node, Method::POST, "/v1/tickets", &[], Bytes::new())
            .await;
        response.json()["ticket"].as_str().map(str::to_owned)
    }

    /// Sends one request and returns the response head.
    ///
    /// # Errors
    /// If there is no response.
    pub async fn open(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, RequestError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, node.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(full_body(body))
            .map_err(|error| RequestError::Unexpected {
                reason: error.to_string(),
            })?;
        let (response, _connection) = self.pool.send(node, ReusePolicy::NewOnly, request).await?;
        Ok(response)
    }
}

/// Reads a response to its end, or until the next frame fails or takes too long.
pub async fn read_response(response: Response<Incoming>) -> CallResponse {
    let (head, mut body) = response.into_parts();
    let kind = head.headers.get(CONTENT_TYPE);
    let streamed = kind.is_some_and(|value| value == "text/event-stream");
    let mut response = CallResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        ..CallResponse::default()
    };
    let mut splitter = EventSplitter::new(MAX_EVENT_BYTES);
    let mut collected = Vec::new();
    loop {
        match timeout(READ_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                collected.extend_from_slice(&data);
                if streamed {
                    splitter.push(data);
                    read_events(&mut response, &mut splitter);
                }
            }
            Ok(None) => {
                response.complete |= !streamed;
                break;
            }
            Ok(Some(Err(_))) | Err(_) => break,
        }
    }
    response.body = collected.into();
    if !streamed {
        let body = response.json();
        let choice = &body["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["message"]["content"].as_str());
        response.text = text.unwrap_or_default().to_owned();
    }
    response
}

/// Adds the buffered events of a stream to the response.
fn read_events(response: &mut CallResponse, splitter: &mut EventSplitter) {
    while let Some(block) = splitter.next_block() {
        let frame = EventFrame::parse(&block);
        if let Some(id) = frame.id {
            response.last_event = Some(String::from_utf8_lossy(id).into_owned());
        }
        let data = frame.data.unwrap_or_default();
        if data == b"[DONE]" {
            response.complete = true;
            continue;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
        let choice = &chunk["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        response.text.push_str(text.unwrap_or_default());
    }
}
