use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use web::EventSplitter;

use crate::AnyError;
use crate::fleet::CALLER_KEY;

/// Words of every prompt, which has about 2,800 bytes.
const PROMPT_WORDS: usize = 400;
/// Longest wait for the next frame of a response body.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest accepted event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 16;

/// A request whose streamed response is being read.
pub struct CallStream {
    body: Incoming,
    splitter: EventSplitter,
    _sender: SendRequest<Full<Bytes>>,
    start: Instant,
    /// Tokens read so far.
    pub tokens: u32,
    /// Time from the start, before the connection is opened, to the first token.
    pub first: Option<Duration>,
    done: bool,
}

impl CallStream {
    /// Opens a connection to `proxy` and requests `tokens` tokens, `gap` milliseconds apart.
    pub async fn open(proxy: SocketAddr, tokens: u32, gap: u32) -> Result<Self, AnyError> {
        let start = Instant::now();
        let stream = TcpStream::connect(proxy).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let body = json!({
            "model": "quill",
            "prompt": vec!["gravel"; PROMPT_WORDS].join(" "),
            "stream": true,
            "stand_in_tokens": tokens,
            "stand_in_gap_ms": gap,
        });
        let request = Request::post("/v1/completions")
            .header("host", proxy.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .body(Full::new(Bytes::from(body.to_string())))?;
        let response = sender.send_request(request).await?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()).into());
        }
        Ok(Self {
            body: response.into_body(),
            splitter: EventSplitter::new(MAX_EVENT_BYTES),
            _sender: sender,
            start,
            tokens: 0,
            first: None,
            done: false,
        })
    }

    /// Reads until `tokens` tokens have arrived or the response has ended.
    pub async fn read_to(&mut self, tokens: u32) -> Result<(), AnyError> {
        while self.tokens < tokens && !self.done {
            let Some(frame) = timeout(READ_TIMEOUT, self.body.frame()).await? else {
                break;
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            self.splitter.push(data);
            while let Some(block) = self.splitter.next_block() {
                self.count_block(&block);
            }
        }
        Ok(())
    }

    fn count_block(&mut self, block: &[u8]) {
        if block.starts_with(b"data: [DONE]") {
            self.done = true;
        } else if memchr::memmem::find(block, b"\"finish_reason\":null").is_some() {
            self.tokens += 1;
            self.first.get_or_insert_with(|| self.start.elapsed());
        }
    }
}

/// Makes a call, reads its complete response and returns the time to the first token.
pub async fn call(proxy: SocketAddr, tokens: u32, gap: u32) -> Result<Duration, AnyError> {
    let mut open = CallStream::open(proxy, tokens, gap).await?;
    open.read_to(u32::MAX).await?;
    match open.first {
        Some(first) if open.done && open.tokens == tokens => Ok(first),
        _ => Err(format!(
            "received {} of {tokens} tokens, done: {}",
            open.tokens, open.done
        )
        .into()),
    }
}
