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
    ConnectionPool, EventFrame, EventSplitter, PoolSettings, SendPhase, WebError, full_body,
};

/// Longest wait for the next part of an answer.
const PART_WAIT: Duration = Duration::from_secs(25);
/// Longest event of a stream in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// A caller of one workspace.
#[derive(Clone)]
pub struct DemoCaller {
    pool: ConnectionPool,
    key: String,
}

/// What a caller was told.
#[derive(Clone, Debug, Default)]
pub struct CallAnswer {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body, or the events of a stream one after the other.
    pub body: Bytes,
    /// Text of a generation.
    pub text: String,
    /// Id of the last event.
    pub last_event: Option<String>,
    /// Whether the answer came to its explicit end.
    pub whole: bool,
}

impl CallAnswer {
    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the error code of the error object.
    pub fn error_code(&self) -> String {
        let body = self.json();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns whether the request ran, as the error object tells.
    pub fn ran(&self) -> String {
        let body = self.json();
        body["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the marks of the tokens if they are those of one generation from its start.
    pub fn marks(&self) -> Option<Vec<TokenOrigin>> {
        let marks = standin::parse_tokens(&self.text)?;
        let first = marks.first()?;
        let ordered = marks
            .iter()
            .enumerate()
            .all(|(at, mark)| mark.offset as usize == at && mark.generation == first.generation);
        ordered.then_some(marks)
    }

    /// Tells whether this is a whole answer of `count` tokens of one generation.
    pub fn is_complete(&self, count: usize) -> bool {
        self.whole && self.marks().is_some_and(|marks| marks.len() == count)
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

    /// Asks for a generation of `tokens` tokens.
    pub async fn generate(
        &self,
        node: SocketAddr,
        model: &str,
        mark: &str,
        tokens: u32,
        streamed: bool,
        headers: &[(&str, &str)],
    ) -> CallAnswer {
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

    /// Sends one request and reads the whole answer.
    pub async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallAnswer {
        match self.open(node, method, path, headers, body).await {
            Ok(response) => read_answer(response).await,
            Err(_) => CallAnswer::default(),
        }
    }

    /// Gets a ticket from a node.
    pub async fn ticket(&self, node: SocketAddr) -> Option<String> {
        let answer = self
            .call(node, Method::POST, "/v1/tickets", &[], Bytes::new())
            .await;
        answer.json()["ticket"].as_str().map(str::to_owned)
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
    ) -> Result<Response<Incoming>, WebError> {
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
            .map_err(|error| WebError::Unexpected {
                reason: error.to_string(),
            })?;
        let (response, _connection) = self.pool.send(node, SendPhase::Fresh, request).await?;
        Ok(response)
    }
}

/// Reads an answer to its end.
pub async fn read_answer(response: Response<Incoming>) -> CallAnswer {
    let (head, mut body) = response.into_parts();
    let kind = head.headers.get(CONTENT_TYPE);
    let streamed = kind.is_some_and(|value| value == "text/event-stream");
    let mut answer = CallAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        ..CallAnswer::default()
    };
    let mut splitter = EventSplitter::new(EVENT_LIMIT);
    let mut collected = Vec::new();
    loop {
        match timeout(PART_WAIT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                collected.extend_from_slice(&data);
                if streamed {
                    splitter.push(data);
                    take_events(&mut answer, &mut splitter);
                }
            }
            Ok(None) => {
                answer.whole |= !streamed;
                break;
            }
            Ok(Some(Err(_))) | Err(_) => break,
        }
    }
    answer.body = collected.into();
    if !streamed {
        let body = answer.json();
        let choice = &body["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["message"]["content"].as_str());
        answer.text = text.unwrap_or_default().to_owned();
    }
    answer
}

fn take_events(answer: &mut CallAnswer, splitter: &mut EventSplitter) {
    while let Some(block) = splitter.next_block() {
        let frame = EventFrame::parse(&block);
        if let Some(id) = frame.id {
            answer.last_event = Some(String::from_utf8_lossy(id).into_owned());
        }
        let data = frame.data.unwrap_or_default();
        if data == b"[DONE]" {
            answer.whole = true;
            continue;
        }
        let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
        let choice = &chunk["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        answer.text.push_str(text.unwrap_or_default());
    }
}
